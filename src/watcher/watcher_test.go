package watcher

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against watchdogs that fire on an engine with a long prompt queue, which answers late
// without being silent: each caller would open another connection for nothing. The limits must
// grow with the queued work and with a slow step.
func TestTimeoutsFollowEngineLoad(t *testing.T) {
	engine := func(step time.Duration, queuedTokens units.Tokens, running int) *tracker.Upstream {
		return &tracker.Upstream{
			Step:           step,
			PrefillPerStep: 128,
			Slots:          16,
			Load: tracker.Load{
				QueuedTokens: queuedTokens,
				Running:      running,
			},
			Local: &tracker.LocalState{},
		}
	}
	const step = 2 * time.Millisecond
	cases := map[string]struct {
		upstream   *tracker.Upstream
		prompt     units.Tokens
		wantFirst  time.Duration
		wantTokens time.Duration
	}{
		"idle": {
			upstream:   engine(step, 0, 0),
			wantFirst:  minFirstTokenTimeout + predictionFactor*step,
			wantTokens: minTokenTimeout,
		},
		"long prompt": {
			upstream:   engine(step, 0, 0),
			prompt:     12800,
			wantFirst:  minFirstTokenTimeout + predictionFactor*101*step,
			wantTokens: minTokenTimeout,
		},
		"queued prompts": {
			upstream:   engine(step, 128000, 0),
			wantFirst:  minFirstTokenTimeout + predictionFactor*1001*step,
			wantTokens: minTokenTimeout,
		},
		"full": {
			upstream:   engine(step, 0, 31),
			wantFirst:  minFirstTokenTimeout + predictionFactor*(step+typicalOutputTokens*step),
			wantTokens: minTokenTimeout,
		},
		"slow step": {
			upstream:   engine(50*time.Millisecond, 0, 0),
			wantFirst:  minFirstTokenTimeout + predictionFactor*50*time.Millisecond,
			wantTokens: tokenTimeoutSteps * 50 * time.Millisecond,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := TimeoutsFor(c.upstream, c.prompt)
			if got, want := got.FirstToken, c.wantFirst; got != want {
				t.Errorf("first token: got %s, want %s", got, want)
			}
			if got, want := got.BetweenTokens, c.wantTokens; got != want {
				t.Errorf("between tokens: got %s, want %s", got, want)
			}
		})
	}
}

// Guards against a caller that waits for a dead connection: once a stream's tokens, which feed
// its watchdog, stop coming, the watchdog must fire once, and not before.
func TestWatchdogFiresWhenNotFed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fired := 0
		w := Start(time.Second, func() { fired++ })
		for range 10 {
			time.Sleep(200 * time.Millisecond)
			w.Feed(300 * time.Millisecond)
		}
		if got, want := w.Fired(), false; got != want {
			t.Fatalf("fired while fed: got %t, want %t", got, want)
		}
		time.Sleep(301 * time.Millisecond)
		synctest.Wait()
		if got, want := fired, 1; got != want {
			t.Errorf("fired after the silence: got %d, want %d", got, want)
		}
	})
}
