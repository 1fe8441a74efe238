package watcher

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// An engine with a long prompt queue answers late without being silent. If its
// callers' watchdogs fired, each would open another connection for nothing; the
// limit must grow with the work that waits there, and with a slow step.
func TestLimitsFollowTheEngine(t *testing.T) {
	engine := func(step time.Duration, waiting units.Tokens, running int) *tracker.Upstream {
		return &tracker.Upstream{
			Step:           step,
			PrefillPerStep: 128,
			Slots:          16,
			Load: tracker.Load{
				QueuedTokens: waiting,
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
			wantFirst:  firstTokenFloor + predictionFactor*step,
			wantTokens: betweenFloor,
		},
		"long prompt": {
			upstream:   engine(step, 0, 0),
			prompt:     12800,
			wantFirst:  firstTokenFloor + predictionFactor*101*step,
			wantTokens: betweenFloor,
		},
		"prompts that wait": {
			upstream:   engine(step, 128000, 0),
			wantFirst:  firstTokenFloor + predictionFactor*1001*step,
			wantTokens: betweenFloor,
		},
		"full": {
			upstream:   engine(step, 0, 31),
			wantFirst:  firstTokenFloor + predictionFactor*(step+typicalOutput*step),
			wantTokens: betweenFloor,
		},
		"slow step": {
			upstream:   engine(50*time.Millisecond, 0, 0),
			wantFirst:  firstTokenFloor + predictionFactor*50*time.Millisecond,
			wantTokens: betweenSteps * 50 * time.Millisecond,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := For(c.upstream, c.prompt)
			if got, want := got.FirstToken, c.wantFirst; got != want {
				t.Errorf("first token: got %s, want %s", got, want)
			}
			if got, want := got.BetweenTokens, c.wantTokens; got != want {
				t.Errorf("between tokens: got %s, want %s", got, want)
			}
		})
	}
}

// A stream's tokens feed its watchdog; when they stop coming, it must fire once,
// and not before, or a caller would wait for a connection that is dead.
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
