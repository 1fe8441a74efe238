package evaluator

import (
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// maxCollected bounds the upstreams whose outcomes are kept until they are reported: more than
	// an entry calls between two polls.
	maxCollected = 512
	// maxFailedRequests bounds the requests that are remembered because they failed. A failure of a
	// further one counts at once.
	maxFailedRequests = 1024
	// holdTime is how long a failure waits for another attempt of its request: one that fails elsewhere
	// as well has failed because of the request. A retry follows within milliseconds, and the calls that
	// fail because of the request are short.
	holdTime = 300 * time.Millisecond
	// requestTTL is how long after its last failure a request is remembered. A request that fails
	// everywhere and is repeated more often counts once.
	requestTTL = 10 * time.Second
)

// Outcomes is how many calls an upstream has answered, and how many have failed because of it.
type Outcomes struct {
	Answers  int
	Failures int
}

// Collector counts an entry's calls by upstream until they are reported, and leaves out those that fail
// because of the request. It is safe for concurrent use.
type Collector struct {
	mu       sync.Mutex
	outcomes map[units.IncarnationID]Outcomes
	requests map[units.Fingerprint]failedRequest
}

// failedRequest is a request that has failed and has not been answered since.
type failedRequest struct {
	id       units.IncarnationID
	failedAt time.Time
	// counted is set once the failure counts against the upstream.
	counted bool
	// everywhere is set once the request has failed at another upstream too.
	everywhere bool
}

// RecordAnswer records that an upstream has answered a request; its fingerprint is 0 if unknown.
func (c *Collector) RecordAnswer(id units.IncarnationID, request units.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(id, Outcomes{Answers: 1})
	failed, found := c.requests[request]
	if !found {
		return
	}
	delete(c.requests, request)
	if !failed.counted && !failed.everywhere {
		c.add(failed.id, Outcomes{Failures: 1})
	}
}

// RecordFailure records that a request has failed because of an upstream, as far as this attempt tells.
// It does not count if the request fails at another upstream too, nor if the same failure counts already;
// where another attempt may follow, it counts only once that has not failed.
func (c *Collector) RecordFailure(now time.Time, id units.IncarnationID, request units.Fingerprint, mayRepeat bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	failed, found := c.requests[request]
	if found && now.Sub(failed.failedAt) < requestTTL {
		failed.everywhere = failed.everywhere || failed.id != id
		failed.failedAt = now
		c.requests[request] = failed
		return
	}
	if request == 0 || !found && len(c.requests) >= maxFailedRequests {
		c.add(id, Outcomes{Failures: 1})
		return
	}
	if found && !failed.counted && !failed.everywhere {
		c.add(failed.id, Outcomes{Failures: 1})
	}
	if c.requests == nil {
		c.requests = make(map[units.Fingerprint]failedRequest)
	}
	c.requests[request] = failedRequest{
		id:       id,
		failedAt: now,
		counted:  !mayRepeat,
	}
	if !mayRepeat {
		c.add(id, Outcomes{Failures: 1})
	}
}

// add counts outcomes of an upstream; mu is held.
func (c *Collector) add(id units.IncarnationID, outcomes Outcomes) {
	sum, known := c.outcomes[id]
	if !known && len(c.outcomes) >= maxCollected {
		return
	}
	if c.outcomes == nil {
		c.outcomes = make(map[units.IncarnationID]Outcomes)
	}
	sum.Answers += outcomes.Answers
	sum.Failures += outcomes.Failures
	c.outcomes[id] = sum
}

// Take returns the outcomes since the last call, and forgets them. Failures that may yet prove to be
// their request's are part of a later one.
func (c *Collector) Take(now time.Time) map[units.IncarnationID]Outcomes {
	c.mu.Lock()
	defer c.mu.Unlock()
	for request, failed := range c.requests {
		age := now.Sub(failed.failedAt)
		if !failed.counted && !failed.everywhere && age >= holdTime {
			c.add(failed.id, Outcomes{Failures: 1})
			failed.counted = true
			c.requests[request] = failed
		}
		if age >= requestTTL {
			delete(c.requests, request)
		}
	}
	taken := c.outcomes
	c.outcomes = nil
	return taken
}
