package gateway

import (
	"testing"

	"github.com/rosecroft/rosecroft/src/appraiser"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/placer"
)

// Guards against statements that are reported twice, and against an entry that asks each leader
// for all slowdowns, or takes lists of different lengths.
func TestSlowdownsAreSynchronized(t *testing.T) {
	var collector appraiser.Collector
	collector.Record(7, 1.5)
	collector.Record(7, 2)
	var s slowdownSync
	poll := func() *messages.EntryPoll {
		m := &messages.EntryPoll{}
		s.report(&collector, m)
		return m
	}
	first := poll()
	if m := first.GetSlowdowns(); len(m.GetLives()) != 1 || m.GetLives()[0] != 7 || m.GetSlowdowns()[0] != 1.75 || m.GetStatements()[0] != 2 {
		t.Errorf("first poll: got %v, want two statements of upstream 7 with a mean of 1.75", m)
	}
	if m := poll().GetSlowdowns(); m != nil {
		t.Errorf("second poll: got %v, want no statements", m)
	}
	s.handleResponse(&placer.Placer{}, &messages.EntryPollResponse{
		Slowdowns: &messages.UpstreamSlowdowns{
			Version:   3,
			Lives:     []uint64{7},
			Slowdowns: []float32{1.75},
		},
	})
	if got := poll().GetSlowdownsVersion(); got != 3 {
		t.Errorf("version after a response: got %d, want 3", got)
	}
	s.handleResponse(&placer.Placer{}, &messages.EntryPollResponse{
		Slowdowns: &messages.UpstreamSlowdowns{
			Version: 4,
			Lives:   []uint64{7},
		},
	})
	if got := poll().GetSlowdownsVersion(); got != 3 {
		t.Errorf("version after a malformed response: got %d, want 3", got)
	}
}
