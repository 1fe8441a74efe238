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
	// memoryFile keeps the table of upstreams over a restart.
	memoryFile = "upstreams"
	// memoryInterval is how often a changed table is kept.
	memoryInterval = time.Second
	// memoryAge is how old kept heartbeats are taken to be, in intervals: an
	// upstream that has gone meanwhile counts as silent after one more.
	memoryAge = 2.5
)

// memory keeps the table of upstreams on disk. After all processes have lost
// power, entries would else have nowhere to send calls until every upstream has
// sent its next heartbeat. What is kept may be out of date, and that does no harm:
// a call names the upstream it is for, and another one at its address refuses it.
type memory struct {
	path   string
	cursor uint64
	keptAt time.Time
	ended  chan error
}

// load puts what was kept into a table.
func (m *memory) load(now time.Time, table *enroller.Table) (int, error) {
	content, err := os.ReadFile(m.path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read the kept upstreams: %w", err)
	}
	batch := &messages.UpstreamBatch{}
	if err := proto.Unmarshal(content, batch); err != nil {
		return 0, fmt.Errorf("decode the kept upstreams: %w", err)
	}
	age := time.Duration(memoryAge * float64(table.Interval)).Milliseconds()
	for _, message := range batch.GetUpstreams() {
		message.AgeMs = age
		message.Silent = false
		table.Follow(now, message)
	}
	m.cursor = table.Cursor()
	return len(batch.GetUpstreams()), nil
}

// keep writes the table where it has changed; the disk may be slow, and nobody
// waits for it.
func (m *memory) keep(now time.Time, table *enroller.Table) error {
	select {
	case err := <-m.ended:
		m.ended = nil
		if err != nil {
			return err
		}
	default:
	}
	if m.ended != nil || table.Cursor() == m.cursor || now.Sub(m.keptAt) < memoryInterval {
		return nil
	}
	content, err := proto.Marshal(&messages.UpstreamBatch{Upstreams: table.Since(now, 0, 0)})
	if err != nil {
		return fmt.Errorf("encode the upstreams: %w", err)
	}
	m.cursor = table.Cursor()
	m.keptAt = now
	m.ended = make(chan error, 1)
	go func(ended chan<- error) { ended <- m.write(content) }(m.ended)
	return nil
}

// write replaces the file; a crash leaves the old one or the new one.
func (m *memory) write(content []byte) error {
	next := m.path + ".next"
	file, err := os.Create(next)
	if err != nil {
		return fmt.Errorf("keep the upstreams: %w", err)
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("keep the upstreams: %w", err)
	}
	if err := os.Rename(next, m.path); err != nil {
		return fmt.Errorf("keep the upstreams: %w", err)
	}
	return nil
}

func newMemory(folder string) *memory {
	return &memory{path: filepath.Join(folder, memoryFile)}
}
