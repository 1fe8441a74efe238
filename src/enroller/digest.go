package enroller

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// digestParts is how many parts of a table are told apart.
const digestParts = 128

// Digest sums up a table, part by part; equal parts hold the same upstreams in the same
// state.
//
// The load it answers: a leader is lost, and hundreds of entries follow the next one's table
// of thousands of upstreams. What they have differs in a few of them; brought whole to each
// entry, the tables would keep the new leader from leading.
type Digest []uint64

// Digest returns the digest of the table. Upstreams that are gone do not count, since tables
// forget them at different times. The digest is not to be changed.
func (t *Table) Digest() Digest {
	if t.digest != nil && t.digestAt == t.cursor {
		return t.digest
	}
	d := make(Digest, digestParts)
	for _, entry := range t.entries {
		if entry.State != Gone {
			d[partOf(entry.ID)] ^= entry.fingerprint()
		}
	}
	t.digest, t.digestAt = d, t.cursor
	return d
}

// Differing returns the upstreams in the parts in which another table with a digest differs,
// and false where they are more than most or the digest is of another kind.
func (t *Table) Differing(now time.Time, other Digest, most int) ([]*messages.RegisteredUpstream, bool) {
	if len(other) != digestParts {
		return nil, false
	}
	own := t.Digest()
	var changes []*messages.RegisteredUpstream
	for id, entry := range t.entries {
		part := partOf(id)
		if own[part] == other[part] {
			continue
		}
		if len(changes) == most {
			return nil, false
		}
		changes = append(changes, entry.message(max(0, now.Sub(entry.HeardAt))))
	}
	return changes, true
}

func partOf(id units.Upstream) int { return int(xxhash.Sum64String(string(id)) % digestParts) }

// fingerprint returns a hash of what callers of an upstream go by.
func (e *Entry) fingerprint() uint64 {
	var b []byte
	for _, text := range []string{string(e.ID), string(e.Service), e.Address, string(e.DataCentre), string(e.Release)} {
		b = append(b, text...)
		b = append(b, 0)
	}
	b = binary.AppendUvarint(b, uint64(e.Born))
	b = binary.AppendVarint(b, int64(e.Slots))
	b = binary.AppendVarint(b, int64(e.State))
	for _, flag := range []bool{e.Silent, e.ColdFor > 0} {
		if flag {
			b = append(b, 1)
			continue
		}
		b = append(b, 0)
	}
	return xxhash.Sum64(b)
}
