package recorder

import (
	"context"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// unresponsiveWindow is how long an entry is listed in the dump after a request to it
// failed.
const unresponsiveWindow = 5 * time.Second

// Dump is the state of the records as `rosecroft dump` prints it.
type Dump struct {
	View          uint64 `yaml:"view"`
	Records       int    `yaml:"records"`
	Answers       int    `yaml:"answers"`
	Bytes         int64  `yaml:"bytes"`
	OwnedSlots    int    `yaml:"owned-slots"`
	UnfilledSlots int    `yaml:"unfilled-slots"`
	// AbsentOwners are the entries that failed to answer a request in the last
	// unresponsiveWindow.
	AbsentOwners []units.Instance `yaml:"absent-owners"`
}

// Dump returns the state of the records that this entry holds.
func (r *Recorder) Dump(ctx context.Context) (Dump, error) {
	r.initialize()
	reply := make(chan Dump, 1)
	select {
	case r.dumpRequests <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return Dump{}, ctx.Err()
	}
}

func (r *Recorder) dump(owner *Owner) Dump {
	owner.initialize()
	return Dump{
		View:          owner.ViewNumber(),
		Records:       len(owner.store.records),
		Answers:       owner.store.answers.Len(),
		Bytes:         owner.store.bytes,
		OwnedSlots:    owner.ownedSlots(),
		UnfilledSlots: owner.unfilledSlots(),
		AbsentOwners:  r.unresponsive.since(time.Now().Add(-unresponsiveWindow)),
	}
}

// ViewNumber returns the number of the owner's view, 0 before the first.
func (o *Owner) ViewNumber() uint64 {
	if o.view == nil {
		return 0
	}
	return o.view.Number
}

func (o *Owner) ownedSlots() int {
	count := 0
	for slot := range o.slots {
		if hasMember(o.view.Owners(slot), o.Self) {
			count++
		}
	}
	return count
}

func (o *Owner) unfilledSlots() int {
	count := 0
	for _, state := range o.slots {
		if state.fill != nil && !state.filled {
			count++
		}
	}
	return count
}

// unresponsivePeers records when requests to other entries last failed.
type unresponsivePeers struct {
	mu          sync.Mutex
	lastFailure map[Identity]time.Time
}

func (u *unresponsivePeers) record(id Identity, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lastFailure == nil {
		u.lastFailure = make(map[Identity]time.Time)
	}
	u.lastFailure[id] = now
}

// since returns the entries that failed to respond since from, and drops older ones.
func (u *unresponsivePeers) since(from time.Time) []units.Instance {
	u.mu.Lock()
	defer u.mu.Unlock()
	var names []units.Instance
	for id, at := range u.lastFailure {
		if at.Before(from) {
			delete(u.lastFailure, id)
			continue
		}
		names = append(names, id.Name)
	}
	return names
}
