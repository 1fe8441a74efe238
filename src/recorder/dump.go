package recorder

import (
	"context"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// silenceShown is how long an unanswered question shows in the dump.
const silenceShown = 5 * time.Second

// Dump is the record's state as `rosecroft dump` prints it.
type Dump struct {
	View          uint64 `yaml:"view"`
	Records       int    `yaml:"records"`
	Answers       int    `yaml:"answers"`
	Bytes         int64  `yaml:"bytes"`
	OwnedSlots    int    `yaml:"owned-slots"`
	UnfilledSlots int    `yaml:"unfilled-slots"`
	// AbsentOwners are the entries that left a question unanswered in the last seconds.
	AbsentOwners []units.Instance `yaml:"absent-owners"`
}

// Dump returns the state of this entry's part of the record.
func (r *Recorder) Dump(ctx context.Context) (Dump, error) {
	r.prepare()
	reply := make(chan Dump, 1)
	select {
	case r.inspect <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return Dump{}, ctx.Err()
	}
}

func (r *Recorder) dump(owner *Owner) Dump {
	owner.prepare()
	return Dump{
		View:          owner.ViewNumber(),
		Records:       len(owner.store.records),
		Answers:       owner.store.answers.Len(),
		Bytes:         owner.store.bytes,
		OwnedSlots:    owner.owned(),
		UnfilledSlots: owner.unfilled(),
		AbsentOwners:  r.silent.since(time.Now().Add(-silenceShown)),
	}
}

// ViewNumber returns the number of the owner's view, 0 before the first.
func (o *Owner) ViewNumber() uint64 {
	if o.view == nil {
		return 0
	}
	return o.view.Number
}

func (o *Owner) owned() int {
	count := 0
	for slot := range o.slots {
		if hasMember(o.view.Owners(slot), o.Self) {
			count++
		}
	}
	return count
}

func (o *Owner) unfilled() int {
	count := 0
	for _, state := range o.slots {
		if state.fill != nil && !state.filled {
			count++
		}
	}
	return count
}

// silence remembers who left questions unanswered.
type silence struct {
	mu sync.Mutex
	at map[Identity]time.Time
}

func (s *silence) note(id Identity, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = make(map[Identity]time.Time)
	}
	s.at[id] = now
}

func (s *silence) since(from time.Time) []units.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []units.Instance
	for id, at := range s.at {
		if at.Before(from) {
			delete(s.at, id)
			continue
		}
		names = append(names, id.Name)
	}
	return names
}
