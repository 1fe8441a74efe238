package governor

import (
	"errors"
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
	// maxPageRows is how many upstreams one page holds at most; with the longest texts it is a third of maxDecompressed.
	maxPageRows = 4096
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

// isDue reports whether the table has changes that are due to be sealed.
func (p *pages) isDue(now time.Time, table *enroller.Table, entries int) bool {
	interval := min(maxPageInterval, max(minPageInterval, time.Duration(entries)*time.Second/entriesPerPageSecond))
	return now.Sub(p.sealedAt) >= interval && table.Cursor() != p.end
}

// seal creates pages of the changes since the last one, also where it returns an error: that names upstreams that are
// left out.
func (p *pages) seal(now time.Time, table *enroller.Table) error {
	var errs []error
	for p.end < table.Cursor() {
		changes, end := table.Page(now, table.ID, p.end, table.Cursor(), maxPageRows)
		message, err := newTablePage(changes)
		errs = append(errs, err)
		p.list = append(p.list, page{
			from:    p.end,
			count:   len(changes),
			message: message,
		})
		p.end = end
	}
	if len(p.list) > maxPages {
		p.list = p.list[len(p.list)-maxPages:]
	}
	p.sealedAt = now
	return errors.Join(errs...)
}

// newTablePage encodes changes of the table; its error names those that are left out.
func newTablePage(changes []*messages.RegisteredUpstream) (*messages.TablePage, error) {
	content, err := encodeUpstreams(changes)
	if len(content) <= maxUncompressedSize {
		return &messages.TablePage{Content: content}, err
	}
	packed, compressErr := compress(content)
	if compressErr != nil {
		// Readers take content as it is, too.
		return &messages.TablePage{Content: content}, errors.Join(err, compressErr)
	}
	return &messages.TablePage{
		Content: packed,
		Packed:  true,
	}, err
}

// encodeUpstreams encodes upstreams. One that cannot be encoded is left out, and named by the error.
func encodeUpstreams(upstreams []*messages.RegisteredUpstream) ([]byte, error) {
	all, err := proto.Marshal(&messages.UpstreamBatch{Upstreams: upstreams})
	if err == nil {
		return all, nil
	}
	var content []byte
	var errs []error
	for _, upstream := range upstreams {
		row, err := proto.Marshal(&messages.UpstreamBatch{Upstreams: []*messages.RegisteredUpstream{upstream}})
		if err != nil {
			errs = append(errs, fmt.Errorf("encode upstream %q: %w", upstream.GetId(), err))
			continue
		}
		// The encodings of two batches, one after the other, are that of a batch with the upstreams of both.
		content = append(content, row...)
	}
	return content, errors.Join(errs...)
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
