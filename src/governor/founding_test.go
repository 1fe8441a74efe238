package governor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
)

// declare sends a configuration to all instances in turn until it is acknowledged, and reports whether it is within a time.
func (f *replicatedFleet) declare(version uint64, within time.Duration) bool {
	for end := f.now.Add(within); f.now.Before(end); {
		for _, m := range f.members {
			if f.declareAt(m, version) {
				return true
			}
		}
		f.run(tickInterval)
	}
	return false
}

// declareAt sends a configuration to one instance, and reports whether that acknowledges it within the time of a call.
func (f *replicatedFleet) declareAt(m *fleetMember, version uint64) bool {
	if m.coordinator == nil || m.isFrozen {
		return false
	}
	reply := make(chan declareReply, 1)
	m.handle(declareRequested{
		declaration: &messages.Declaration{Version: version, Document: []byte("{}")},
		reply:       reply,
	})
	for end := f.now.Add(callTimeout); ; f.run(tickInterval) {
		select {
		case got := <-reply:
			return got.accepted
		default:
		}
		if !f.now.Before(end) {
			return false
		}
	}
}

// readVersion returns the version that the fleet reads back within a time, 0 for none.
func (f *replicatedFleet) readVersion(within time.Duration) uint64 {
	for end := f.now.Add(within); f.now.Before(end); f.run(tickInterval) {
		for _, m := range f.members {
			if m.coordinator == nil || m.isFrozen {
				continue
			}
			if reply := m.coordinator.read(); reply.authoritative {
				return reply.declaration.GetVersion()
			}
		}
	}
	return 0
}

// Guards against a configuration that is acknowledged while a loss of as many disks as the settings tolerate can take it,
// as some instances are late, frozen or killed at the first start.
func TestAcknowledgedConfigurationsOutliveLostDisks(t *testing.T) {
	const recoveryTime = 12 * time.Second
	// late are the instances that are frozen after their first start, and until when.
	for _, frozen := range [][]int{nil, {0}, {1}, {2}, {3}, {4}, {0, 3}, {3, 4}, {1, 2}} {
		for _, until := range []time.Duration{400 * time.Millisecond, 3300 * time.Millisecond, 8 * time.Second, 15 * time.Second} {
			t.Run(fmt.Sprintf("frozen %v until %v", frozen, until), func(t *testing.T) {
				t.Parallel()
				for lost := range 10 {
					f := startReplicatedFleet(t, 5, rand.New(rand.NewPCG(uint64(lost), 0)))
					f.run(150 * time.Millisecond)
					for _, n := range frozen {
						f.members[n].isFrozen = true
					}
					acknowledged := f.declare(7, until)
					wakeAt := func() {
						for _, n := range frozen {
							f.members[n].isFrozen = false
						}
					}
					if !acknowledged {
						wakeAt()
						if !f.declare(7, recoveryTime) {
							t.Fatalf("configuration with all instances running: got no acknowledgement within %v, want one", recoveryTime)
						}
					}
					first, second := pairOf(lost)
					f.members[first].loseDisk()
					f.members[second].loseDisk()
					f.run(time.Second)
					wakeAt()
					if got := f.readVersion(recoveryTime); got != 7 {
						t.Errorf("version read back after the disks of %d and %d are lost: got %d, want 7", first, second, got)
					}
				}
			})
		}
	}
}

// pairOf returns the n-th of the ten pairs of five instances.
func pairOf(n int) (first, second int) {
	for first = range 4 {
		if n < 4-first {
			return first, first + 1 + n
		}
		n -= 4 - first
	}
	return 0, 1
}

// Guards against a deployment that never acknowledges a configuration, as one instance of those that the settings call for
// does not come up, or has been lost.
func TestOneMissingInstanceDoesNotKeepAcknowledgementsBack(t *testing.T) {
	for missing := 3; missing < 5; missing++ {
		f := startReplicatedFleet(t, 5, rand.New(rand.NewPCG(1, 0)))
		f.members[missing].kill()
		if !f.declare(7, 20*time.Second) {
			t.Errorf("configuration without instance %d: got no acknowledgement within 20 s, want one", missing)
		}
	}
}
