package keeper

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const testInstance units.Instance = "c1"

func open(t *testing.T, folder string) (*Keeper, *Kept) {
	t.Helper()
	k, kept, err := Open(folder, testInstance)
	if err != nil {
		t.Fatal(err)
	}
	return k, kept
}

func record(index, term uint64) *messages.LogRecord {
	return &messages.LogRecord{
		Index: index,
		Term:  term,
		Command: &messages.Command{
			Change: &messages.Command_Submission{
				Submission: &messages.Submission{
					Version:  index,
					Document: bytes.Repeat([]byte{byte(index)}, 20),
				},
			},
		},
	}
}

func state(term uint64) *messages.HardState {
	return &messages.HardState{
		Term:    term,
		Founded: true,
	}
}

// filled returns a closed folder that holds a snapshot of index 2 and records 3 to 6.
func filled(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	k, _ := open(t, folder)
	snapshot := &messages.LogSnapshot{
		Index: 2,
		Term:  1,
		LogId: "log",
	}
	base := &messages.RecordsHeader{
		BaseIndex: 2,
		BaseTerm:  1,
	}
	if err := k.SaveSnapshot(state(1), snapshot, base, nil); err != nil {
		t.Fatal(err)
	}
	for index := uint64(3); index <= 6; index++ {
		if err := k.Save(state(1), []*messages.LogRecord{record(index, 1)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	return folder
}

// A write that a crash cut short leaves the beginning of a frame behind the last
// seal. Nobody was told of it, so that the voter goes on without it; it must
// keep every record before it.
func TestTornTailIsCut(t *testing.T) {
	whole, err := os.ReadFile(filepath.Join(filled(t), recordsFile))
	if err != nil {
		t.Fatal(err)
	}
	next, err := frame(nil, kindRecord, record(7, 1))
	if err != nil {
		t.Fatal(err)
	}
	for length := range len(next) {
		folder := filled(t)
		if err := os.WriteFile(filepath.Join(folder, recordsFile), append(bytes.Clone(whole), next[:length]...), fileMode); err != nil {
			t.Fatal(err)
		}
		k, kept := open(t, folder)
		if got, want := len(kept.Records), 4; got != want {
			t.Errorf("records after %d torn bytes: got %d, want %d", length, got, want)
		}
		if err := k.Save(state(1), []*messages.LogRecord{record(7, 2)}); err != nil {
			t.Errorf("save after %d torn bytes: %v", length, err)
		}
		_ = k.Close()
		k, kept = open(t, folder)
		if got, want := len(kept.Records), 5; got != want {
			t.Errorf("records after a save behind %d torn bytes: got %d, want %d", length, got, want)
		}
		_ = k.Close()
	}
}

// A disk gives back a byte that was not written. If the voter dropped the record
// in silence, it would count as holding what it acknowledged and lost, and a
// committed change could vanish. Each byte of each file is damaged in turn: the
// folder is refused, or all that was acknowledged is still there.
func TestDamageIsRefusedOrHarmless(t *testing.T) {
	folder := filled(t)
	k, want := open(t, folder)
	_ = k.Close()
	for _, name := range []string{identityFile, stateFile, snapshotFile, recordsFile} {
		path := filepath.Join(folder, name)
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for at := range content {
			damaged := bytes.Clone(content)
			damaged[at] ^= 0x10
			// Written in place, since a new file would have another inode.
			if err := os.WriteFile(path, damaged, fileMode); err != nil {
				t.Fatal(err)
			}
			checkDamage(t, folder, name, at, want)
			if err := os.WriteFile(path, content, fileMode); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func checkDamage(t *testing.T, folder, name string, at int, want *Kept) {
	t.Helper()
	k, kept, err := Open(folder, testInstance)
	var damage *DamageError
	if errors.As(err, &damage) {
		return
	}
	if err != nil {
		t.Fatalf("%s with byte %d damaged: got %v, want a DamageError", name, at, err)
	}
	defer func() { _ = k.Close() }()
	if got, want := len(kept.Records), len(want.Records); got != want {
		t.Fatalf("%s with byte %d damaged: got %d records, want %d", name, at, got, want)
	}
	for i, record := range kept.Records {
		if !proto.Equal(record, want.Records[i]) {
			t.Errorf("%s with byte %d damaged: record %d is another", name, at, record.GetIndex())
		}
	}
	if !proto.Equal(kept.State, want.State) || !proto.Equal(kept.Snapshot, want.Snapshot) {
		t.Errorf("%s with byte %d damaged: state or snapshot is another", name, at)
	}
}

// A file vanishes from a voter's folder, and with it what the voter promised. It
// must not start as if it had promised nothing.
func TestMissingFileIsRefused(t *testing.T) {
	for _, name := range []string{identityFile, stateFile, snapshotFile, recordsFile} {
		t.Run(name, func(t *testing.T) {
			folder := filled(t)
			if err := os.Remove(filepath.Join(folder, name)); err != nil {
				t.Fatal(err)
			}
			_, _, err := Open(folder, testInstance)
			var damage *DamageError
			if !errors.As(err, &damage) {
				t.Errorf("open without %s: got %v, want a DamageError", name, err)
			}
		})
	}
}

// An operator starts an instance on the folder of another one, on a copy of its
// own folder, on a folder that is in use, or one that a newer program wrote. A
// voter that started there would break what the folder's owner promised.
func TestFolderOfAnotherIsRefused(t *testing.T) {
	cases := map[string]struct {
		prepare  func(t *testing.T, folder string) string
		instance units.Instance
		want     any
	}{
		"folder of another instance": {
			prepare:  func(_ *testing.T, folder string) string { return folder },
			instance: "c2",
			want:     new(*CopiedError),
		},
		"copy of the own folder": {
			prepare: func(t *testing.T, folder string) string {
				copied := folder + "-copy"
				if output, err := exec.Command("cp", "-a", folder, copied).CombinedOutput(); err != nil {
					t.Fatalf("copy: %v: %s", err, output)
				}
				return copied
			},
			instance: testInstance,
			want:     new(*CopiedError),
		},
		"folder in use": {
			prepare: func(t *testing.T, folder string) string {
				k, _ := open(t, folder)
				t.Cleanup(func() { _ = k.Close() })
				return folder
			},
			instance: testInstance,
			want:     new(*LockedError),
		},
		"newer format": {
			prepare: func(t *testing.T, folder string) string {
				path := filepath.Join(folder, identityFile)
				identity := &messages.FolderIdentity{}
				if _, err := readFile(path, kindIdentity, identity); err != nil {
					t.Fatal(err)
				}
				identity.Format = formatVersion + 1
				content, err := frame(nil, kindIdentity, identity)
				if err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, content, fileMode); err != nil {
					t.Fatal(err)
				}
				return folder
			},
			instance: testInstance,
			want:     new(*FormatError),
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			folder := c.prepare(t, filled(t))
			_, _, err := Open(folder, c.instance)
			if !errors.As(err, c.want) {
				t.Errorf("open: got %v, want %T", err, c.want)
			}
		})
	}
}

// A lost disk means an empty folder: the instance starts, as another voter than
// before, so that nobody takes it for the one that made the promises.
func TestEmptyFolderGivesAnotherIdentity(t *testing.T) {
	folder := filled(t)
	k, before := open(t, folder)
	_ = k.Close()
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	k, after := open(t, folder)
	_ = k.Close()
	if before.ID == after.ID {
		t.Errorf("identity after the loss: got %s again, want another", after.ID)
	}
}

// The disk is full when a record or a state is written. The voter must hear of
// it before anyone is told that the record is kept.
func TestFullDiskIsReported(t *testing.T) {
	folder := filled(t)
	k, _ := open(t, folder)
	defer func() { _ = k.Close() }()
	if err := os.Symlink("/dev/full", filepath.Join(folder, stateFile+nextSuffix)); err != nil {
		t.Fatal(err)
	}
	err := k.Save(state(9), nil)
	var failure *WriteError
	if !errors.As(err, &failure) || !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("save on a full disk: got %v, want a WriteError for ENOSPC", err)
	}
}

// A new leader replaces records that were never committed. After a restart the
// new ones must stand alone, with the later ones of the old leader gone.
func TestReplacedRecordsStayReplaced(t *testing.T) {
	folder := filled(t)
	k, _ := open(t, folder)
	if err := k.Save(state(2), []*messages.LogRecord{record(4, 2)}); err != nil {
		t.Fatal(err)
	}
	_ = k.Close()
	k, kept := open(t, folder)
	_ = k.Close()
	if got, want := len(kept.Records), 2; got != want {
		t.Fatalf("records: got %d, want %d", got, want)
	}
	if got, want := kept.Records[1].GetTerm(), uint64(2); got != want {
		t.Errorf("term of record 4: got %d, want %d", got, want)
	}
}

// A crash comes between the writing of a snapshot and that of the records behind
// it. The old records then end before the snapshot, or contradict it, and must
// not count behind it.
func TestRecordsOlderThanSnapshotAreDropped(t *testing.T) {
	cases := map[string]struct {
		index, term uint64
		want        int
	}{
		"snapshot within the records":      {index: 4, term: 1, want: 4},
		"snapshot behind the records":      {index: 9, term: 1, want: 0},
		"snapshot of another leader's log": {index: 4, term: 2, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			folder := filled(t)
			err := replaceMessage(filepath.Join(folder, snapshotFile), kindSnapshot, &messages.LogSnapshot{
				Index: c.index,
				Term:  c.term,
			})
			if err != nil {
				t.Fatal(err)
			}
			k, kept := open(t, folder)
			_ = k.Close()
			if got := len(kept.Records); got != c.want {
				t.Errorf("records: got %d, want %d", got, c.want)
			}
		})
	}
}

// A virtual disk numbers its files anew at each start. A voter that took its own
// folder for a copy would never come back, and with all of them the log would be
// gone; a folder of another instance must be refused all the same.
func TestUnnumberedFolderIsOpenedAgain(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	k, kept, err := OpenUnnumbered(folder, "c1")
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	// Another file in its place has another number.
	path := filepath.Join(folder, identityFile)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path+".copy", content, fileMode); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".copy", path); err != nil {
		t.Fatal(err)
	}
	var copied *CopiedError
	if _, _, err := Open(folder, "c1"); !errors.As(err, &copied) {
		t.Errorf("numbered: got %v, want a *CopiedError", err)
	}
	again, keptAgain, err := OpenUnnumbered(folder, "c1")
	if err != nil {
		t.Fatalf("unnumbered: got %v, want none", err)
	}
	if got, want := keptAgain.ID, kept.ID; got != want {
		t.Errorf("voter: got %s, want %s", got, want)
	}
	if err := again.Close(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := OpenUnnumbered(folder, "c2"); !errors.As(err, &copied) {
		t.Errorf("another instance's folder: got %v, want a *CopiedError", err)
	}
}
