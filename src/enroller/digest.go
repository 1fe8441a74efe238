package enroller

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// digestBuckets is the number of buckets into which a digest divides a table.
const digestBuckets = 128

// Digest summarizes a table by bucket: equal buckets hold the same upstreams in the same state.
//
// It serves the case that a leader is lost and hundreds of entries follow the next leader's table
// of thousands of upstreams. Their tables differ from it in a few upstreams. If the whole table
// were sent to each entry, the traffic would keep the new leader from leading.
type Digest []uint64

// Digest returns the digest of the table. Upstreams that are gone do not count, since tables drop
// them at different times, nor do those that are withheld. The caller must not modify the digest.
func (t *Table) Digest() Digest {
	if t.digest != nil && t.digestCursor == t.cursor {
		return t.digest
	}
	buckets := make(Digest, digestBuckets)
	for _, upstream := range t.upstreams {
		if upstream.State != Gone && !t.isWithheld(upstream) {
			buckets[bucketOf(upstream.ID)] ^= upstream.fingerprint()
		}
	}
	t.digest, t.digestCursor = buckets, t.cursor
	return buckets
}

// Differences returns the upstreams in the buckets in which the table differs from another one with
// the given digest. It returns false if there are more than maxChanges or if the digest has
// another number of buckets.
func (t *Table) Differences(now time.Time, other Digest, maxChanges int) ([]*messages.RegisteredUpstream, bool) {
	if len(other) != digestBuckets {
		return nil, false
	}
	own := t.Digest()
	var changes []*messages.RegisteredUpstream
	for id, upstream := range t.upstreams {
		bucket := bucketOf(id)
		if own[bucket] == other[bucket] || t.isWithheld(upstream) {
			continue
		}
		if len(changes) == maxChanges {
			return nil, false
		}
		changes = append(changes, upstream.Message(max(0, now.Sub(upstream.HeartbeatAt))))
	}
	return changes, true
}

func bucketOf(id units.Upstream) int { return int(xxhash.Sum64String(string(id)) % digestBuckets) }

// fingerprint returns a hash of what determines how callers treat an upstream.
func (u *Upstream) fingerprint() uint64 {
	var b []byte
	for _, text := range []string{string(u.ID), string(u.Service), u.Address, string(u.DataCentre), string(u.Release)} {
		b = append(b, text...)
		b = append(b, 0)
	}
	b = binary.AppendUvarint(b, uint64(u.Incarnation))
	b = binary.AppendVarint(b, int64(u.Slots))
	b = binary.AppendVarint(b, int64(u.State))
	for _, flag := range []bool{u.Silent, u.ColdFor > 0} {
		if flag {
			b = append(b, 1)
			continue
		}
		b = append(b, 0)
	}
	return xxhash.Sum64(b)
}
