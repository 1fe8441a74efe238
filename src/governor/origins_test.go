package governor

import (
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/binder"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// newLeaderOfVersions returns a leader that has heard of one upstream of each version, and knows from the log that others
// have served.
func newLeaderOfVersions(t *testing.T, logged []units.Release, releases ...units.Release) *coordinator {
	t.Helper()
	_, c := newLeader(t)
	now := timekeeper.Now()
	c.isLeader(now)
	c.settings.HeartbeatInterval = time.Second
	c.allocator.Since = now.Add(-time.Minute)
	c.configuration = &matcher.Configuration{Services: []matcher.Service{{Name: "s"}}}
	if len(logged) > 0 {
		c.state.applyReleases(encodeReleases("s", logged))
	}
	for _, release := range releases {
		c.table.Record(now, enroller.Registration{
			ID:       "u-" + units.Upstream(release),
			Service:  "s",
			Address:  string(release),
			State:    enroller.Ready,
			Release:  release,
			Sequence: 1,
		}, 0)
	}
	if err := c.releases.tick(now); err != nil {
		t.Fatal(err)
	}
	c.origins.tick()
	return c
}

func streamsPoll(records ...binder.Record) *messages.EntryPoll {
	return &messages.EntryPoll{
		Entry:         "e1",
		Incarnation:   1,
		Serving:       true,
		WallNs:        time.Now().UnixNano(),
		StreamOrigins: EncodeOrigins(timekeeper.Now(), records),
	}
}

// reportedStream is a stream that an entry reports, with the time for which its caller still tries.
type reportedStream struct {
	stream  binder.StreamID
	release units.Release
	left    time.Duration
}

// record returns the entry's record of the stream at this moment.
func (s reportedStream) record() binder.Record {
	return binder.Record{
		Stream: s.stream,
		Origin: binder.Origin{Service: "s", Release: s.release},
		Until:  timekeeper.Now().Add(s.left),
	}
}

// Guards against a leader that guesses where a stream began, or does not tell though it knows.
func TestLeaderFindsStreams(t *testing.T) {
	const short = time.Second
	two := []units.Release{"v1", "v2"}
	cases := map[string]struct {
		// logged are the versions that are in the log before this leader has heard of any upstream.
		logged      []units.Release
		releases    []units.Release
		change      func(c *coordinator)
		services    []string
		want        messages.StreamKnowledge
		wantRelease string
	}{
		"reported":                         {releases: two, change: report(reportedStream{stream: 70, release: "v2", left: short}), want: messages.StreamKnowledge_STREAM_KNOWLEDGE_REPORTED, wantRelease: "v2"},
		"reported, of a version that left": {releases: two, change: report(reportedStream{stream: 70, release: "v0", left: short}), want: messages.StreamKnowledge_STREAM_KNOWLEDGE_REPORTED, wantRelease: "v0"},
		"reported again":                   {releases: two, change: report(reportedStream{stream: 70, release: "v1", left: short}, reportedStream{stream: 70, release: "v2", left: short}), want: messages.StreamKnowledge_STREAM_KNOWLEDGE_REPORTED, wantRelease: "v2"},
		"another one reported":             {releases: two, change: report(reportedStream{stream: 80, release: "v2", left: short}), want: messages.StreamKnowledge_STREAM_KNOWLEDGE_UNKNOWN},
		"caller has given up":              {releases: two, change: report(reportedStream{stream: 70, release: "v2", left: 0}), want: messages.StreamKnowledge_STREAM_KNOWLEDGE_UNKNOWN},
		"one version":                      {releases: two[:1], want: messages.StreamKnowledge_STREAM_KNOWLEDGE_ONLY_VERSION, wantRelease: "v1"},
		"one version, in the log alone":    {logged: two[:1], want: messages.StreamKnowledge_STREAM_KNOWLEDGE_ONLY_VERSION, wantRelease: "v1"},
		"no version in the log yet":        {want: messages.StreamKnowledge_STREAM_KNOWLEDGE_UNKNOWN},
		"one version, another in the log":  {logged: two, releases: two[:1], want: messages.StreamKnowledge_STREAM_KNOWLEDGE_UNKNOWN},
		"one version, another one left":    {releases: two, change: func(c *coordinator) { c.table.MarkGone(timekeeper.Now(), "u-v2", 0) }, want: messages.StreamKnowledge_STREAM_KNOWLEDGE_UNKNOWN},
		"one version of several services":  {releases: two[:1], services: []string{"s", "t"}, want: messages.StreamKnowledge_STREAM_KNOWLEDGE_UNKNOWN},
		"new leader":                       {releases: two, change: func(c *coordinator) { c.allocator.Since = timekeeper.Now() }},
		"lists of different lengths": {releases: two, change: func(c *coordinator) {
			c.poll(&messages.EntryPoll{Entry: "e1", StreamOrigins: []*messages.StreamOrigins{{Service: "s", Release: "v1", Streams: []uint64{7}}}})
		}, want: messages.StreamKnowledge_STREAM_KNOWLEDGE_UNKNOWN},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			leader := newLeaderOfVersions(t, c.logged, c.releases...)
			if c.change != nil {
				c.change(leader)
			}
			services := c.services
			if services == nil {
				services = []string{"s"}
			}
			got := leader.origins.find(timekeeper.Now(), &messages.FindStream{Stream: 70, Services: services})
			if got.GetKnowledge() != c.want || got.GetRelease() != c.wantRelease {
				t.Errorf("got %s of version %q, want %s of %q", got.GetKnowledge(), got.GetRelease(), c.want, c.wantRelease)
			}
		})
	}
}

func report(streams ...reportedStream) func(c *coordinator) {
	return func(c *coordinator) {
		for _, s := range streams {
			c.poll(streamsPoll(s.record()))
		}
	}
}

// Guards against entries that report streams while one version serves, and against those that do not while
// several may have begun them.
func TestLeaderWantsStreamsOfSeveralVersions(t *testing.T) {
	cases := map[string]struct {
		logged   []units.Release
		releases []units.Release
		want     bool
	}{
		"one version":                     {releases: []units.Release{"v1"}},
		"two versions":                    {releases: []units.Release{"v1", "v2"}, want: true},
		"one version, another in the log": {logged: []units.Release{"v1", "v2"}, releases: []units.Release{"v1"}, want: true},
		"one version, in the log alone":   {logged: []units.Release{"v1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			leader := newLeaderOfVersions(t, c.logged, c.releases...)
			if got := leader.poll(streamsPoll()).GetWantsStreams(); got != c.want {
				t.Errorf("wanted: got %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against a new leader that goes by streams of an earlier leadership, of which entries have since
// reported other versions.
func TestNewLeadershipKnowsNoStreams(t *testing.T) {
	c := newLeaderOfVersions(t, nil, "v1", "v2")
	c.poll(streamsPoll(reportedStream{stream: 70, release: "v1", left: time.Minute}.record()))
	c.leaderSince = time.Time{}
	c.isLeader(timekeeper.Now())
	c.allocator.Since = timekeeper.Now().Add(-time.Minute)
	if got := c.origins.find(timekeeper.Now(), &messages.FindStream{Stream: 70, Services: []string{"s"}}); got.GetKnowledge() != messages.StreamKnowledge_STREAM_KNOWLEDGE_UNKNOWN {
		t.Errorf("got %s, want the stream unknown until it is reported again", got.GetKnowledge())
	}
	if !c.poll(streamsPoll()).GetWantsStreams() {
		t.Error("wanted: got false, want the entries' streams")
	}
}

// BenchmarkEncodeOrigins measures what a poll carries of the streams that an entry began since the last one, at two
// versions.
func BenchmarkEncodeOrigins(b *testing.B) {
	for _, streams := range []int{1, 8, 512} {
		b.Run(strconv.Itoa(streams), func(b *testing.B) {
			now := time.Now()
			records := make([]binder.Record, 0, streams)
			for i := range streams {
				records = append(records, binder.Record{
					Stream: binder.NewStreamID(units.CallID(strconv.Itoa(i))),
					Origin: binder.Origin{
						Service: "model",
						Release: units.Release("v1." + strconv.Itoa(i%2)),
					},
					Until: now.Add(12 * time.Second),
				})
			}
			size := 0
			for b.Loop() {
				size = proto.Size(&messages.EntryPoll{StreamOrigins: EncodeOrigins(now, records)})
			}
			b.ReportMetric(float64(size), "bytes/poll")
		})
	}
}
