package router

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/locator"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// TestMain fixes the seed of the property tests unless the command line names one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var testStart = time.Unix(1_000_000, 0)

// fleet is a router over engines whose state a test controls.
type fleet struct {
	router  *Router
	now     time.Time
	engines []*tracker.Upstream
}

func newFleet(count int) *fleet {
	f := &fleet{
		now: testStart,
	}
	random := rand.New(rand.NewPCG(1, 2))
	f.router = &Router{
		Snapshot: &atomic.Pointer[indexer.Snapshot]{},
		Entry:    "e1",
		Index:    locator.New(10),
		Now:      func() time.Time { return f.now },
		Random:   random.Uint64,
	}
	for i := range count {
		f.engines = append(f.engines, &tracker.Upstream{
			Name:           units.Upstream(fmt.Sprintf("ember-%d", i)),
			Service:        "ember-llm",
			DataCentre:     units.DataCentre(fmt.Sprintf("dc-%d", i%4)),
			Price:          1,
			Incarnation:    1,
			Slots:          16,
			Step:           2 * time.Millisecond,
			PrefillPerStep: 128,
			AnnouncedAt:    testStart,
			Local: &tracker.LocalState{
				ID:          uint32(i + 1),
				FirstSeenAt: testStart.Add(-time.Hour),
			},
		})
	}
	f.publish(f.engines)
	return f
}

func (f *fleet) publish(usable []*tracker.Upstream) {
	f.router.Snapshot.Store(indexer.Build(&parser.Configuration{
		Services: []parser.Service{{
			Name:   "ember-llm",
			Kind:   parser.ModelService,
			Target: parser.LatencyTarget{FirstToken: time.Second},
		}},
	}, usable))
}

func modelCall(policy parser.Policy, first uint64) *dispatcher.Call {
	call := &dispatcher.Call{
		ID:           "call-1",
		Service:      "ember-llm",
		Kind:         parser.ModelService,
		Policy:       policy,
		PromptTokens: 2048,
		MaxOutput:    256,
	}
	for i := range 32 {
		call.BlockHashes = append(call.BlockHashes, mixHashes(first, uint64(i)))
	}
	return call
}

// Callers share long prompt prefixes. Two calls with the same prefix must go to the
// same engine while it has capacity, since another one would compute the prefix again.
// Once that engine is overloaded, the next call must go elsewhere.
func TestAffinityIsBoundedByLoad(t *testing.T) {
	f := newFleet(6)
	call := modelCall(parser.PrefixCost, 7)
	first := f.router.Pick(call, nil)
	for range 8 {
		if got, want := f.router.Pick(call, nil).Name, first.Name; got != want {
			t.Fatalf("engine of the same prefix: got %s, want %s", got, want)
		}
	}
	first.Local.InFlight.Store(200)
	if got := f.router.Pick(call, nil).Name; got == first.Name {
		t.Errorf("engine under 200 calls: got %s again, want another", got)
	}
}

// While the latency target is met, calls must be concentrated on the cheap instances;
// otherwise the buyer could not reduce the number of instances. Under load that misses
// the target the expensive ones must be used too, since a late answer costs more.
func TestCallsGatherOnCheapInstances(t *testing.T) {
	f := newFleet(6)
	for i, engine := range f.engines {
		engine.Price = units.Price(1 + 2*(i%2))
	}
	used := make(map[units.Price]int)
	for i := range 24 {
		chosen := f.router.Pick(modelCall(parser.PrefixCost, uint64(i)), nil)
		chosen.Local.InFlight.Add(1)
		used[chosen.Price]++
	}
	if got, want := used[3], 0; got != want {
		t.Errorf("calls at expensive instances: got %d of 24, want %d", got, want)
	}
	for i := range 120 {
		chosen := f.router.Pick(modelCall(parser.PrefixCost, uint64(100+i)), nil)
		chosen.Local.InFlight.Add(1)
		used[chosen.Price]++
	}
	if got := used[3]; got == 0 {
		t.Error("calls at expensive instances with the cheap ones full: got 0, want some")
	}
}

// Calls are concentrated on one busy engine, with more prompt prefixes than its cache
// holds: it evicts blocks that were used seconds ago, and each call's whole prompt is
// computed. A prompt that it does not hold must then go to another engine.
func TestEvictionPressureDivertsPrefixes(t *testing.T) {
	cases := map[string]struct {
		unused time.Duration
		want   bool
	}{
		"hot blocks evicted":  {unused: time.Second, want: false},
		"cold blocks evicted": {unused: time.Minute, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2)
			f.engines[0].Local.InFlight.Store(4)
			busy := f.engines[0]
			call := modelCall(parser.PrefixCost, 3)
			call.PromptTokens = 8192
			var removed []uint64
			for i := range uint64(8) {
				other := modelCall(parser.PrefixCost, 100+i)
				f.router.OnCacheEvents(busy, &messages.CacheEvents{Added: other.BlockHashes})
				removed = append(removed, other.BlockHashes...)
			}
			f.now = f.now.Add(c.unused)
			busy.AnnouncedAt = f.now
			f.engines[1].AnnouncedAt = f.now
			f.router.OnCacheEvents(busy, &messages.CacheEvents{Removed: removed})
			chosen := f.router.Pick(call, nil)
			if got := chosen == busy; got != c.want {
				t.Errorf("sent to the busy engine: got %t, want %t", got, c.want)
			}
		})
	}
}

// The caches of all engines evict blocks in use, and each entry's index names another
// engine for a prompt. If each entry followed its own index, all engines would compute
// all prompts; under eviction pressure the entries must agree without communicating.
func TestEntriesAgreeUnderPressure(t *testing.T) {
	chosen := make(map[units.Upstream]bool)
	for believed := range 3 {
		f := newFleet(3)
		for i, engine := range f.engines {
			var hot []uint64
			for n := range uint64(8) {
				hot = append(hot, modelCall(parser.PrefixCost, 100*uint64(i)+n).BlockHashes...)
			}
			f.router.OnCacheEvents(engine, &messages.CacheEvents{Added: hot})
			f.router.OnCacheEvents(engine, &messages.CacheEvents{Removed: hot})
			engine.Local.InFlight.Store(2)
		}
		call := modelCall(parser.PrefixCost, 3)
		call.PromptTokens = 8192
		f.router.OnCacheEvents(f.engines[believed], &messages.CacheEvents{Added: call.BlockHashes})
		chosen[f.router.Pick(call, nil).Name] = true
	}
	if got, want := len(chosen), 1; got != want {
		t.Errorf("engines chosen by three entries: got %d, want %d", got, want)
	}
}

// An engine receives its reclaim notice; others in its data centre are likely to be
// reclaimed next. New streams must avoid that data centre for a while although it is as
// cheap as the others.
func TestReclaimNoticesDivertCalls(t *testing.T) {
	f := newFleet(8)
	for _, engine := range f.engines {
		engine.Reclaimable = true
	}
	f.router.OnDeparture(f.engines[0])
	f.publish(f.engines[1:])
	for i := range 40 {
		if got := f.router.Pick(modelCall(parser.PrefixCost, uint64(i)), nil); got.DataCentre == "dc-0" {
			t.Fatalf("after a notice in dc-0: got %s there, want another data centre", got.Name)
		}
	}
}

// A new engine has an empty cache, and all entries see it idle at the same time. If all
// calls went there, they would all wait; its fraction of the calls must grow gradually.
func TestNewEngineWarmsUp(t *testing.T) {
	cases := map[string]struct {
		age                time.Duration
		minCalls, maxCalls int64
	}{
		"new":  {age: 0, minCalls: 1, maxCalls: 5},
		"warm": {age: warmUpDuration, minCalls: 9, maxCalls: 12},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(4)
			fresh := f.engines[0]
			fresh.Local.FirstSeenAt = testStart.Add(-c.age)
			fresh.Local.InFlight.Store(1)
			for _, engine := range f.engines[1:] {
				engine.Local.InFlight.Store(15)
			}
			for i := range 12 {
				f.router.Pick(modelCall(parser.PrefixCost, uint64(i)), nil).Local.InFlight.Add(1)
			}
			if got := fresh.Local.InFlight.Load() - 1; got < c.minCalls || got > c.maxCalls {
				t.Errorf("calls at the engine under test, of 12: got %d, want %d to %d", got, c.minCalls, c.maxCalls)
			}
		})
	}
}

// One entry must use a bounded number of many engines. Its selection must be the same
// after a restart and change by one engine only when one is removed. All entries together
// must use all engines.
func TestSubsetIsBoundedAndStable(t *testing.T) {
	f := newFleet(640)
	before := f.router.selectUpstreams(f.engines)
	if got, want := len(before), subsetSize; got != want {
		t.Fatalf("upstreams of one entry: got %d, want %d", got, want)
	}
	gone := before[0]
	var rest []*tracker.Upstream
	for _, engine := range f.engines {
		if engine != gone {
			rest = append(rest, engine)
		}
	}
	kept := 0
	for _, engine := range f.router.selectUpstreams(rest) {
		for _, known := range before {
			if engine == known {
				kept++
			}
		}
	}
	if got, want := kept, subsetSize-1; got != want {
		t.Errorf("upstreams kept after one was removed: got %d, want %d", got, want)
	}
	covered := make(map[units.Upstream]bool)
	for i := range 990 {
		other := &Router{
			Entry: units.Instance(fmt.Sprintf("e%d", i)),
		}
		for _, engine := range other.selectUpstreams(f.engines) {
			covered[engine.Name] = true
		}
	}
	if got, want := len(covered), 640; got != want {
		t.Errorf("upstreams used by 990 entries: got %d, want %d", got, want)
	}
}

// Upstreams fail, fall silent, have been tried, serve other models and recover, in any
// order and under each policy. A call must never be sent to an upstream that it has tried
// or that lacks its model, nor to an ejected or silent one while a healthy one is left,
// and must be sent to some upstream while any is left.
func TestPickInvariants(t *testing.T) {
	policies := rapid.SampledFrom([]parser.Policy{parser.PrefixCost, parser.RoundRobin, parser.LeastLoaded})
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 8).Draw(t, "engines"))
		for range 12 {
			f.perturb(t)
			var tried []units.Upstream
			for _, engine := range f.engines {
				if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
					tried = append(tried, engine.Name)
				}
			}
			call := modelCall(policies.Draw(t, "policy"), rapid.Uint64().Draw(t, "prompt"))
			call.Model = "ember"
			allowedCount, healthyCount := 0, 0
			for _, engine := range f.engines {
				if isAllowed(engine, tried) {
					allowedCount++
				}
				if isAllowed(engine, tried) && f.isHealthy(engine) {
					healthyCount++
				}
			}
			chosen := f.router.Pick(call, tried)
			if got, want := chosen != nil, allowedCount > 0; got != want {
				t.Fatalf("upstream chosen with %d left: got %t, want %t", allowedCount, got, want)
			}
			if chosen == nil {
				continue
			}
			if !isAllowed(chosen, tried) {
				t.Fatalf("chosen %s: got one that was tried or lacks the model", chosen.Name)
			}
			if healthyCount > 0 && !f.isHealthy(chosen) {
				t.Fatalf("chosen %s: got an ejected or silent one, want one of %d healthy ones", chosen.Name, healthyCount)
			}
		}
	})
}

func isAllowed(engine *tracker.Upstream, tried []units.Upstream) bool {
	for _, name := range tried {
		if name == engine.Name {
			return false
		}
	}
	return engine.Model != "other"
}

// Guards against an ejection of engines whose answers this entry had no room to buffer.
func TestAnswersWithoutRoomEjectNoEngine(t *testing.T) {
	f := newFleet(3)
	for range 10 {
		f.router.Observe(f.engines[0], dispatcher.Result{Kind: dispatcher.OutcomeUnknown, ConnectionLost: true, NoRoom: true})
	}
	if got := f.engines[0].Local.EjectedUntil.Load(); got != 0 {
		t.Errorf("engine after answers without room: got it ejected until %d, want it in use", got)
	}
}

// isHealthy reports whether an engine is neither ejected nor silent.
func (f *fleet) isHealthy(engine *tracker.Upstream) bool {
	ejected := time.Unix(0, engine.Local.EjectedUntil.Load()).After(f.now)
	return !ejected && f.now.Sub(engine.AnnouncedAt) < silenceTimeout
}

// perturb advances the clock and changes the state of one engine.
func (f *fleet) perturb(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
	engine := f.engines[rapid.IntRange(0, len(f.engines)-1).Draw(t, "engine")]
	switch rapid.IntRange(0, 5).Draw(t, "disturbance") {
	case 0:
		f.router.Observe(engine, dispatcher.Result{Kind: dispatcher.NotRun, ConnectFailed: true})
	case 1:
		f.router.Observe(engine, dispatcher.Result{Kind: dispatcher.OutcomeUnknown})
	case 2:
		f.router.Observe(engine, dispatcher.Result{Kind: dispatcher.Answered})
	case 3:
		engine.AnnouncedAt = f.now
	case 4:
		engine.Model = rapid.SampledFrom([]units.Model{"", "ember", "other"}).Draw(t, "model")
	case 5:
		engine.Local.InFlight.Store(int64(rapid.IntRange(0, 40).Draw(t, "in-flight")))
	}
}

// BenchmarkPick640 measures one decision over 640 engines with long shared prompt
// prefixes.
func BenchmarkPick640(b *testing.B) {
	for _, policy := range []parser.Policy{parser.PrefixCost, parser.LeastLoaded, parser.RoundRobin} {
		b.Run(string(policy), func(b *testing.B) {
			f := newFleet(640)
			f.router.Random = nil
			var calls []*dispatcher.Call
			for i := range 64 {
				calls = append(calls, modelCall(policy, uint64(i%16)))
			}
			for _, call := range calls {
				f.router.Pick(call, nil)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				f.router.Pick(calls[i%len(calls)], nil)
			}
		})
	}
}

// Guards against a stream that goes on or is moved to another software version.
func TestPickReleaseKeepsTheVersion(t *testing.T) {
	f := newFleet(6)
	for i, engine := range f.engines {
		engine.Release = []units.Release{"v1", "v2"}[i%2]
	}
	for i := range 50 {
		call := modelCall(parser.PrefixCost, uint64(i))
		if got, gone := f.router.PickRelease(call, "v2", nil); got == nil || got.Release != "v2" || gone {
			t.Fatalf("upstream: got %v, gone %t, want one of v2", got, gone)
		}
	}
	if got, gone := f.router.PickRelease(modelCall(parser.PrefixCost, 1), "v3", nil); got != nil || !gone {
		t.Errorf("upstream of a version that is gone: got %v, gone %t, want none and gone", got, gone)
	}
}

// Guards against a stream at its limit of attempts that goes on where it has not run.
func TestPickAgainKeepsToTheUpstreamsThatRan(t *testing.T) {
	f := newFleet(6)
	ran := []units.Upstream{f.engines[1].Name, f.engines[4].Name}
	for i := range 50 {
		call := modelCall(parser.PrefixCost, uint64(i))
		if got, gone := f.router.PickAgain(call, f.engines[1].Release, ran, ran[:1]); got == nil || got.Name != ran[1] || gone {
			t.Fatalf("upstream: got %v, gone %t, want %s", got, gone, ran[1])
		}
		if got, gone := f.router.PickAgain(call, f.engines[1].Release, ran, ran); got != nil || gone {
			t.Fatalf("upstream after all that ran were tried: got %v, gone %t, want none", got, gone)
		}
	}
}
