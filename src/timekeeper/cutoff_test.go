package timekeeper

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against contexts, and those derived from them, that outlive the cutoff, or end with it as if their caller had left.
func TestCutoffEndsContextsAsADeadlineDoes(t *testing.T) {
	cases := map[string]struct {
		// end ends the contexts, nil for nothing.
		end  func(cutoff *Cutoff, cancelParent, cancel context.CancelFunc)
		want error
	}{
		"nothing":          {},
		"cutoff":           {end: func(c *Cutoff, _, _ context.CancelFunc) { c.End() }, want: context.DeadlineExceeded},
		"cutoff twice":     {end: func(c *Cutoff, _, _ context.CancelFunc) { c.End(); c.End() }, want: context.DeadlineExceeded},
		"parent":           {end: func(_ *Cutoff, cancelParent, _ context.CancelFunc) { cancelParent() }, want: context.Canceled},
		"itself":           {end: func(_ *Cutoff, _, cancel context.CancelFunc) { cancel() }, want: context.Canceled},
		"parent, cutoff":   {end: func(c *Cutoff, cancelParent, _ context.CancelFunc) { cancelParent(); synctest.Wait(); c.End() }, want: context.Canceled},
		"cutoff, parent":   {end: func(c *Cutoff, cancelParent, _ context.CancelFunc) { c.End(); cancelParent() }, want: context.DeadlineExceeded},
		"cutoff after end": {end: func(c *Cutoff, _, cancel context.CancelFunc) { cancel(); c.End() }, want: context.Canceled},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cutoff := &Cutoff{}
				parent, cancelParent := context.WithCancel(t.Context())
				defer cancelParent()
				ctx, cancel := cutoff.Context(parent)
				defer cancel()
				derived, cancelDerived := context.WithTimeout(ctx, time.Hour)
				defer cancelDerived()
				detached, cancelDetached := cutoff.Context(context.WithoutCancel(ctx))
				defer cancelDetached()
				called := make(chan struct{})
				stop := context.AfterFunc(ctx, func() { close(called) })
				defer stop()
				if c.end != nil {
					c.end(cutoff, cancelParent, cancel)
				}
				synctest.Wait()
				for kind, got := range map[string]error{"context": ctx.Err(), "derived": derived.Err()} {
					if !errors.Is(got, c.want) {
						t.Errorf("%s: got %v, want %v", kind, got, c.want)
					}
				}
				hasEnded := cutoff.hasEnded
				if got := detached.Err(); hasEnded != errors.Is(got, context.DeadlineExceeded) {
					t.Errorf("detached: got %v, want it ended by the cutoff alone", got)
				}
				select {
				case <-called:
					if c.want == nil {
						t.Error("function after the end: got it called, want it not called")
					}
				default:
					if c.want != nil {
						t.Error("function after the end: got it not called, want it called")
					}
				}
				late, cancelLate := cutoff.Context(t.Context())
				defer cancelLate()
				if got := late.Err(); hasEnded != errors.Is(got, context.DeadlineExceeded) {
					t.Errorf("context made later: got %v, want it ended %t", got, hasEnded)
				}
			})
		})
	}
}

// Guards against a cutoff that keeps the contexts of all calls that have ever been made.
func TestCutoffForgetsContexts(t *testing.T) {
	cutoff := &Cutoff{}
	for range 100 {
		_, cancel := cutoff.Context(t.Context())
		cancel()
	}
	if got := len(cutoff.contexts); got != 0 {
		t.Errorf("contexts kept: got %d, want none", got)
	}
}
