package governor

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	// minPageInterval and maxPageInterval bound the interval whose changes one page holds, a
	// fraction of the interval between two polls of an entry.
	minPageInterval = tickInterval
	maxPageInterval = 100 * time.Millisecond
	// entriesPerPageSecond is the number of entries that would make the page interval one
	// second. Each is counted as polling twice within an interval.
	entriesPerPageSecond = 1600
	// maxPages is how many pages are kept for entries that poll late.
	maxPages = 64
	// maxUncompressedSize is the size up to which compressing a page saves nothing, in bytes.
	maxUncompressedSize = 512
)

// pages holds the last changes of the table in the encoding that is sent to entries.
//
// When thousands of upstreams start or fall silent within seconds, hundreds of entries need
// each change. If each change were encoded for every entry, it would cost the leader hundreds
// of times as much as encoding it once, and the leader would lose its majority.
type pages struct {
	list []page
	// end is the table's cursor up to which changes are in pages.
	end      uint64
	sealedAt time.Time
}

// page holds the changes after the cursor from.
type page struct {
	from    uint64
	count   int
	message *messages.TablePage
}

// seal creates a page of the changes since the last one.
func (p *pages) seal(now time.Time, table *enroller.Table, entries int) error {
	interval := min(maxPageInterval, max(minPageInterval, time.Duration(entries)*time.Second/entriesPerPageSecond))
	if now.Sub(p.sealedAt) < interval || table.Cursor() == p.end {
		return nil
	}
	changes, end := table.Page(now, table.ID, p.end, table.Cursor(), len(table.Upstreams()))
	content, err := proto.Marshal(&messages.UpstreamBatch{Upstreams: changes})
	if err != nil {
		return fmt.Errorf("encode the changes of the table: %w", err)
	}
	message := &messages.TablePage{Content: content}
	if len(content) > maxUncompressedSize {
		if message.Content, err = compress(content); err != nil {
			return fmt.Errorf("compress the changes of the table: %w", err)
		}
		message.Packed = true
	}
	p.list = append(p.list, page{
		from:    p.end,
		count:   len(changes),
		message: message,
	})
	if len(p.list) > maxPages {
		p.list = p.list[len(p.list)-maxPages:]
	}
	p.end = end
	p.sealedAt = now
	return nil
}

// since returns the pages after a cursor and the cursor after the last of them. They hold at
// least limit changes unless there are fewer, and at most one page more. known is false where
// no page begins at the cursor.
func (p *pages) since(cursor uint64, limit int) (found []*messages.TablePage, next uint64, known bool) {
	if cursor == p.end {
		return nil, cursor, true
	}
	count := 0
	for i := range p.list {
		if !known && p.list[i].from != cursor {
			continue
		}
		known = true
		if count >= limit {
			return found, p.list[i].from, true
		}
		count += p.list[i].count
		found = append(found, p.list[i].message)
	}
	return found, p.end, known
}

// DecodePage decodes the changes in a page.
func DecodePage(m *messages.TablePage) ([]*messages.RegisteredUpstream, error) {
	content := m.GetContent()
	if m.GetPacked() {
		var err error
		if content, err = decompress(content); err != nil {
			return nil, fmt.Errorf("decompress changes of the table: %w", err)
		}
	}
	batch := &messages.UpstreamBatch{}
	if err := proto.Unmarshal(content, batch); err != nil {
		return nil, fmt.Errorf("decode changes of the table: %w; run the same version on every instance", err)
	}
	return batch.GetUpstreams(), nil
}
