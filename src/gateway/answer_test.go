package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/exchanger"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
)

// Guards against a call that is sent to an upstream that asked for none after the call had been
// assigned to it, and against one that is withheld from another incarnation or upstream.
func TestAnswersBindTheNextAttempt(t *testing.T) {
	upstream := &tracker.Upstream{Name: "u", Service: "s", Incarnation: 1, Local: &tracker.LocalState{}}
	restarted := &tracker.Upstream{Name: "u", Service: "s", Incarnation: 2, Local: &tracker.LocalState{}}
	other := &tracker.Upstream{Name: "v", Service: "s", Incarnation: 1, Local: &tracker.LocalState{}}
	cases := map[string]struct {
		verdict exchanger.Verdict
		// want is the state in which the call is withheld, "" if it may be sent.
		want string
	}{
		"accepted":             {},
		"refused as full":      {verdict: exchanger.Verdict{NotRun: true}},
		"refused with a wait":  {verdict: exchanger.Verdict{NotRun: true, RetryAfter: time.Minute}, want: "backing-off"},
		"failed with a wait":   {verdict: exchanger.Verdict{RetryAfter: time.Minute}, want: "backing-off"},
		"accepted and leaving": {verdict: exchanger.Verdict{Leaving: true}, want: "leaving"},
		"refused and leaving":  {verdict: exchanger.Verdict{NotRun: true, RetryAfter: time.Minute, Leaving: true}, want: "leaving"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newLimitedGateway(t, time.Minute)
			g.Log = zerolog.Nop()
			now := timekeeper.Now()
			g.recordAnswer(upstream, c.verdict, now)
			call := &dispatcher.Call{BootTimeDeadline: now.Add(time.Minute)}
			_, err := (*attemptGuard)(g).Check(call, upstream)
			got := ""
			var withheld *exchanger.WithheldError
			if errors.As(err, &withheld) {
				got = withheld.State
			}
			if got != c.want || err != nil && got == "" {
				t.Errorf("next attempt: got %v, want it withheld as %q", err, c.want)
			}
			for _, u := range []*tracker.Upstream{restarted, other} {
				if _, err := (*attemptGuard)(g).Check(call, u); err != nil {
					t.Errorf("attempt at %s, incarnation %d: got %v, want it sent", u.Name, u.Incarnation, err)
				}
			}
		})
	}
}

// Guards against a call that waits for a connection and is then sent to an upstream that has left meanwhile.
func TestDepartedUpstreamsGetNoAttempt(t *testing.T) {
	cases := map[string]struct {
		state enroller.State
		want  bool
	}{
		"ready":   {state: enroller.Ready, want: true},
		"leaving": {state: enroller.Leaving},
		"gone":    {state: enroller.Gone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newLimitedGateway(t, time.Minute)
			now := timekeeper.Now()
			table := &enroller.Table{ID: 1, Interval: time.Second}
			table.Record(now, enroller.Registration{
				ID:          "u",
				Service:     "s",
				Address:     "10.0.0.1:80",
				State:       c.state,
				Incarnation: 1,
			}, 0)
			updated := *g.snapshot.Load()
			updated.departed = departedUpstreams(table)
			g.snapshot.Store(&updated)
			call := &dispatcher.Call{BootTimeDeadline: now.Add(time.Minute)}
			upstream := &tracker.Upstream{
				Name:        "u",
				Service:     "s",
				Incarnation: 1,
				Local:       &tracker.LocalState{},
			}
			_, err := (*attemptGuard)(g).Check(call, upstream)
			if got := err == nil; got != c.want {
				t.Errorf("attempt sent: got %t (%v), want %t", got, err, c.want)
			}
		})
	}
}
