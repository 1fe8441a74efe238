package keeper

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	recordsFile = "records"
	stateFile   = "state"
	frameHeader = 12
	maxFrame    = 64 << 20
	fileMode    = 0o600
	folderMode  = 0o700
)

// DamageError says that a file in the data folder does not hold what was written.
type DamageError struct {
	Path   string
	Offset int64
	Reason string
}

// Error names the damage and the remedy.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; move the data folder away and let this instance join again with an empty one",
		e.Path, e.Offset, e.Reason)
}

// Keeper owns one data folder.
type Keeper struct {
	folder  string
	records *os.File
	// offsets holds where each record begins, from index 1.
	offsets []int64
	end     int64
}

// Open reads the data folder and returns what was kept in it.
func Open(folder string) (*Keeper, *messages.HardState, []*messages.LogRecord, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, nil, nil, fmt.Errorf("create the data folder: %w", err)
	}
	file, err := os.OpenFile(filepath.Join(folder, recordsFile), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("open the records: %w", err)
	}
	k := &Keeper{
		folder:  folder,
		records: file,
	}
	records, err := k.readRecords()
	if err != nil {
		return nil, nil, nil, errors.Join(err, file.Close())
	}
	state, err := k.readState()
	if err != nil {
		return nil, nil, nil, errors.Join(err, file.Close())
	}
	return k, state, records, nil
}

// Close releases the data folder.
func (k *Keeper) Close() error {
	return k.records.Close()
}

// Save keeps the state and the records and returns once both are synced.
// The records replace all that stand from the first one's index on.
func (k *Keeper) Save(state *messages.HardState, records []*messages.LogRecord) error {
	if err := k.saveState(state); err != nil {
		return fmt.Errorf("save the voter's state: %w", err)
	}
	if len(records) == 0 {
		return nil
	}
	if err := k.saveRecords(records); err != nil {
		return fmt.Errorf("save log records: %w", err)
	}
	return nil
}

func (k *Keeper) saveRecords(records []*messages.LogRecord) error {
	kept := int(records[0].GetIndex()) - 1
	if kept < len(k.offsets) {
		k.end = k.offsets[kept]
		k.offsets = k.offsets[:kept]
		if err := k.records.Truncate(k.end); err != nil {
			return err
		}
	}
	var buffer []byte
	for _, record := range records {
		k.offsets = append(k.offsets, k.end+int64(len(buffer)))
		framed, err := frame(buffer, record)
		if err != nil {
			return err
		}
		buffer = framed
	}
	if _, err := k.records.WriteAt(buffer, k.end); err != nil {
		return err
	}
	k.end += int64(len(buffer))
	return k.records.Sync()
}

func (k *Keeper) saveState(state *messages.HardState) error {
	framed, err := frame(nil, state)
	if err != nil {
		return err
	}
	path := filepath.Join(k.folder, stateFile)
	return replaceFile(path, framed)
}

// replaceFile swaps in new content so that a crash leaves the old or the new, never a mixture.
func replaceFile(path string, content []byte) error {
	next := path + ".next"
	file, err := os.OpenFile(next, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err := os.Rename(next, path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

// syncFolder makes a rename last; without it a crash could bring back the old
// file, and the voter would vote twice in a term.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

func (k *Keeper) readState() (*messages.HardState, error) {
	state := &messages.HardState{}
	path := filepath.Join(k.folder, stateFile)
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return state, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read the voter's state: %w", err)
	}
	payload, _, reason := unframe(content)
	if reason == "" && proto.Unmarshal(payload, state) != nil {
		reason = "it cannot be decoded"
	}
	if reason != "" {
		return nil, &DamageError{
			Path:   path,
			Reason: reason,
		}
	}
	return state, nil
}

func (k *Keeper) readRecords() ([]*messages.LogRecord, error) {
	content, err := io.ReadAll(k.records)
	if err != nil {
		return nil, fmt.Errorf("read the records: %w", err)
	}
	var records []*messages.LogRecord
	for int(k.end) < len(content) {
		record := &messages.LogRecord{}
		payload, size, reason := unframe(content[k.end:])
		if reason == "" && proto.Unmarshal(payload, record) != nil {
			reason = "a record cannot be decoded"
		}
		if reason != "" {
			return records, k.cutTail(content, reason)
		}
		k.offsets = append(k.offsets, k.end)
		k.end += int64(size)
		records = append(records, record)
	}
	return records, nil
}

// cutTail drops a last frame that a crash left unfinished. Nothing was
// acknowledged on it, since its sync never returned. Damage with whole frames
// behind it is something else and is refused.
func (k *Keeper) cutTail(content []byte, reason string) error {
	rest := content[k.end:]
	if !tornFrame(rest) {
		return &DamageError{
			Path:   k.records.Name(),
			Offset: k.end,
			Reason: reason,
		}
	}
	if err := k.records.Truncate(k.end); err != nil {
		return fmt.Errorf("cut the torn tail of the records: %w", err)
	}
	return k.records.Sync()
}

// tornFrame reports whether rest is the beginning of one frame and no more.
func tornFrame(rest []byte) bool {
	if len(rest) < frameHeader {
		return true
	}
	size := binary.LittleEndian.Uint32(rest)
	return frameHeader+int(size) >= len(rest)
}

// frame appends a message with its length and checksum to buffer.
func frame(buffer []byte, message proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint64(buffer, xxhash.Sum64(payload))
	return append(buffer, payload...), nil
}

// unframe returns the first frame's payload and size, or why there is none.
func unframe(content []byte) (payload []byte, size int, reason string) {
	if len(content) < frameHeader {
		return nil, 0, "a frame is cut short"
	}
	length := int(binary.LittleEndian.Uint32(content))
	if length > maxFrame {
		return nil, 0, "a frame's length is impossible"
	}
	size = frameHeader + length
	if len(content) < size {
		return nil, 0, "a frame is cut short"
	}
	payload = content[frameHeader:size]
	if xxhash.Sum64(payload) != binary.LittleEndian.Uint64(content[4:]) {
		return nil, 0, "a checksum does not match"
	}
	return payload, size, ""
}
