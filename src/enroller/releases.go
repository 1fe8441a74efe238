package enroller

import (
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// releaseWindow is how long a software version counts as in use after the last heartbeat of an upstream
// that ran it: longer than callers try to resume a stream.
const releaseWindow = time.Minute

// formerReleases holds when the last heartbeat of a version arrived whose upstreams have since started
// again at another one, by service.
type formerReleases map[units.Service]map[units.Release]time.Time

// record records that an upstream's next heartbeat replaces the earlier one, nil for none.
func (f formerReleases) record(earlier, next *Upstream) {
	if earlier == nil || earlier.Release == next.Release && earlier.Service == next.Service {
		return
	}
	if f[earlier.Service] == nil {
		f[earlier.Service] = make(map[units.Release]time.Time)
	}
	if at := f[earlier.Service][earlier.Release]; earlier.HeartbeatAt.After(at) {
		f[earlier.Service][earlier.Release] = earlier.HeartbeatAt
	}
}

// Releases returns the software versions that upstreams of each service run or have lately run, sorted.
func (t *Table) Releases(now time.Time) map[units.Service][]units.Release {
	releases := make(map[units.Service][]units.Release)
	add := func(service units.Service, release units.Release, heartbeatAt time.Time) {
		if now.Sub(heartbeatAt) <= releaseWindow && !slices.Contains(releases[service], release) {
			releases[service] = append(releases[service], release)
		}
	}
	for _, u := range t.upstreams {
		if u.IsDeparture() {
			continue // It is not known which version has gone.
		}
		add(u.Service, u.Release, u.HeartbeatAt)
	}
	for service, former := range t.former {
		for release, heartbeatAt := range former {
			add(service, release, heartbeatAt)
		}
	}
	for _, list := range releases {
		slices.Sort(list)
	}
	return releases
}
