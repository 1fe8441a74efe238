package quarantiner

import (
	"slices"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// mostNews bounds what an entry keeps for a next leader.
	mostNews = 256
	// recentSlots is how many requests that have run are remembered, the last one in each
	// slot.
	recentSlots = 4096
)

// Number numbers an entry's news, from 1.
type Number uint64

// News is what an entry has seen: a loss, or that a request has run.
type News struct {
	Number Number
	Loss   Loss
	// Ran says that Loss.Request has run, and that nothing was lost.
	Ran bool
	at  time.Time
}

// Evidence is what one entry has seen of requests and lost upstreams, for the leader of the
// moment and those that come after it. It may be used from several goroutines.
type Evidence struct {
	mu     sync.Mutex
	news   []News
	last   Number
	recent [recentSlots]recentRun
	// suspects are the requests that some entry has lost an upstream with.
	suspects map[units.Fingerprint]bool
}

// recentRun is a request that has run.
type recentRun struct {
	request units.Fingerprint
	at      time.Time
}

// Lose takes the loss of an upstream with a request and reports whether it counts: what has
// run lately ends no upstreams.
func (e *Evidence) Lose(now time.Time, loss Loss) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ranLately(now, loss.Request) {
		return false
	}
	e.suspect(loss.Request)
	e.tell(News{
		Loss: loss,
		at:   now,
	})
	return true
}

// Ran takes that a request has run, and reports whether it was suspected.
func (e *Evidence) Ran(now time.Time, request units.Fingerprint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recent[uint64(request)%recentSlots] = recentRun{
		request: request,
		at:      now,
	}
	if !e.suspects[request] {
		return false
	}
	e.clear(now, request)
	return true
}

// Follow takes the requests that some entry has lost an upstream with.
func (e *Evidence) Follow(now time.Time, suspects []units.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspects = nil
	for _, request := range suspects {
		if e.ranLately(now, request) {
			e.clear(now, request)
			continue
		}
		e.suspect(request)
	}
	for _, n := range e.news {
		if !n.Ran {
			e.suspect(n.Loss.Request)
		}
	}
}

// Recall tells of the requests among these that have run here lately.
func (e *Evidence) Recall(now time.Time, requests []units.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, request := range requests {
		if e.ranLately(now, request) {
			e.clear(now, request)
		}
	}
}

// After returns the news behind a number, so many at most.
func (e *Evidence) After(now time.Time, number Number, most int) []News {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.news = slices.DeleteFunc(e.news, func(n News) bool { return now.Sub(n.at) >= suspectFor })
	first := slices.IndexFunc(e.news, func(n News) bool { return n.Number > number })
	if first < 0 {
		return nil
	}
	return slices.Clone(e.news[first:min(len(e.news), first+most)])
}

func (e *Evidence) ranLately(now time.Time, request units.Fingerprint) bool {
	run := e.recent[uint64(request)%recentSlots]
	return run.request == request && !run.at.IsZero() && now.Sub(run.at) < ranFor
}

func (e *Evidence) suspect(request units.Fingerprint) {
	if e.suspects == nil {
		e.suspects = make(map[units.Fingerprint]bool)
	}
	e.suspects[request] = true
}

// clear tells that a request has run, in place of what was said of it before.
func (e *Evidence) clear(now time.Time, request units.Fingerprint) {
	delete(e.suspects, request)
	e.news = slices.DeleteFunc(e.news, func(n News) bool { return n.Loss.Request == request })
	e.tell(News{
		Loss: Loss{Request: request},
		Ran:  true,
		at:   now,
	})
}

func (e *Evidence) tell(n News) {
	e.last++
	n.Number = e.last
	e.news = append(e.news, n)
	if len(e.news) > mostNews {
		e.news = slices.Delete(e.news, 0, 1)
	}
}
