package prover

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"github.com/rosecroft/rosecroft/src/stager"
)

// An engine gets its notice while it runs a stream that it cannot finish. Its KV
// cache must go to another engine first and the stream after it, with hardly a
// token computed again. Where the link is too slow, or the engine dies while it
// exports, the stream must go on elsewhere all the same. The caller sees one text.
func TestStreamLeavesAReclaimedEngine(t *testing.T) {
	cases := map[string]struct {
		arguments []string
		// killAt is the token at which the leaving engine dies, 0 for never.
		killAt int
		moves  bool
	}{
		"moves with its cache":   {moves: true},
		"link too slow":          {arguments: []string{"--kv-rate", "100000"}},
		"dies during the export": {arguments: []string{"--kv-rate", "2000000"}, killAt: 330},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			engines, call, _ := startStreams(t, 2, append([]string{"--notice", "2s"}, c.arguments...)...)
			call.tokens = 1500
			ctx, cancel := context.WithTimeout(t.Context(), streamLimit)
			defer cancel()
			want, err := directText(ctx, undisturbed(t), call)
			if err != nil {
				t.Fatal(err)
			}
			var left *stager.Upstream
			got, err := call.stream(ctx, func(tokens int) {
				if tokens == 200 {
					left = busiest(t, engines)
					left.Signal(syscall.SIGTERM)
				}
				if tokens == c.killAt {
					left.Kill()
				}
			})
			if err != nil || got != want {
				t.Fatalf("the stream: got %.60q... and %v, want %.60q...", got, err, want)
			}
			other := engines[0]
			if left == other {
				other = engines[1]
			}
			work := workOf(t, other)
			if got, want := work.Imported >= 200, c.moves; got != want {
				t.Errorf("moved with its cache: got %t with %d tokens, want %t", got, work.Imported, want)
			}
			if got, most := work.Recomputed, work.Imported/4; c.moves && got > most {
				t.Errorf("recomputed tokens: got %d, want at most %d", got, most)
			}
		})
	}
}

// An engine that has had its notice goes on taking calls until it stops. No
// entry may send it one once the notice is known there: it would be cut. The
// engine's announcement reaches every entry, and its counts stay as they are.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	stage := newStage(t)
	startFleet(t, stage, 1, 3)
	engines := startEngines(t, stage, []string{"dc-a", "dc-b"}, "--notice", "60s")
	apply(t, stage, "../../examples/hearthline.yaml")
	awaitUpstreams(t, stage, len(engines))
	inject(t, engines[0], `{"accept-leaving":true}`)
	// One long stream keeps the engine from stopping early.
	hold := ask{
		entry:  stage.Entries[0],
		prompt: "hold",
		tokens: 100000,
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	held := make(chan struct{}, 2)
	for _, engine := range engines {
		go func() {
			_, _ = directStream(ctx, engine, hold, func(tokens int) {
				if tokens == 1 {
					held <- struct{}{}
				}
			})
		}()
		<-held
	}
	engines[0].Signal(syscall.SIGTERM)
	for _, entry := range stage.Entries {
		await(t, "the entry knows that the engine leaves", func() bool {
			return strings.Contains(dump(t, entry), "leaving: true")
		})
	}
	before := runsAt(t, engines[0])
	for i := range 30 {
		call := ask{
			entry:  stage.Entries[i%len(stage.Entries)],
			prompt: fmt.Sprintf("call %d", i),
			tokens: 5,
		}
		if _, err := call.stream(ctx, nil); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := runsAt(t, engines[0]), before; got != want {
		t.Errorf("runs at the leaving engine: got %d, want %d", got, want)
	}
	if got, least := runsAt(t, engines[1]), 30; got < least {
		t.Errorf("runs at the other engine: got %d, want at least %d", got, least)
	}
}

// A wave takes a data centre's two engines on one second of notice while an
// entry dies and one of the two engines dies before its stop. Callers at the
// other entries must get each answer whole.
func TestWaveOverADataCentreWithAnEntryLost(t *testing.T) {
	stage := newStage(t)
	startFleet(t, stage, 1, 3)
	engines := startEngines(t, stage, []string{"dc-a", "dc-a", "dc-b", "dc-c"}, "--notice", "1s")
	apply(t, stage, "../../examples/hearthline.yaml")
	awaitUpstreams(t, stage, len(engines))
	const streams = 24
	ctx, cancel := context.WithTimeout(t.Context(), streamLimit)
	defer cancel()
	type outcome struct {
		prompt    string
		got, want string
		err       error
	}
	reference := undisturbed(t)
	outcomes := make(chan outcome, streams)
	started := make(chan struct{}, streams)
	for i := range streams {
		call := ask{
			entry:  stage.Entries[1+i%2],
			prompt: fmt.Sprintf("recall %d %s", i, strings.Repeat("flue ", 60)),
			tokens: 900,
		}
		go func() {
			text, err := call.stream(ctx, func(tokens int) {
				if tokens == 50 {
					started <- struct{}{}
				}
			})
			want, directErr := directText(ctx, reference, call)
			outcomes <- outcome{
				prompt: call.prompt[:10],
				got:    text,
				want:   want,
				err:    errors.Join(err, directErr),
			}
		}()
	}
	for range streams {
		select {
		case <-started:
		case <-ctx.Done():
			t.Fatal("streams under way: got too few, want all")
		}
	}
	engines[0].Signal(syscall.SIGTERM)
	engines[1].Signal(syscall.SIGTERM)
	stage.Entries[0].Kill()
	engines[1].Kill()
	for range streams {
		o := <-outcomes
		if o.err != nil || o.got != o.want {
			t.Errorf("%s: got %.40q... and %v, want %.40q...", o.prompt, o.got, o.err, o.want)
		}
	}
}
