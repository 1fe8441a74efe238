package pathfinder

import (
	"context"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// answerTimeout is how long other entries are asked about one upstream.
	answerTimeout = time.Second
	// waitTimeout is how long an attempt waits for their answers.
	waitTimeout = 100 * time.Millisecond
)

// Verifier asks other entries whether they reach what this one does not, once for all attempts that fail meanwhile; its
// exported fields are set before use.
type Verifier struct {
	Pathfinder *Pathfinder
	// Ask returns what other entries tell of an upstream.
	Ask func(ctx context.Context, service units.Service, id units.IncarnationID) Answer
	// Connect attempts a connection of this entry's own to an upstream that others are asked about, and records its
	// outcome in the pathfinder: an earlier one may have timed out because an instance was busy.
	Connect func(ctx context.Context, service units.Service, id units.IncarnationID) error
	// OnChange is called when a service has become partitioned.
	OnChange func(reach Reach)

	mu sync.Mutex
	// asking holds, for each service that others are asked about, what is closed once they have answered.
	asking map[units.Service]chan struct{}
}

// Verify asks other entries if a service looks partitioned. It does not wait for them.
func (v *Verifier) Verify(service units.Service) {
	if _, found := v.Pathfinder.Question(timekeeper.Now(), service); !found {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.asking[service] != nil {
		return
	}
	if v.asking == nil {
		v.asking = make(map[units.Service]chan struct{})
	}
	answered := make(chan struct{})
	v.asking[service] = answered
	go func() {
		v.ask(service)
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.asking, service)
		close(answered)
	}()
}

func (v *Verifier) ask(service units.Service) {
	for {
		id, found := v.Pathfinder.Question(timekeeper.Now(), service)
		if !found {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		attempted := make(chan struct{})
		go func() {
			defer close(attempted)
			// Its outcome is recorded.
			_ = v.Connect(context.Background(), service, id)
		}()
		answer := v.Ask(ctx, service, id)
		cancel()
		<-attempted
		reach, changed := v.Pathfinder.RecordAnswer(timekeeper.Now(), service, id, answer)
		if changed {
			v.OnChange(reach)
		}
		if answer == AnswerNone {
			// The next attempt that fails asks again.
			return
		}
	}
}

// IsPartitioned reports whether a service is partitioned from this entry after an attempt to connect has failed. It waits
// for the answers of other entries if they are being asked, as the attempt may then go through one of them.
func (v *Verifier) IsPartitioned(ctx context.Context, service units.Service) bool {
	v.mu.Lock()
	answered := v.asking[service]
	v.mu.Unlock()
	if answered != nil {
		ctx, cancel := context.WithTimeout(ctx, waitTimeout)
		defer cancel()
		select {
		case <-answered:
		case <-ctx.Done():
		}
	}
	return v.Pathfinder.IsPartitioned(service)
}
