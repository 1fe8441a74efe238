package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// releasesInterval is how often the software versions are determined while no upstream changes: a
// version falls out of use by time alone.
const releasesInterval = time.Second

// updateReleases determines which software versions the upstreams of each service run or have lately run.
func (p *poller) updateReleases(now time.Time, upstreamsChanged bool) {
	if !upstreamsChanged && now.Sub(p.releasesAt) < releasesInterval {
		return
	}
	p.releasesAt = now
	releases := p.table.Releases(now)
	if maps.EqualFunc(releases, p.snapshot.releases, slices.Equal) {
		return
	}
	for service, list := range releases {
		if slices.Equal(list, p.snapshot.releases[service]) {
			continue
		}
		p.gateway.trafficStats.releases(service, len(list))
		p.gateway.Log.Info().
			Str("service", string(service)).
			Strs("releases", releaseNames(list)).
			Strs("before", releaseNames(p.snapshot.releases[service])).
			Msg("service-releases")
	}
	p.snapshot.releases = releases
}

func releaseNames(releases []units.Release) []string {
	names := make([]string, 0, len(releases))
	for _, release := range releases {
		names = append(names, string(release))
	}
	return names
}
