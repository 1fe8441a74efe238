package gateway

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/pacer"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against a limit that is told once and heard by nobody who leads, and against one that a
// leader which has just begun withdraws since it does not know it.
func TestLimitsAreToldToEachLeader(t *testing.T) {
	const life units.Life = 7
	now := time.Unix(1000, 0)
	gate := &pacer.Gate{}
	p := &pace{}
	gate.RecordObservation(pacer.Observation{Life: life, HasLimit: true, Rate: 2, AnsweredAt: now, SentAt: now.Add(-time.Second)})
	now = now.Add(time.Second)
	poll := func(leadership uint64) int {
		m := &messages.EntryPoll{Leadership: leadership}
		p.tell(now, gate, m)
		return len(m.GetLimits())
	}
	answer := func(settled bool, limits *messages.UpstreamLimits) {
		p.follow(now, now, gate, &messages.EntryPollResponse{Settled: settled, Limits: limits}, 3)
	}
	closed := func() bool { return gate.Closed(now)[life] }
	if got := poll(0); got != 0 {
		t.Errorf("told without a leader: got %d, want none", got)
	}
	if got := poll(1); got != 1 {
		t.Errorf("told to the first leader: got %d, want 1", got)
	}
	if got := poll(1); got != 1 {
		t.Errorf("told again without an answer: got %d, want 1", got)
	}
	answer(true, &messages.UpstreamLimits{Version: 1, Limits: []*messages.UpstreamLimit{{Life: uint64(life), Stated: true, Rate: 2, AgeNs: int64(time.Second)}}})
	if got := poll(1); got != 0 || !closed() {
		t.Errorf("after its answer: got %d told and closed %t, want none and true", got, closed())
	}
	// Another leader.
	p = &pace{}
	answer(false, &messages.UpstreamLimits{Version: 1})
	if !closed() {
		t.Error("a leader that has not heard all: got the limit withdrawn, want it kept")
	}
	if got := poll(2); got != 1 {
		t.Errorf("told to the next leader: got %d, want 1", got)
	}
	answer(true, nil)
	if closed() {
		t.Error("a leader that has heard all and knows no limit: got it kept, want it withdrawn")
	}
}
