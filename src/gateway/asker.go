package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// questionTimeout is how long an upstream that was silent has for an answer; one that was suspended answers the
	// question that waits when it continues.
	questionTimeout = 2 * time.Second
	// The time between two questions doubles from minQuestionInterval to maxQuestionInterval: an upstream that closes
	// each connection, or has ended, fails at once.
	minQuestionInterval = 250 * time.Millisecond
	maxQuestionInterval = 2 * time.Second
	// questionPeriod is for how long an upstream is asked: the longest ejection.
	questionPeriod = 30 * time.Second
)

// identityAsker asks upstreams again that have left the question for their incarnation unanswered. Such an upstream is
// ejected although it accepts connections, and without an answer it would stay so after it has continued. The exported
// fields are set before use.
type identityAsker struct {
	// Ask asks an upstream for its incarnation on a new connection, which readmits the upstream if it answers.
	Ask func(ctx context.Context, upstream *tracker.Upstream, timeout time.Duration) (exchanger.Identity, error)
	// IsInUse reports whether an upstream is still in use and may be asked now.
	IsInUse func(upstream *tracker.Upstream) bool
	// OnAnswer is called with the answer.
	OnAnswer func(upstream *tracker.Upstream, identity exchanger.Identity)

	mu sync.Mutex
	// pending holds the upstreams that are being asked.
	pending map[units.IncarnationID]bool
}

// AskAgain asks an upstream until it answers, once for all calls that have found it silent. It does not wait for that.
func (a *identityAsker) AskAgain(upstream *tracker.Upstream) {
	id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending[id] {
		return
	}
	if a.pending == nil {
		a.pending = make(map[units.IncarnationID]bool)
	}
	a.pending[id] = true
	go func() {
		a.askUntilAnswered(upstream)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.pending, id)
	}()
}

func (a *identityAsker) askUntilAnswered(upstream *tracker.Upstream) {
	until, interval := timekeeper.Now().Add(questionPeriod), minQuestionInterval
	for timekeeper.Now().Before(until) && a.IsInUse(upstream) {
		identity, err := a.Ask(context.Background(), upstream, questionTimeout)
		if err == nil {
			a.OnAnswer(upstream, identity)
			return
		}
		time.Sleep(interval)
		interval = min(maxQuestionInterval, 2*interval)
	}
}

// isInUse reports whether an upstream is in use and takes requests now.
func (g *Gateway) isInUse(upstream *tracker.Upstream) bool {
	return g.upstream(upstream.Service, units.NewIncarnationID(upstream.Name, upstream.Incarnation)) != nil && g.mayAsk(upstream)
}

// recordAnsweredQuestion records the answer of an upstream that has left an earlier question unanswered.
func (g *Gateway) recordAnsweredQuestion(upstream *tracker.Upstream, identity exchanger.Identity) {
	g.trafficStats.identified(identity)
	g.returns.recordIdentity(units.NewIncarnationID(upstream.Name, upstream.Incarnation), identity)
	g.Log.Info().
		Str("upstream", string(upstream.Name)).
		Str("identity", identity.String()).
		Msg("upstream-answers-again")
}
