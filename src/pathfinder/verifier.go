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
	// Ask returns whether another entry reaches an upstream, and whether one can tell.
	Ask func(ctx context.Context, service units.Service, id units.IncarnationID) (reached, known bool)
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
		reached, known := v.Ask(ctx, service, id)
		cancel()
		reach, changed := v.Pathfinder.RecordAnswer(timekeeper.Now(), service, id, reached, known)
		if changed {
			v.OnChange(reach)
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
