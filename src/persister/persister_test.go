package persister

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

func open(t *testing.T, folder string) (*Persister, *Contents) {
	t.Helper()
	p, contents, err := Open(folder, testInstance)
	if err != nil {
		t.Fatal(err)
	}
	return p, contents
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

// newFilledFolder returns a closed folder that holds a snapshot at index 2 and records 3 to 6.
func newFilledFolder(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	p, _ := open(t, folder)
	snapshot := &messages.LogSnapshot{
		Index: 2,
		Term:  1,
		LogId: "log",
	}
	base := &messages.RecordsHeader{
		BaseIndex: 2,
		BaseTerm:  1,
	}
	if err := p.SaveSnapshot(state(1), snapshot, base, nil); err != nil {
		t.Fatal(err)
	}
	for index := uint64(3); index <= 6; index++ {
		if err := p.Save(state(1), []*messages.LogRecord{record(index, 1)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
	return folder
}

// A write that a crash interrupted leaves the start of a frame after the last seal. It
// was not acknowledged, so the voter continues without it, but it must keep every
// record before it.
func TestTornTailIsTruncated(t *testing.T) {
	records, err := os.ReadFile(filepath.Join(newFilledFolder(t), recordsFile))
	if err != nil {
		t.Fatal(err)
	}
	next, err := appendFrame(nil, kindRecord, record(7, 1))
	if err != nil {
		t.Fatal(err)
	}
	for length := range len(next) {
		folder := newFilledFolder(t)
		if err := os.WriteFile(filepath.Join(folder, recordsFile), append(bytes.Clone(records), next[:length]...), fileMode); err != nil {
			t.Fatal(err)
		}
		p, contents := open(t, folder)
		if got, want := len(contents.Records), 4; got != want {
			t.Errorf("records after an interrupted write of %d bytes: got %d, want %d", length, got, want)
		}
		if err := p.Save(state(1), []*messages.LogRecord{record(7, 2)}); err != nil {
			t.Errorf("save after an interrupted write of %d bytes: %v", length, err)
		}
		_ = p.Close()
		p, contents = open(t, folder)
		if got, want := len(contents.Records), 5; got != want {
			t.Errorf("records after an interrupted write of %d bytes and a save: got %d, want %d", length, got, want)
		}
		_ = p.Close()
	}
}

// A disk returns a byte other than the one written. If the voter silently dropped the
// record, it would still be counted as holding what it acknowledged, and a committed
// change could be lost. Each byte of each file is damaged in turn: the folder must be
// refused, or everything acknowledged must still be there.
func TestDamageIsRefusedOrHarmless(t *testing.T) {
	folder := newFilledFolder(t)
	p, want := open(t, folder)
	_ = p.Close()
	for _, name := range []string{identityFile, stateFile, snapshotFile, recordsFile} {
		path := filepath.Join(folder, name)
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for offset := range content {
			damaged := bytes.Clone(content)
			damaged[offset] ^= 0x10
			// Written in place, since a new file would have another inode.
			if err := os.WriteFile(path, damaged, fileMode); err != nil {
				t.Fatal(err)
			}
			checkDamage(t, folder, name, offset, want)
			if err := os.WriteFile(path, content, fileMode); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func checkDamage(t *testing.T, folder, name string, offset int, want *Contents) {
	t.Helper()
	p, contents, err := Open(folder, testInstance)
	var damage *DamageError
	if errors.As(err, &damage) {
		return
	}
	if err != nil {
		t.Fatalf("%s with byte %d damaged: got %v, want a DamageError", name, offset, err)
	}
	defer func() { _ = p.Close() }()
	if got, want := len(contents.Records), len(want.Records); got != want {
		t.Fatalf("%s with byte %d damaged: got %d records, want %d", name, offset, got, want)
	}
	for i, record := range contents.Records {
		if !proto.Equal(record, want.Records[i]) {
			t.Errorf("%s with byte %d damaged: record %d differs", name, offset, record.GetIndex())
		}
	}
	if !proto.Equal(contents.State, want.State) || !proto.Equal(contents.Snapshot, want.Snapshot) {
		t.Errorf("%s with byte %d damaged: state or snapshot differs", name, offset)
	}
}

// A file is missing from a voter's folder, and with it the voter's vote or
// acknowledged records. The voter must not start as if there had been none.
func TestMissingFileIsRefused(t *testing.T) {
	for _, name := range []string{identityFile, stateFile, snapshotFile, recordsFile} {
		t.Run(name, func(t *testing.T) {
			folder := newFilledFolder(t)
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

// An operator starts an instance on the folder of another one, on a copy of its own
// folder, on a folder that is in use, or on one that a newer program version wrote. A
// voter started there would contradict the votes and acknowledgements of the folder's
// owner.
func TestFolderOfAnotherIsRefused(t *testing.T) {
	cases := map[string]struct {
		prepare  func(t *testing.T, folder string) string
		instance units.Instance
		want     any
	}{
		"folder of another instance": {
			prepare:  func(_ *testing.T, folder string) string { return folder },
			instance: "c2",
			want:     new(*ForeignFolderError),
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
			want:     new(*ForeignFolderError),
		},
		"folder in use": {
			prepare: func(t *testing.T, folder string) string {
				p, _ := open(t, folder)
				t.Cleanup(func() { _ = p.Close() })
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
				content, err := appendFrame(nil, kindIdentity, identity)
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
			folder := c.prepare(t, newFilledFolder(t))
			_, _, err := Open(folder, c.instance)
			if !errors.As(err, c.want) {
				t.Errorf("open: got %v, want %T", err, c.want)
			}
		})
	}
}

// After the loss of its disk an instance starts on an empty folder. It must be a
// different voter than before, so that the earlier votes and acknowledgements are not
// attributed to it.
func TestEmptyFolderGivesAnotherIdentity(t *testing.T) {
	folder := newFilledFolder(t)
	p, before := open(t, folder)
	_ = p.Close()
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	p, after := open(t, folder)
	_ = p.Close()
	if before.ID == after.ID {
		t.Errorf("identity after the loss: got %s again, want another", after.ID)
	}
}

// The disk is full when the state is written. The caller must get the error, or it
// would acknowledge a write that is not on disk.
func TestFullDiskIsReported(t *testing.T) {
	folder := newFilledFolder(t)
	p, _ := open(t, folder)
	defer func() { _ = p.Close() }()
	if err := os.Symlink("/dev/full", filepath.Join(folder, stateFile+nextSuffix)); err != nil {
		t.Fatal(err)
	}
	err := p.Save(state(9), nil)
	var failure *WriteError
	if !errors.As(err, &failure) || !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("save on a full disk: got %v, want a WriteError for ENOSPC", err)
	}
}

// A new leader replaces records that were never committed. After a restart the new
// ones must be there, without the later ones of the old leader.
func TestReplacedRecordsStayReplaced(t *testing.T) {
	folder := newFilledFolder(t)
	p, _ := open(t, folder)
	if err := p.Save(state(2), []*messages.LogRecord{record(4, 2)}); err != nil {
		t.Fatal(err)
	}
	_ = p.Close()
	p, contents := open(t, folder)
	_ = p.Close()
	if got, want := len(contents.Records), 2; got != want {
		t.Fatalf("records: got %d, want %d", got, want)
	}
	if got, want := contents.Records[1].GetTerm(), uint64(2); got != want {
		t.Errorf("term of record 4: got %d, want %d", got, want)
	}
}

// A crash happens between the write of a snapshot and that of the records after it.
// If the old records end before the snapshot or contradict it, they must be dropped.
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
			folder := newFilledFolder(t)
			err := replaceMessage(filepath.Join(folder, snapshotFile), kindSnapshot, &messages.LogSnapshot{
				Index: c.index,
				Term:  c.term,
			})
			if err != nil {
				t.Fatal(err)
			}
			p, contents := open(t, folder)
			_ = p.Close()
			if got := len(contents.Records); got != c.want {
				t.Errorf("records: got %d, want %d", got, c.want)
			}
		})
	}
}

// A virtual disk changes its inode numbers at each start. A voter that considered its
// own folder a copy could never restart, and if all voters did, the log would be lost.
// A folder of another instance must still be refused.
func TestFolderWithoutStableInodesIsOpenedAgain(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	p, contents, err := OpenWithoutInodeCheck(folder, "c1")
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
	// A new file at the same path has another inode number.
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
	var copied *ForeignFolderError
	if _, _, err := Open(folder, "c1"); !errors.As(err, &copied) {
		t.Errorf("with inode check: got %v, want a *ForeignFolderError", err)
	}
	reopened, keptReopened, err := OpenWithoutInodeCheck(folder, "c1")
	if err != nil {
		t.Fatalf("without inode check: got error %v, want none", err)
	}
	if got, want := keptReopened.ID, contents.ID; got != want {
		t.Errorf("voter: got %s, want %s", got, want)
	}
	if err := reopened.Close(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := OpenWithoutInodeCheck(folder, "c2"); !errors.As(err, &copied) {
		t.Errorf("another instance's folder: got %v, want a *ForeignFolderError", err)
	}
}
