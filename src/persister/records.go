package persister

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/rosecroft/rosecroft/src/messages"
)

// recordFile is the file of the records after a base index.
type recordFile struct {
	file *os.File
	base uint64
	// offsets holds the offset of each record, starting with the one after base.
	offsets []int64
	end     int64
}

// openRecords opens the record file and reads its records. The error wraps
// os.ErrNotExist for a folder without the file.
func openRecords(folder string) (r *recordFile, header *messages.RecordsHeader, records []*messages.LogRecord, err error) {
	file, err := os.OpenFile(filepath.Join(folder, recordsFile), os.O_RDWR, fileMode)
	if err != nil {
		return nil, nil, nil, err
	}
	r = &recordFile{
		file: file,
	}
	content, err := io.ReadAll(file)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("read the records: %w", err)
	}
	header = &messages.RecordsHeader{}
	size, reason := readMessage(content, kindHeader, header)
	if reason != "" {
		return nil, nil, nil, r.damageError(reason)
	}
	r.base = header.GetBaseIndex()
	r.end = int64(size)
	records, err = r.read(content)
	return r, header, records, err
}

func (r *recordFile) read(content []byte) ([]*messages.LogRecord, error) {
	var records []*messages.LogRecord
	for int(r.end) < len(content) {
		kind, _, size, reason := readFrame(content[r.end:])
		if reason == "" && kind == kindSeal {
			r.end += int64(size)
			continue
		}
		record := &messages.LogRecord{}
		if reason == "" {
			_, reason = readMessage(content[r.end:], kindRecord, record)
		}
		if reason != "" {
			return records, r.truncateTail(content, reason)
		}
		if want := r.base + uint64(len(records)) + 1; record.GetIndex() != want {
			return nil, r.damageError(fmt.Sprintf("record %d stands where %d belongs", record.GetIndex(), want))
		}
		r.offsets = append(r.offsets, r.end)
		r.end += int64(size)
		records = append(records, record)
	}
	return records, nil
}

// truncateTail removes a write that a crash interrupted after the last seal. It was
// not acknowledged, since its sync never returned. Damage before a seal affects
// records that were acknowledged; without them this voter could help to elect a
// leader that lacks a committed change, so it is returned as a DamageError.
func (r *recordFile) truncateTail(content []byte, reason string) error {
	if hasSeal(content[r.end:], r.end) {
		return r.damageError(reason)
	}
	if err := r.file.Truncate(r.end); err != nil {
		return fmt.Errorf("truncate an incomplete write at the end of the records: %w", err)
	}
	return r.file.Sync()
}

func (r *recordFile) damageError(reason string) error {
	return &DamageError{
		Path:   r.file.Name(),
		Offset: r.end,
		Reason: reason,
	}
}

// save writes records and returns once they are synced. They replace all stored
// records from the first one's index on.
func (r *recordFile) save(records []*messages.LogRecord) error {
	first := records[0].GetIndex()
	if first <= r.base || first > r.base+uint64(len(r.offsets))+1 {
		return fmt.Errorf("record %d does not follow the %d records after index %d", first, len(r.offsets), r.base)
	}
	if contents := int(first - r.base - 1); contents < len(r.offsets) {
		if err := r.truncate(contents); err != nil {
			return err
		}
	}
	buffer, offsets, err := frameRecords(nil, r.end, records)
	if err != nil {
		return err
	}
	if _, err := r.file.WriteAt(buffer, r.end); err != nil {
		return err
	}
	if err := r.file.Sync(); err != nil {
		return err
	}
	r.offsets = append(r.offsets, offsets...)
	r.end += int64(len(buffer))
	return r.appendSeal()
}

// truncate removes the records after the first kept ones. It syncs before anything
// else is written: otherwise a crash could leave incomplete new frames before old
// seals, which looks like damage.
func (r *recordFile) truncate(contents int) error {
	r.end = r.offsets[contents]
	r.offsets = r.offsets[:contents]
	if err := r.file.Truncate(r.end); err != nil {
		return err
	}
	return r.file.Sync()
}

// appendSeal marks everything before it as synced. The seal itself is synced with the
// next batch; losing it in a crash of the machine until then is harmless.
func (r *recordFile) appendSeal() error {
	content := appendSeal(nil, r.end)
	if _, err := r.file.WriteAt(content, r.end); err != nil {
		return err
	}
	r.end += int64(len(content))
	return nil
}

// frameRecords appends framed records to buffer, whose end is at offset in the file,
// and returns the offset of each record in the file.
func frameRecords(buffer []byte, offset int64, records []*messages.LogRecord) (content []byte, offsets []int64, err error) {
	start := len(buffer)
	for _, record := range records {
		offsets = append(offsets, offset+int64(len(buffer)-start))
		buffer, err = appendFrame(buffer, kindRecord, record)
		if err != nil {
			return nil, nil, err
		}
	}
	return buffer, offsets, nil
}

// replaceRecords replaces the record file by one with these records after the
// header's base index, and opens it.
func replaceRecords(folder string, header *messages.RecordsHeader, records []*messages.LogRecord) (*recordFile, error) {
	r := &recordFile{
		base: header.GetBaseIndex(),
	}
	path := filepath.Join(folder, recordsFile)
	err := replaceFile(path, func(*os.File) ([]byte, error) {
		content, err := appendFrame(nil, kindHeader, header)
		if err != nil {
			return nil, err
		}
		content, r.offsets, err = frameRecords(content, int64(len(content)), records)
		if err != nil {
			return nil, err
		}
		content = appendSeal(content, int64(len(content)))
		r.end = int64(len(content))
		return content, nil
	})
	if err != nil {
		return nil, err
	}
	r.file, err = os.OpenFile(path, os.O_RDWR, fileMode)
	return r, err
}
