package governor

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/matcher"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against a stream that began at a version which the leader does not count: entries follow the table late or not at
// all, heartbeats are lost, and leaders follow each other that have heard of few upstreams. Where the leader answers that
// one version alone serves, no stream can have begun at another one.
func TestOnlyVersionHoldsForAllStreams(t *testing.T) {
	f := newControlFleet(t, 0)
	leader := f.instances[0]
	rapid.Check(t, func(t *rapid.T) {
		f.reset()
		f.addEntry()
		leader.state.releases = nil
		leader.releases.publish()
		leader.releases.startLeadership()
		leader.configuration = &matcher.Configuration{Services: []matcher.Service{{Name: "s"}}}
		leader.allocator.Since = timekeeper.Now().Add(-time.Minute)
		var streams []units.Release
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")
			switch rapid.SampledFrom([]string{"join", "join many", "poll", "poll", "begin", "begin", "propose", "new leader"}).Draw(t, "step") {
			case "join":
				join(leader, units.Release(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")))
			case "join many":
				joinMany(leader, rapid.IntRange(1, maxReleases+8).Draw(t, "versions"))
			case "poll":
				if err := f.poll(n); err != nil {
					t.Fatal(err)
				}
			case "begin":
				for _, u := range f.entries[n].table.Upstreams() {
					if u.State == enroller.Ready {
						streams = append(streams, u.Release)
					}
				}
			case "propose":
				leader.releases.startLeadership()
				if err := leader.releases.tick(timekeeper.Now()); err != nil {
					t.Fatal(err)
				}
			case "new leader":
				forgetUpstreams(leader)
				leader.leaderSince = timekeeper.Now()
				f.entries[n].cursor = 0
			}
			response := leader.origins.find(timekeeper.Now(), &messages.FindStream{Stream: 1, Services: []string{"s"}})
			if response.GetKnowledge() != messages.StreamKnowledge_STREAM_KNOWLEDGE_ONLY_VERSION {
				continue
			}
			for _, began := range streams {
				if began != units.Release(response.GetRelease()) {
					t.Fatalf("the leader knows version %q alone, and a stream began at %q", response.GetRelease(), began)
				}
			}
		}
	})
}

// join lets an instance hear of another upstream of a version.
func join(c *coordinator, release units.Release) {
	id := fmt.Sprint(len(c.table.Upstreams()))
	c.table.Record(timekeeper.Now(), enroller.Registration{
		ID:      units.Upstream(id),
		Service: "s",
		Address: id,
		State:   enroller.Ready,
		Release: release,
	}, 0)
}

// joinMany lets an instance hear of upstreams of as many versions.
func joinMany(c *coordinator, versions int) {
	for n := range versions {
		join(c, units.Release(fmt.Sprintf("many-%02d", n)))
	}
}

// Guards against versions that are forgotten while callers may resume streams that began at them, that are kept for ever, or
// that other writers add without bound.
func TestVersionsInTheLog(t *testing.T) {
	many := make([]units.Release, 0, maxReleases+8)
	for n := range maxReleases + 8 {
		many = append(many, units.Release(fmt.Sprintf("v%02d", n)))
	}
	cases := map[string]struct {
		logged, heard []units.Release
		service       units.Service
		led           time.Duration
		want          []units.Release
	}{
		"new version":                   {logged: many[:1], heard: many[1:2], want: many[:2]},
		"first versions":                {heard: many[:3], want: many[:3]},
		"not heard of by a new leader":  {logged: many[:2], heard: many[:1], want: many[:2]},
		"not heard of for a minute":     {logged: many[:2], heard: many[:1], led: forgetReleaseAfter, want: many[:1]},
		"none heard of for a minute":    {logged: many[:2], led: forgetReleaseAfter},
		"of a service that is not used": {heard: many[:2], service: "other"},
		"more than can be":              {logged: many[4:6], heard: many, want: slices.Concat(many[:maxReleases])},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, leader := newLeader(t)
			now := timekeeper.Now()
			leader.isLeader(now)
			leader.leaderSince = now.Add(-c.led)
			leader.configuration = &matcher.Configuration{Services: []matcher.Service{{Name: "s"}}}
			if len(c.logged) > 0 {
				leader.state.applyReleases(encodeReleases("s", c.logged))
				leader.releases.publish()
			}
			service := units.Service("s")
			if c.service != "" {
				service = c.service
			}
			for _, release := range c.heard {
				leader.table.Record(now, enroller.Registration{
					ID:      units.Upstream(release),
					Service: service,
					Address: string(release),
					State:   enroller.Ready,
					Release: release,
				}, 0)
			}
			if err := leader.releases.tick(now); err != nil {
				t.Fatal(err)
			}
			if got := leader.state.releases["s"]; !slices.Equal(got, c.want) {
				t.Errorf("versions in the log: got %q, want %q", got, c.want)
			}
			f := &controlFleet{instances: []*coordinator{leader}}
			f.addEntry()
			if err := f.poll(0); err != nil {
				t.Fatal(err)
			}
			told := c.want
			if len(c.want) == maxReleases {
				told = c.heard
			}
			for _, u := range f.entries[0].table.Upstreams() {
				if !slices.Contains(told, u.Release) {
					t.Errorf("an entry has heard of upstream %q of version %q, which is not in the log", u.ID, u.Release)
				}
			}
			if got, want := len(f.entries[0].table.Upstreams()), countCommon(told, c.heard); c.service == "" && got != want {
				t.Errorf("upstreams that an entry has heard of: got %d, want %d", got, want)
			}
		})
	}
}

func countCommon(a, b []units.Release) int {
	count := 0
	for _, release := range a {
		if slices.Contains(b, release) {
			count++
		}
	}
	return count
}

// Guards against versions that a snapshot loses, or that return with one from before they were forgotten.
func TestSnapshotKeepsVersions(t *testing.T) {
	s := newState()
	s.applyReleases(encodeReleases("s", []units.Release{"", "v1"}))
	s.applyReleases(encodeReleases("t", []units.Release{"v2"}))
	content, err := s.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := newState()
	restored.applyReleases(encodeReleases("u", []units.Release{"v0"}))
	if err := restored.restore(content); err != nil {
		t.Fatal(err)
	}
	if got, want := fmt.Sprintf("%q", restored.releases), fmt.Sprintf("%q", s.releases); got != want {
		t.Errorf("versions: got %s, want %s", got, want)
	}
}

// Guards against upstreams that entries never hear of, as their version was committed after the table had changed last.
func TestReleasesReachEntriesOnceLogged(t *testing.T) {
	f := newControlFleet(t, 0)
	f.reset()
	leader := f.instances[0]
	leader.configuration = &matcher.Configuration{Services: []matcher.Service{{Name: "s"}}}
	leader.table.Record(timekeeper.Now(), enroller.Registration{
		ID:      "u",
		Service: "s",
		Address: "10.0.0.1:80",
		State:   enroller.Ready,
		Release: "v1",
	}, 0)
	for step, want := range []int{0, 1} {
		if err := f.poll(0); err != nil {
			t.Fatal(err)
		}
		if got := len(f.entries[0].table.Upstreams()); got != want {
			t.Fatalf("upstreams at an entry before (0) or after (1) the commit, %d: got %d, want %d", step, got, want)
		}
		if err := leader.releases.tick(timekeeper.Now()); err != nil {
			t.Fatal(err)
		}
	}
}
