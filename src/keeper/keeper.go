package keeper

import (
	"errors"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Keeper owns one data folder.
type Keeper struct {
	folder string
	// numbered says that a file keeps its number for its life.
	numbered bool
	lock     *os.File
	records  *recordFile
	state    *messages.HardState
}

// Kept is what a data folder holds.
type Kept struct {
	// ID is the voter that the folder belongs to.
	ID    units.VoterID
	State *messages.HardState
	// Snapshot is nil in a folder that belongs to no log yet.
	Snapshot *messages.LogSnapshot
	// Base is the place in the log behind which Records begin.
	Base    *messages.RecordsHeader
	Records []*messages.LogRecord
}

// Open takes the data folder for an instance and returns what was kept in it.
// A new folder gets a random identity.
func Open(folder string, instance units.Instance) (*Keeper, *Kept, error) {
	return openFolder(folder, instance, true)
}

// OpenUnnumbered is Open on storage that numbers its files anew at each start, as
// some platforms' virtual disks do. Copies cannot be told from originals there, so
// that the folder must not be copied.
func OpenUnnumbered(folder string, instance units.Instance) (*Keeper, *Kept, error) {
	return openFolder(folder, instance, false)
}

func openFolder(folder string, instance units.Instance, numbered bool) (*Keeper, *Kept, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, nil, &WriteError{
			Folder: folder,
			Err:    err,
		}
	}
	held, err := lock(folder)
	if err != nil {
		return nil, nil, err
	}
	k := &Keeper{
		folder:   folder,
		numbered: numbered,
		lock:     held,
	}
	kept, err := k.open(instance)
	if err != nil {
		return nil, nil, errors.Join(err, k.Close())
	}
	return k, kept, nil
}

// Close releases the data folder.
func (k *Keeper) Close() error {
	var err error
	if k.records != nil {
		err = k.records.file.Close()
	}
	return errors.Join(err, k.lock.Close())
}

func (k *Keeper) open(instance units.Instance) (*Kept, error) {
	identity, err := readIdentity(k.folder, instance, k.numbered)
	if err != nil {
		return nil, err
	}
	if identity == nil {
		identity, err = k.create(instance)
	}
	if err != nil {
		return nil, err
	}
	kept := &Kept{
		ID: units.NewVoterID(instance, identity.GetIdentity()),
	}
	return kept, k.read(kept)
}

// create prepares a new folder. The identity comes last, so that a folder with
// one has a state too, and a missing state is damage.
func (k *Keeper) create(instance units.Instance) (*messages.FolderIdentity, error) {
	if err := refuseRemains(k.folder); err != nil {
		return nil, err
	}
	if err := replaceMessage(filepath.Join(k.folder, stateFile), kindState, &messages.HardState{}); err != nil {
		return nil, k.failed(err)
	}
	identity, err := createIdentity(k.folder, instance)
	if err != nil {
		return nil, k.failed(err)
	}
	return identity, nil
}

func (k *Keeper) read(kept *Kept) error {
	kept.State = &messages.HardState{}
	kept.Base = &messages.RecordsHeader{}
	found, err := readFile(filepath.Join(k.folder, stateFile), kindState, kept.State)
	if err != nil {
		return err
	}
	if !found {
		return k.missing(stateFile)
	}
	k.state = kept.State
	if !kept.State.GetFounded() {
		return nil
	}
	kept.Snapshot = &messages.LogSnapshot{}
	found, err = readFile(filepath.Join(k.folder, snapshotFile), kindSnapshot, kept.Snapshot)
	if err != nil {
		return err
	}
	if !found {
		return k.missing(snapshotFile)
	}
	k.records, kept.Base, kept.Records, err = openRecords(k.folder)
	if errors.Is(err, os.ErrNotExist) {
		return k.missing(recordsFile)
	}
	if err != nil {
		return err
	}
	return k.join(kept)
}

// missing refuses a folder that lacks a file which nothing ever removes: with
// it went what this voter promised and acknowledged.
func (k *Keeper) missing(name string) error {
	return &DamageError{
		Path:   filepath.Join(k.folder, name),
		Reason: "it is missing",
	}
}

// join drops records that the snapshot has replaced, which a crash between the
// writing of the two files leaves behind.
func (k *Keeper) join(kept *Kept) error {
	index, term := kept.Snapshot.GetIndex(), kept.Snapshot.GetTerm()
	base := kept.Base
	if base.GetBaseIndex() > index {
		return k.records.damage("the records begin behind the snapshot")
	}
	held := base.GetBaseTerm()
	place := index - base.GetBaseIndex()
	switch {
	case place > uint64(len(kept.Records)):
		return k.startRecords(kept)
	case place > 0:
		held = kept.Records[place-1].GetTerm()
	}
	if held != term {
		return k.startRecords(kept)
	}
	return nil
}

func (k *Keeper) startRecords(kept *Kept) error {
	kept.Records = nil
	kept.Base = &messages.RecordsHeader{
		BaseIndex: kept.Snapshot.GetIndex(),
		BaseTerm:  kept.Snapshot.GetTerm(),
	}
	return k.replace(kept.Base, nil)
}

// Save keeps the state and the records and returns once both are synced.
// The records replace all that stand from the first one's index on.
func (k *Keeper) Save(state *messages.HardState, records []*messages.LogRecord) error {
	if err := k.saveState(state); err != nil {
		return k.failed(err)
	}
	if len(records) == 0 {
		return nil
	}
	if err := k.records.save(records); err != nil {
		return k.failed(err)
	}
	return nil
}

// SaveSnapshot keeps a snapshot with the records that remain behind base.
func (k *Keeper) SaveSnapshot(state *messages.HardState, snapshot *messages.LogSnapshot,
	base *messages.RecordsHeader, records []*messages.LogRecord,
) error {
	if err := replaceMessage(filepath.Join(k.folder, snapshotFile), kindSnapshot, snapshot); err != nil {
		return k.failed(err)
	}
	if err := k.replace(base, records); err != nil {
		return k.failed(err)
	}
	// The state comes last: once it says that the voter belongs to a log, the
	// other files are there, and a missing one is damage.
	if err := k.saveState(state); err != nil {
		return k.failed(err)
	}
	return nil
}

func (k *Keeper) replace(base *messages.RecordsHeader, records []*messages.LogRecord) error {
	fresh, err := replaceRecords(k.folder, base, records)
	if err != nil {
		return err
	}
	old := k.records
	k.records = fresh
	if old == nil {
		return nil
	}
	return old.file.Close()
}

func (k *Keeper) saveState(state *messages.HardState) error {
	if proto.Equal(state, k.state) {
		return nil
	}
	if err := replaceMessage(filepath.Join(k.folder, stateFile), kindState, state); err != nil {
		return err
	}
	k.state = state
	return nil
}

func (k *Keeper) failed(err error) error {
	return &WriteError{
		Folder: k.folder,
		Err:    err,
	}
}
