package governor

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	// tableFileName is the file that preserves the table of upstreams across restarts.
	tableFileName = "upstreams"
	// saveInterval is the minimum interval between two saves of a changed table.
	saveInterval = time.Second
	// loadedAgeIntervals is the assumed age of loaded heartbeats, in heartbeat intervals: an
	// upstream that has gone meanwhile counts as silent after one more interval.
	loadedAgeIntervals = 2.5
)

// tableFile saves the table of upstreams to disk. After a power loss of all processes,
// entries would otherwise have nowhere to send calls until every upstream has sent its next
// heartbeat. The saved table may be outdated, which does no harm: a call names the upstream
// it is meant for, and any other upstream at that address refuses it.
type tableFile struct {
	path        string
	savedCursor uint64
	savedAt     time.Time
	// saving receives the result of the write in progress, nil where there is none.
	saving chan error
}

// load adds the saved upstreams to a table, and returns how many there are and how many of them leave or have gone.
func (f *tableFile) load(now time.Time, table *enroller.Table) (loaded, departed int, err error) {
	content, err := os.ReadFile(f.path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, fmt.Errorf("read the saved upstreams: %w", err)
	}
	batch := &messages.UpstreamBatch{}
	if err := proto.Unmarshal(content, batch); err != nil {
		return 0, 0, fmt.Errorf("decode the saved upstreams: %w", err)
	}
	age := time.Duration(loadedAgeIntervals * float64(table.Interval)).Milliseconds()
	for _, message := range batch.GetUpstreams() {
		message.AgeMs = age
		message.Silent = false
		table.Merge(now, message)
		if enroller.State(message.GetState()) != enroller.Ready {
			departed++
		}
	}
	f.savedCursor = table.Cursor()
	return len(batch.GetUpstreams()), departed, nil
}

// save writes the table where it has changed. The disk may be slow, so the write runs in the
// background.
func (f *tableFile) save(now time.Time, table *enroller.Table) error {
	select {
	case err := <-f.saving:
		f.saving = nil
		if err != nil {
			return err
		}
	default:
	}
	if f.saving != nil || table.Cursor() == f.savedCursor || now.Sub(f.savedAt) < saveInterval {
		return nil
	}
	content, err := encodeUpstreams(table.ChangesSince(now, 0, 0))
	f.savedCursor = table.Cursor()
	f.savedAt = now
	f.saving = make(chan error, 1)
	go func(saving chan<- error) { saving <- f.write(content) }(f.saving)
	return err
}

// write replaces the file atomically: after a crash either the old or the new one exists.
func (f *tableFile) write(content []byte) error {
	temporary := f.path + ".next"
	file, err := os.Create(temporary)
	if err != nil {
		return fmt.Errorf("save the upstreams: %w", err)
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("save the upstreams: %w", err)
	}
	if err := os.Rename(temporary, f.path); err != nil {
		return fmt.Errorf("save the upstreams: %w", err)
	}
	return nil
}

func newTableFile(folder string) *tableFile {
	return &tableFile{path: filepath.Join(folder, tableFileName)}
}
