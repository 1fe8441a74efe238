package persister

import (
	"errors"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Persister reads and writes one data folder, which it holds locked.
type Persister struct {
	folder string
	// stableInodes reports that a file keeps its inode number for as long as it exists.
	stableInodes bool
	lock         *os.File
	records      *recordFile
	state        *messages.HardState
}

// Contents is what a data folder holds.
type Contents struct {
	// ID is the voter that the folder belongs to.
	ID    units.VoterID
	State *messages.HardState
	// Snapshot is nil in a folder that belongs to no log yet.
	Snapshot *messages.LogSnapshot
	// Base is the index and term of the log after which Records start.
	Base    *messages.RecordsHeader
	Records []*messages.LogRecord
}

// Open locks the data folder for an instance and returns what it holds. A new folder
// gets a random identity.
func Open(folder string, instance units.Instance) (*Persister, *Contents, error) {
	return openFolder(folder, instance, true)
}

// OpenWithoutInodeCheck is Open for storage whose inode numbers change at each start, as on
// some platforms' virtual disks. A copy cannot be distinguished from the original
// there, so the folder must not be copied.
func OpenWithoutInodeCheck(folder string, instance units.Instance) (*Persister, *Contents, error) {
	return openFolder(folder, instance, false)
}

func openFolder(folder string, instance units.Instance, stableInodes bool) (*Persister, *Contents, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, nil, &WriteError{
			Folder: folder,
			Err:    err,
		}
	}
	lockFile, err := lock(folder)
	if err != nil {
		return nil, nil, err
	}
	p := &Persister{
		folder:       folder,
		stableInodes: stableInodes,
		lock:         lockFile,
	}
	contents, err := p.open(instance)
	if err != nil {
		return nil, nil, errors.Join(err, p.Close())
	}
	return p, contents, nil
}

// Close closes the files and unlocks the data folder.
func (p *Persister) Close() error {
	var err error
	if p.records != nil {
		err = p.records.file.Close()
	}
	return errors.Join(err, p.lock.Close())
}

func (p *Persister) open(instance units.Instance) (*Contents, error) {
	identity, err := readIdentity(p.folder, instance, p.stableInodes)
	if err != nil {
		return nil, err
	}
	if identity == nil {
		identity, err = p.create(instance)
	}
	if err != nil {
		return nil, err
	}
	contents := &Contents{
		ID: units.NewVoterID(instance, identity.GetIdentity()),
	}
	return contents, p.read(contents)
}

// create initializes a new folder. The identity is written last, so that a folder
// with an identity also has a state, and a missing state is damage.
func (p *Persister) create(instance units.Instance) (*messages.FolderIdentity, error) {
	if err := checkNoLeftovers(p.folder); err != nil {
		return nil, err
	}
	if err := replaceMessage(filepath.Join(p.folder, stateFile), kindState, &messages.HardState{}); err != nil {
		return nil, p.writeError(err)
	}
	identity, err := createIdentity(p.folder, instance)
	if err != nil {
		return nil, p.writeError(err)
	}
	return identity, nil
}

func (p *Persister) read(contents *Contents) error {
	contents.State = &messages.HardState{}
	contents.Base = &messages.RecordsHeader{}
	found, err := readFile(filepath.Join(p.folder, stateFile), kindState, contents.State)
	if err != nil {
		return err
	}
	if !found {
		return p.missingFileError(stateFile)
	}
	p.state = contents.State
	if !contents.State.GetFounded() {
		return nil
	}
	contents.Snapshot = &messages.LogSnapshot{}
	found, err = readFile(filepath.Join(p.folder, snapshotFile), kindSnapshot, contents.Snapshot)
	if err != nil {
		return err
	}
	if !found {
		return p.missingFileError(snapshotFile)
	}
	p.records, contents.Base, contents.Records, err = openRecords(p.folder)
	if errors.Is(err, os.ErrNotExist) {
		return p.missingFileError(recordsFile)
	}
	if err != nil {
		return err
	}
	return p.dropReplacedRecords(contents)
}

// missingFileError returns a DamageError for a file that is never removed but is
// missing: with it, this voter's vote or acknowledged records are lost.
func (p *Persister) missingFileError(name string) error {
	return &DamageError{
		Path:   filepath.Join(p.folder, name),
		Reason: "it is missing",
	}
}

// dropReplacedRecords drops the records if the snapshot has replaced them, which is the
// case after a crash between the writes of the two files.
func (p *Persister) dropReplacedRecords(contents *Contents) error {
	index, term := contents.Snapshot.GetIndex(), contents.Snapshot.GetTerm()
	base := contents.Base
	if base.GetBaseIndex() > index {
		return p.records.damageError("the records begin behind the snapshot")
	}
	heldTerm := base.GetBaseTerm()
	position := index - base.GetBaseIndex()
	switch {
	case position > uint64(len(contents.Records)):
		return p.resetRecords(contents)
	case position > 0:
		heldTerm = contents.Records[position-1].GetTerm()
	}
	if heldTerm != term {
		return p.resetRecords(contents)
	}
	return nil
}

func (p *Persister) resetRecords(contents *Contents) error {
	contents.Records = nil
	contents.Base = &messages.RecordsHeader{
		BaseIndex: contents.Snapshot.GetIndex(),
		BaseTerm:  contents.Snapshot.GetTerm(),
	}
	return p.replaceRecordFile(contents.Base, nil)
}

// Save stores the state and the records and returns once both are synced.
// The records replace all stored records from the first one's index on.
func (p *Persister) Save(state *messages.HardState, records []*messages.LogRecord) error {
	if err := p.saveState(state); err != nil {
		return p.writeError(err)
	}
	if len(records) == 0 {
		return nil
	}
	if err := p.records.save(records); err != nil {
		return p.writeError(err)
	}
	return nil
}

// SaveSnapshot stores a snapshot with the records that remain after base.
func (p *Persister) SaveSnapshot(state *messages.HardState, snapshot *messages.LogSnapshot,
	base *messages.RecordsHeader, records []*messages.LogRecord,
) error {
	if err := replaceMessage(filepath.Join(p.folder, snapshotFile), kindSnapshot, snapshot); err != nil {
		return p.writeError(err)
	}
	if err := p.replaceRecordFile(base, records); err != nil {
		return p.writeError(err)
	}
	// The state is written last: once it says that the voter belongs to a log, the
	// other files exist, and a missing one is damage.
	if err := p.saveState(state); err != nil {
		return p.writeError(err)
	}
	return nil
}

func (p *Persister) replaceRecordFile(base *messages.RecordsHeader, records []*messages.LogRecord) error {
	replacement, err := replaceRecords(p.folder, base, records)
	if err != nil {
		return err
	}
	old := p.records
	p.records = replacement
	if old == nil {
		return nil
	}
	return old.file.Close()
}

func (p *Persister) saveState(state *messages.HardState) error {
	if proto.Equal(state, p.state) {
		return nil
	}
	if err := replaceMessage(filepath.Join(p.folder, stateFile), kindState, state); err != nil {
		return err
	}
	p.state = state
	return nil
}

func (p *Persister) writeError(err error) error {
	return &WriteError{
		Folder: p.folder,
		Err:    err,
	}
}
