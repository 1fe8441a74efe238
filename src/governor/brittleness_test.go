package governor

import (
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/timekeeper"
)

// Guards against entries that do not learn that a service is brittle because they have had no answer
// from it, and against an upstream that rejects calls of each entry in turn.
func TestLeaderPassesOnBrittleness(t *testing.T) {
	c, id := newLeaderWithUpstream(t)
	poll := func(entry string) *messages.EntryPoll {
		return &messages.EntryPoll{Entry: entry, Incarnation: 1, Serving: true, WallNs: time.Now().UnixNano()}
	}
	if got := c.poll(poll("e2")); len(got.GetBrittle())+len(got.GetFull()) > 0 {
		t.Errorf("before a report: got %v and %v, want nothing", got.GetBrittle(), got.GetFull())
	}
	report := poll("e1")
	report.Brittle = []*messages.BrittleService{{Service: "s", MaxRejections: 3, AgeNs: int64(100 * time.Millisecond)}}
	report.Full = []*messages.FullUpstream{{Life: uint64(id), Capacity: 7}}
	c.poll(report)
	got := c.poll(poll("e2"))
	if brittle := got.GetBrittle(); len(brittle) != 1 || brittle[0].GetService() != "s" || brittle[0].GetMaxRejections() != 3 || time.Duration(brittle[0].GetAgeNs()) < 100*time.Millisecond {
		t.Errorf("brittle services: got %v, want s", brittle)
	}
	if full := got.GetFull(); len(full) != 1 || full[0].GetLife() != uint64(id) || full[0].GetCapacity() != 7 {
		t.Errorf("full upstreams: got %v, want one that holds 7 calls", full)
	}
	c.brittleness.tick(timekeeper.Now().Add(time.Minute))
	if got := c.poll(poll("e2")); len(got.GetBrittle())+len(got.GetFull()) > 0 {
		t.Errorf("a minute later: got %v and %v, want nothing", got.GetBrittle(), got.GetFull())
	}
}
