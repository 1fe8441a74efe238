package keeper

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/rosecroft/rosecroft/src/messages"
)

// recordFile is the file of records behind a base index.
type recordFile struct {
	file *os.File
	base uint64
	// offsets holds where each record begins, from the one behind base.
	offsets []int64
	end     int64
}

// openRecords reads the records; found is false for a folder without the file.
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
	size, reason := unframeMessage(content, kindHeader, header)
	if reason != "" {
		return nil, nil, nil, r.damage(reason)
	}
	r.base = header.GetBaseIndex()
	r.end = int64(size)
	records, err = r.read(content)
	return r, header, records, err
}

func (r *recordFile) read(content []byte) ([]*messages.LogRecord, error) {
	var records []*messages.LogRecord
	for int(r.end) < len(content) {
		kind, _, size, reason := unframe(content[r.end:])
		if reason == "" && kind == kindSeal {
			r.end += int64(size)
			continue
		}
		record := &messages.LogRecord{}
		if reason == "" {
			_, reason = unframeMessage(content[r.end:], kindRecord, record)
		}
		if reason != "" {
			return records, r.cutTail(content, reason)
		}
		if want := r.base + uint64(len(records)) + 1; record.GetIndex() != want {
			return nil, r.damage(fmt.Sprintf("record %d stands where %d belongs", record.GetIndex(), want))
		}
		r.offsets = append(r.offsets, r.end)
		r.end += int64(size)
		records = append(records, record)
	}
	return records, nil
}

// cutTail drops what a crash left unfinished behind the last seal. Nothing was
// acknowledged on it, since its sync never returned. Damage with a seal behind
// it hits records that were acknowledged; without them this voter could help
// to elect a leader that lacks a committed change, so it is refused.
func (r *recordFile) cutTail(content []byte, reason string) error {
	if sealedBehind(content[r.end:], r.end) {
		return r.damage(reason)
	}
	if err := r.file.Truncate(r.end); err != nil {
		return fmt.Errorf("cut the torn tail of the records: %w", err)
	}
	return r.file.Sync()
}

func (r *recordFile) damage(reason string) error {
	return &DamageError{
		Path:   r.file.Name(),
		Offset: r.end,
		Reason: reason,
	}
}

// save appends records, in the place of those that stand from the first one's index on.
func (r *recordFile) save(records []*messages.LogRecord) error {
	first := records[0].GetIndex()
	if first <= r.base || first > r.base+uint64(len(r.offsets))+1 {
		return fmt.Errorf("record %d does not follow %d records behind %d", first, len(r.offsets), r.base)
	}
	if kept := int(first - r.base - 1); kept < len(r.offsets) {
		if err := r.cut(kept); err != nil {
			return err
		}
	}
	buffer, offsets, err := formRecords(nil, r.end, records)
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
	return r.seal()
}

// cut is synced before anything is written in its place: otherwise a crash
// could leave new frames before old seals, which looks like damage.
func (r *recordFile) cut(kept int) error {
	r.end = r.offsets[kept]
	r.offsets = r.offsets[:kept]
	if err := r.file.Truncate(r.end); err != nil {
		return err
	}
	return r.file.Sync()
}

// seal marks all before it as synced. The seal itself is synced with the next
// batch; until then a crash of the machine may lose it, which does no harm.
func (r *recordFile) seal() error {
	mark := seal(nil, r.end)
	if _, err := r.file.WriteAt(mark, r.end); err != nil {
		return err
	}
	r.end += int64(len(mark))
	return nil
}

// formRecords appends framed records to buffer and returns where in the file each begins.
func formRecords(buffer []byte, at int64, records []*messages.LogRecord) (content []byte, offsets []int64, err error) {
	start := len(buffer)
	for _, record := range records {
		offsets = append(offsets, at+int64(len(buffer)-start))
		buffer, err = frame(buffer, kindRecord, record)
		if err != nil {
			return nil, nil, err
		}
	}
	return buffer, offsets, nil
}

// replaceRecords writes a new file of records behind base and opens it.
func replaceRecords(folder string, header *messages.RecordsHeader, records []*messages.LogRecord) (*recordFile, error) {
	r := &recordFile{
		base: header.GetBaseIndex(),
	}
	path := filepath.Join(folder, recordsFile)
	err := replaceFile(path, func(*os.File) ([]byte, error) {
		content, err := frame(nil, kindHeader, header)
		if err != nil {
			return nil, err
		}
		content, r.offsets, err = formRecords(content, int64(len(content)), records)
		if err != nil {
			return nil, err
		}
		content = seal(content, int64(len(content)))
		r.end = int64(len(content))
		return content, nil
	})
	if err != nil {
		return nil, err
	}
	r.file, err = os.OpenFile(path, os.O_RDWR, fileMode)
	return r, err
}
