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

// An engine gets its notice while it runs a stream that it cannot finish. First its KV
// cache and then the stream must move to another engine, with at most a quarter of
// the imported tokens recomputed. If the link is too slow or the engine dies during
// the export, the stream must continue on another engine nevertheless. The caller
// must receive one continuous text.
func TestStreamMovesOffReclaimedEngine(t *testing.T) {
	cases := map[string]struct {
		arguments []string
		// killAt is the token at which the leaving engine is killed, 0 for never.
		killAt int
		// moves reports whether the stream moves together with its KV cache.
		moves bool
	}{
		"moves with its cache":   {moves: true},
		"link too slow":          {arguments: []string{"--kv-rate", "100000"}},
		"dies during the export": {arguments: []string{"--kv-rate", "2000000"}, killAt: 330},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			engines, call, _ := startStreamTest(t, 2, append([]string{"--notice", "2s"}, c.arguments...)...)
			call.tokens = 1500
			ctx, cancel := context.WithTimeout(t.Context(), streamTimeout)
			defer cancel()
			want, err := referenceText(ctx, startReferenceEngine(t), call)
			if err != nil {
				t.Fatal(err)
			}
			var leaving *stager.Upstream
			got, err := call.stream(ctx, func(tokens int) {
				if tokens == 200 {
					leaving = engineWithRun(t, engines)
					leaving.Signal(syscall.SIGTERM)
				}
				if tokens == c.killAt {
					leaving.Kill()
				}
			})
			if err != nil || got != want {
				t.Fatalf("stream: got %.60q... and error %v, want %.60q...", got, err, want)
			}
			other := engines[0]
			if leaving == other {
				other = engines[1]
			}
			work := readWork(t, other)
			if got, want := work.Imported >= 200, c.moves; got != want {
				t.Errorf("moved with its KV cache: got %t with %d tokens, want %t", got, work.Imported, want)
			}
			if got, maxRecomputed := work.Recomputed, work.Imported/4; c.moves && got > maxRecomputed {
				t.Errorf("recomputed tokens: got %d, want at most %d", got, maxRecomputed)
			}
		})
	}
}

// An engine accepts calls after its notice until it stops. Entries that know of the
// notice must not send it any, since the call would be aborted. Once every entry has
// received the engine's announcement, its count of runs must not change.
func TestLeavingEngineGetsNoNewCalls(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 1, 3)
	engines := startEngines(t, cluster, []string{"dc-a", "dc-b"}, "--notice", "60s")
	apply(t, cluster, "../../examples/hearthline.yaml")
	awaitUpstreams(t, cluster, len(engines))
	setFault(t, engines[0], `{"accept-leaving":true}`)
	// A long stream at each engine keeps it from stopping early.
	holding := streamRequest{
		entry:  cluster.Entries[0],
		prompt: "hold",
		tokens: 100000,
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	held := make(chan struct{}, 2)
	for _, engine := range engines {
		go func() {
			_, _ = directStream(ctx, engine, holding, func(tokens int) {
				if tokens == 1 {
					held <- struct{}{}
				}
			})
		}()
		<-held
	}
	engines[0].Signal(syscall.SIGTERM)
	for _, entry := range cluster.Entries {
		await(t, "the entry knows that the engine leaves", func() bool {
			return strings.Contains(readPlainDump(t, entry), "leaving: true")
		})
	}
	before := countRuns(t, engines[0])
	for i := range 30 {
		call := streamRequest{
			entry:  cluster.Entries[i%len(cluster.Entries)],
			prompt: fmt.Sprintf("call %d", i),
			tokens: 5,
		}
		if _, err := call.stream(ctx, nil); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := countRuns(t, engines[0]), before; got != want {
		t.Errorf("runs at the leaving engine: got %d, want %d", got, want)
	}
	if got, minRuns := countRuns(t, engines[1]), 30; got < minRuns {
		t.Errorf("runs at the other engine: got %d, want at least %d", got, minRuns)
	}
}

// Both engines of a data centre are reclaimed with a notice of one second, while an
// entry is killed and one of the two engines is killed before its notice has passed.
// Callers at the other entries must receive each answer completely.
func TestDataCentreReclaimWithEntryLoss(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 1, 3)
	engines := startEngines(t, cluster, []string{"dc-a", "dc-a", "dc-b", "dc-c"}, "--notice", "1s")
	apply(t, cluster, "../../examples/hearthline.yaml")
	awaitUpstreams(t, cluster, len(engines))
	const streams = 24
	ctx, cancel := context.WithTimeout(t.Context(), streamTimeout)
	defer cancel()
	type outcome struct {
		prompt    string
		got, want string
		err       error
	}
	reference := startReferenceEngine(t)
	outcomes := make(chan outcome, streams)
	started := make(chan struct{}, streams)
	for i := range streams {
		call := streamRequest{
			entry:  cluster.Entries[1+i%2],
			prompt: fmt.Sprintf("recall %d %s", i, strings.Repeat("flue ", 60)),
			tokens: 900,
		}
		go func() {
			text, err := call.stream(ctx, func(tokens int) {
				if tokens == 50 {
					started <- struct{}{}
				}
			})
			want, directErr := referenceText(ctx, reference, call)
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
			t.Fatal("streams in progress: got too few, want all")
		}
	}
	engines[0].Signal(syscall.SIGTERM)
	engines[1].Signal(syscall.SIGTERM)
	cluster.Entries[0].Kill()
	engines[1].Kill()
	for range streams {
		o := <-outcomes
		if o.err != nil || o.got != o.want {
			t.Errorf("%s: got %.40q... and error %v, want %.40q...", o.prompt, o.got, o.err, o.want)
		}
	}
}
