package governor

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	// leastPageTime and mostPageTime bound the time whose changes one page holds: a part of
	// the time between two polls of an entry.
	leastPageTime = tickInterval
	mostPageTime  = 100 * time.Millisecond
	// leaderPages is how many entries polling twice in a page's time make it that long.
	leaderPages = 1600
	// keptPages is how many pages are kept for entries that poll late.
	keptPages = 64
	// smallPage is the size up to which packing a page saves nothing, in bytes.
	smallPage = 512
)

// pages are the last changes of the table as entries get them.
//
// The load it answers: thousands of upstreams start or fall silent within seconds, and
// hundreds of entries follow. Encoded for each entry anew, each change costs the leader
// hundreds of times what it costs once, and the leader loses its majority over it.
type pages struct {
	list []page
	// end is the table's cursor up to which there are pages.
	end      uint64
	sealedAt time.Time
}

// page holds the changes behind the cursor from.
type page struct {
	from    uint64
	count   int
	message *messages.TablePage
}

// seal makes a page of what has changed since the last one.
func (p *pages) seal(now time.Time, table *enroller.Table, entries int) error {
	span := min(mostPageTime, max(leastPageTime, time.Duration(entries)*time.Second/leaderPages))
	if now.Sub(p.sealedAt) < span || table.Cursor() == p.end {
		return nil
	}
	changes, end := table.Part(now, table.ID, p.end, table.Cursor(), len(table.Entries()))
	content, err := proto.Marshal(&messages.UpstreamBatch{Upstreams: changes})
	if err != nil {
		return fmt.Errorf("encode the changes of the table: %w", err)
	}
	message := &messages.TablePage{Content: content}
	if len(content) > smallPage {
		if message.Content, err = compress(content); err != nil {
			return fmt.Errorf("pack the changes of the table: %w", err)
		}
		message.Packed = true
	}
	p.list = append(p.list, page{
		from:    p.end,
		count:   len(changes),
		message: message,
	})
	if len(p.list) > keptPages {
		p.list = p.list[len(p.list)-keptPages:]
	}
	p.end = end
	p.sealedAt = now
	return nil
}

// since returns the pages behind a cursor, with few changes more than most, and the cursor
// behind them; false where no page begins there.
func (p *pages) since(cursor uint64, most int) (found []*messages.TablePage, reached uint64, known bool) {
	if cursor == p.end {
		return nil, cursor, true
	}
	count := 0
	for i := range p.list {
		if !known && p.list[i].from != cursor {
			continue
		}
		known = true
		if count >= most {
			return found, p.list[i].from, true
		}
		count += p.list[i].count
		found = append(found, p.list[i].message)
	}
	return found, p.end, known
}

// Upstreams returns the changes that a page holds.
func Upstreams(m *messages.TablePage) ([]*messages.RegisteredUpstream, error) {
	content := m.GetContent()
	if m.GetPacked() {
		var err error
		if content, err = decompress(content); err != nil {
			return nil, fmt.Errorf("unpack changes of the table: %w", err)
		}
	}
	batch := &messages.UpstreamBatch{}
	if err := proto.Unmarshal(content, batch); err != nil {
		return nil, fmt.Errorf("decode changes of the table: %w; run the same version on every instance", err)
	}
	return batch.GetUpstreams(), nil
}
