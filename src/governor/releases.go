package governor

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/replicator"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxReleases bounds the versions of a service in the log, whoever announces them.
	maxReleases = 32
	// forgetReleaseAfter is how long an instance must have led, and so heard of all upstreams that are up, before a
	// version that none of them runs is forgotten: as long as a stream that began there may be resumed.
	forgetReleaseAfter = time.Minute
	// releaseRetryDelay is how long after a proposal the next one is made.
	releaseRetryDelay = 200 * time.Millisecond
)

// releases keeps in the log which software versions serve, and keeps upstreams of a version from entries until the
// version is in the log. A leader has applied what earlier leaders have committed: so it knows every version at which an
// entry can have begun a stream. Only the coordinator's goroutine uses it.
type releases struct {
	coordinator *coordinator
	// published are the versions of whose upstreams entries may learn.
	published publishedReleases
	// proposedAt is when this leadership last proposed the versions of each service.
	proposedAt map[units.Service]time.Time
}

// startLeadership starts with nothing proposed.
func (r *releases) startLeadership() { r.proposedAt = make(map[units.Service]time.Time) }

// publishedReleases are the versions of each service that are in the log.
type publishedReleases map[units.Service][]units.Release

// withholds reports whether entries must not learn of an upstream yet. What has gone without having been known is of no
// version. Beside maxReleases versions none is withheld: no answer names one of them as the only one.
func (p publishedReleases) withholds(u *enroller.Registration) bool {
	list := p[u.Service]
	return !u.IsDeparture() && len(list) < maxReleases && !slices.Contains(list, u.Release)
}

// isWithheld reports whether entries must not learn of an upstream yet.
func (r *releases) isWithheld(u *enroller.Registration) bool { return r.published.withholds(u) }

// publish lets entries learn of the upstreams of versions that are in the log.
func (r *releases) publish() {
	before, after := r.published, publishedReleases(r.coordinator.state.releases)
	r.published = after
	if maps.EqualFunc(before, after, slices.Equal) {
		return
	}
	r.coordinator.table.Republish(func(u *enroller.Registration) bool { return before.withholds(u) && !after.withholds(u) })
}

// tick proposes the versions of services that the configuration names, where they differ from those in the log.
func (r *releases) tick(now time.Time) error {
	c := r.coordinator
	if c.configuration == nil {
		return nil
	}
	serving := c.table.Releases(now)
	for i := range c.configuration.Services {
		if err := r.propose(now, c.configuration.Services[i].Name, serving); err != nil {
			return err
		}
	}
	return nil
}

// propose proposes the versions of a service, where they differ from those in the log.
func (r *releases) propose(now time.Time, service units.Service, serving map[units.Service][]units.Release) error {
	c := r.coordinator
	known := c.state.releases[service]
	next := slices.Clone(serving[service])
	if now.Sub(c.leaderSince) < forgetReleaseAfter {
		next = append(next, known...)
	}
	slices.Sort(next)
	next = slices.Compact(next)
	if len(next) > maxReleases {
		next = limitReleases(known, next)
	}
	if slices.Equal(next, known) || now.Sub(r.proposedAt[service]) < releaseRetryDelay {
		return nil
	}
	r.proposedAt[service] = now
	c.log.Info().
		Str("service", string(service)).
		Strs("releases", names(next)).
		Strs("before", names(known)).
		Msg("service-releases")
	return c.step(replicator.Proposed{
		Command: &messages.Command{
			Change: &messages.Command_ServiceReleases{ServiceReleases: encodeReleases(service, next)},
		},
	})
}

// limitReleases returns maxReleases of the next versions, those that are known first.
func limitReleases(known, next []units.Release) []units.Release {
	limited := slices.DeleteFunc(slices.Clone(known), func(release units.Release) bool { return !slices.Contains(next, release) })
	for _, release := range next {
		if len(limited) < maxReleases && !slices.Contains(limited, release) {
			limited = append(limited, release)
		}
	}
	slices.Sort(limited)
	return limited
}

// only returns the only version of a service in the log, false if there are several or none.
func (r *releases) only(service units.Service) (units.Release, bool) {
	list := r.coordinator.state.releases[service]
	if len(list) != 1 {
		return "", false
	}
	return list[0], true
}

// areSeveral reports whether several versions of a service are in the log.
func (r *releases) areSeveral() bool {
	for _, list := range r.coordinator.state.releases {
		if len(list) > 1 {
			return true
		}
	}
	return false
}

func encodeReleases(service units.Service, list []units.Release) *messages.ServiceReleases {
	return &messages.ServiceReleases{
		Service:  string(service),
		Releases: names(list),
	}
}

// applyReleases replaces the versions of a service. Readers keep the map that they have.
func (s *state) applyReleases(next *messages.ServiceReleases) {
	service := units.Service(next.GetService())
	replaced := maps.Clone(s.releases)
	if replaced == nil {
		replaced = make(map[units.Service][]units.Release)
	}
	delete(replaced, service)
	for _, release := range next.GetReleases() {
		replaced[service] = append(replaced[service], units.Release(release))
	}
	s.releases = replaced
}

// restoreReleases restores the versions of one service.
func (s *state) restoreReleases(encoded []byte) error {
	m := &messages.ServiceReleases{}
	if err := proto.Unmarshal(encoded, m); err != nil {
		return fmt.Errorf("decode a snapshot's versions of a service: %w; run the same version on every control instance", err)
	}
	s.applyReleases(m)
	return nil
}
