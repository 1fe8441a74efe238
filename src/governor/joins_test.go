package governor

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

// forgetReleases does what a log without versions does to all instances.
func (f *controlFleet) forgetReleases() {
	for _, c := range f.instances {
		c.state.releases = nil
		c.releases.publish()
	}
}

// proposeReleases lets the leader commit the versions that serve.
func (f *controlFleet) proposeReleases(t *rapid.T) {
	leader := f.instances[0]
	leader.releases.startLeadership()
	if err := leader.releases.tick(timekeeper.Now()); err != nil {
		t.Fatal(err)
	}
}

// announceVersions lets another writer announce upstreams of as many versions of the service in use.
func (f *controlFleet) announceVersions(t rapid.TB, at, versions int) {
	for n := range versions {
		f.announce(t, at, enroller.Registration{
			ID:      units.Upstream(fmt.Sprintf("foreign-%d", n)),
			Service: "s",
			Address: fmt.Sprintf("10.2.0.%d:80", n),
			Slots:   8,
			State:   enroller.Ready,
			Release: units.Release(fmt.Sprintf("v1-%d", n)),
		})
	}
}

// checkInUse lets all entries poll, and reports sound engines that they do not use.
func (f *controlFleet) checkInUse(t *rapid.T, sound []*soundEngine) {
	for n, entry := range f.entries {
		if err := f.poll(n); err != nil {
			t.Fatalf("poll of entry %d: %v", n, err)
		}
		inUse := make(map[units.Upstream]bool)
		for _, u := range entry.table.Upstreams() {
			inUse[u.ID] = u.State == enroller.Ready
		}
		for _, e := range sound {
			if !inUse[e.registration.ID] {
				t.Fatalf("entry %d, upstream %q of version %q: got it not in use, want it in use as it was acknowledged", n, e.registration.ID, e.registration.Release)
			}
		}
	}
}

// Guards against upstreams that are acknowledged as ready and stay unknown to an entry that polls the leader, whatever other
// writers announce, also so many versions that not all of them fit the log.
func TestAcknowledgedUpstreamsReachEntries(t *testing.T) {
	f := newControlFleet(t, 2)
	none := func(int) bool { return false }
	rapid.Check(t, func(rt *rapid.T) {
		f.reset()
		f.forgetReleases()
		var sound []*soundEngine
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			at := rapid.IntRange(0, len(f.instances)-1).Draw(rt, "instance")
			switch rapid.SampledFrom([]string{"join", "foreign", "foreign", "many versions", "propose", "spread", "entry"}).Draw(rt, "step") {
			case "join":
				e := &soundEngine{registration: enroller.Registration{
					ID:      units.Upstream(fmt.Sprintf("i-%d", len(sound))),
					Service: "s",
					Address: fmt.Sprintf("10.1.0.%d:80", len(sound)),
					Slots:   8,
					State:   enroller.Ready,
					Release: units.Release(rapid.SampledFrom([]string{"v1", "v2", "zz"}).Draw(rt, "version")),
				}}
				sound = append(sound, e)
				f.announce(rt, at, e.next(enroller.Ready))
			case "foreign":
				f.announce(rt, at, drawForeign(rt, sound))
			case "many versions":
				f.announceVersions(rt, at, rapid.IntRange(1, maxReleases+8).Draw(rt, "versions"))
			case "propose":
				f.proposeReleases(rt)
			case "spread":
				f.spread(at, none)
			case "entry":
				f.addEntry()
			}
		}
		for from := range f.instances {
			f.spread(from, none)
		}
		f.proposeReleases(rt)
		f.checkInUse(rt, sound)
	})
}
