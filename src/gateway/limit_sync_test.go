package gateway

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/pacer"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against a limit that is reported only once, to an instance that no longer leads, and
// against a new leader that withdraws a limit because it has not received it yet.
func TestLimitsAreReportedToEachLeader(t *testing.T) {
	const life units.IncarnationID = 7
	now := time.Unix(1000, 0)
	gate := &pacer.Gate{}
	p := &limitSync{}
	gate.RecordObservation(pacer.Observation{IncarnationID: life, HasLimit: true, Rate: 2, AnsweredAt: now, SentAt: now.Add(-time.Second)})
	now = now.Add(time.Second)
	poll := func(leadership uint64) int {
		m := &messages.EntryPoll{Leadership: leadership}
		p.report(now, gate, m)
		return len(m.GetLimits())
	}
	answer := func(settled bool, limits *messages.UpstreamLimits) {
		p.handleResponse(now, now, gate, &messages.EntryPollResponse{Settled: settled, Limits: limits}, 3)
	}
	closed := func() bool { return gate.Closed(now)[life] }
	if got := poll(0); got != 0 {
		t.Errorf("limits reported without a leader: got %d, want none", got)
	}
	if got := poll(1); got != 1 {
		t.Errorf("limits reported to the first leader: got %d, want 1", got)
	}
	if got := poll(1); got != 1 {
		t.Errorf("limits reported again without a response: got %d, want 1", got)
	}
	answer(true, &messages.UpstreamLimits{Version: 1, Limits: []*messages.UpstreamLimit{{Life: uint64(life), Stated: true, Rate: 2, AgeNs: int64(time.Second)}}})
	if got := poll(1); got != 0 || !closed() {
		t.Errorf("after its response: got %d limits reported and closed %t, want none and true", got, closed())
	}
	// A new leader takes over.
	p = &limitSync{}
	answer(false, &messages.UpstreamLimits{Version: 1})
	if !closed() {
		t.Error("a leader that is not settled: got the limit withdrawn, want it kept")
	}
	if got := poll(2); got != 1 {
		t.Errorf("limits reported to the next leader: got %d, want 1", got)
	}
	answer(true, nil)
	if closed() {
		t.Error("a settled leader without the limit: got it kept, want it withdrawn")
	}
}
