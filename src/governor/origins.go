package governor

import (
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/binder"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// maxStreams bounds the records that the leader remembers, two for each stream. A thousand entries begin
// some 40,000 a second, and callers try for some ten seconds.
const maxStreams = 1 << 21

// origins remembers at which versions streams began that entries report. Only the coordinator's goroutine
// uses it.
type origins struct {
	coordinator *coordinator
	ledger      binder.Ledger
	// wanted is whether entries had to report their streams at the last tick.
	wanted bool
}

// startLeadership starts with no streams reported by entries, which report theirs to each leader.
func (o *origins) startLeadership() {
	o.ledger = binder.Ledger{MaxStreams: maxStreams}
}

// isWanted reports whether entries must report their streams, as several versions serve.
func (o *origins) isWanted() bool { return o.coordinator.releases.areSeveral() }

// tick logs whether entries must report their streams.
func (o *origins) tick() {
	if wanted := o.isWanted(); wanted != o.wanted {
		o.wanted = wanted
		o.coordinator.log.Info().
			Bool("wanted", wanted).
			Int("streams", o.ledger.Len()).
			Msg("streams-wanted")
	}
}

func names(releases []units.Release) []string {
	list := make([]string, 0, len(releases))
	for _, release := range releases {
		list = append(list, string(release))
	}
	return list
}

// record records the streams that an entry reports.
func (o *origins) record(now time.Time, entry units.Instance, poll *messages.EntryPoll) {
	dropped := 0
	for _, m := range poll.GetStreamOrigins() {
		dropped += o.ledger.Record(now, decodeOrigins(now, m))
	}
	if dropped > 0 {
		o.coordinator.log.Warn().
			Str("entry", string(entry)).
			Int("dropped", dropped).
			Int("streams", o.ledger.Len()).
			Msg("streams-dropped")
	}
}

// find returns where a stream began.
func (o *origins) find(now time.Time, m *messages.FindStream) *messages.FindStreamResponse {
	c := o.coordinator
	response := &messages.FindStreamResponse{Leader: string(c.node.LeaderID())}
	if !c.isLeader(now) {
		return response
	}
	origin, reported := o.ledger.Find(now, binder.StreamID(m.GetStream()))
	only, isOnly := o.onlyOrigin(m.GetServices())
	switch {
	case reported:
		response.Knowledge = messages.StreamKnowledge_STREAM_KNOWLEDGE_REPORTED
	case isOnly:
		response.Knowledge = messages.StreamKnowledge_STREAM_KNOWLEDGE_ONLY_VERSION
		origin = only
	case !c.allocator.Settled(now):
		return response
	default:
		response.Knowledge = messages.StreamKnowledge_STREAM_KNOWLEDGE_UNKNOWN
	}
	response.Service, response.Release = string(origin.Service), string(origin.Release)
	return response
}

// onlyOrigin returns the only version of the only service that serves a stream, false if there are several. What other
// leaders let entries know before is in the log, and so the answer holds for all streams that have begun by now.
func (o *origins) onlyOrigin(services []string) (binder.Origin, bool) {
	if len(services) != 1 {
		return binder.Origin{}, false
	}
	service := units.Service(services[0])
	release, isOnly := o.coordinator.releases.only(service)
	return binder.Origin{
		Service: service,
		Release: release,
	}, isOnly
}

// EncodeOrigins encodes streams by the version at which they began.
func EncodeOrigins(now time.Time, records []binder.Record) []*messages.StreamOrigins {
	byOrigin := make(map[binder.Origin]*messages.StreamOrigins)
	for _, record := range records {
		m := byOrigin[record.Origin]
		if m == nil {
			m = &messages.StreamOrigins{
				Service: string(record.Origin.Service),
				Release: string(record.Origin.Release),
			}
			byOrigin[record.Origin] = m
		}
		m.Streams = append(m.Streams, uint64(record.Stream))
		m.LeftMs = append(m.LeftMs, uint32(max(0, record.Until.Sub(now).Milliseconds())))
	}
	return slices.Collect(maps.Values(byOrigin))
}

// decodeOrigins decodes streams that began at one version. It returns none for a message whose lists differ in
// length.
func decodeOrigins(now time.Time, m *messages.StreamOrigins) []binder.Record {
	if len(m.GetLeftMs()) != len(m.GetStreams()) {
		return nil
	}
	records := make([]binder.Record, 0, len(m.GetStreams()))
	for i, stream := range m.GetStreams() {
		records = append(records, binder.Record{
			Stream: binder.StreamID(stream),
			Origin: binder.Origin{
				Service: units.Service(m.GetService()),
				Release: units.Release(m.GetRelease()),
			},
			Until: now.Add(time.Duration(m.GetLeftMs()[i]) * time.Millisecond),
		})
	}
	return records
}
