package placer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/appraiser"
	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// engineModel is the timing of a simulated engine, which runs calls in steps: each step
// generates one token for every call whose prompt is done, and prefills prompt tokens of the
// others.
type engineModel struct {
	slots int
	// step is the minimum duration of a step. Added to it are perCall for each call, perToken
	// for each prompt token prefilled, and perPair for every pairUnit pairs of such a token and
	// a token before it.
	step, perCall, perToken, perPair time.Duration
	// pairUnit is how many pairs take perPair.
	pairUnit float64
	// chunk is the maximum number of prompt tokens that one step prefills, and eventTokens
	// the number of generated tokens in one event of a stream.
	chunk, eventTokens int
	// cacheTokens is the capacity of the prefix cache.
	cacheTokens int
}

func modelEngine() engineModel {
	return engineModel{
		slots:       12,
		step:        3 * time.Millisecond,
		perCall:     20 * time.Microsecond,
		perToken:    10 * time.Microsecond,
		perPair:     184 * time.Microsecond,
		pairUnit:    1e6,
		chunk:       4096,
		eventTokens: 9,
		cacheTokens: 300_000,
	}
}

// kind is one kind of call of a replayed load. Its prompts have systemTokens common to all
// of its calls, one of prefixes prompt prefixes of prefixTokens on average, and ownTokens on
// average of their own, which follow a log-normal distribution with the given spread.
type kind struct {
	name         string
	rate         float64
	urgency      int
	systemTokens int
	prefixes     int
	prefixTokens float64
	ownTokens    float64
	logSigma     float64
	maxOwnTokens float64
	outputTokens float64
	target       time.Duration
	value        float64
}

// mixedKinds returns reports, replies and triage: calls with long, short and medium prompts.
func mixedKinds(load float64) []kind {
	return []kind{
		{
			name: "report", rate: 150 * load, urgency: 1, systemTokens: 512, prefixes: 873, prefixTokens: 4870, ownTokens: 6610, logSigma: 1.4, maxOwnTokens: 54_600,
			outputTokens: 380, target: 800 * time.Millisecond, value: 3.9,
		},
		{
			name: "reply", rate: 153 * load, urgency: 0, systemTokens: 119, prefixes: 592, prefixTokens: 79, ownTokens: 628, logSigma: 1, maxOwnTokens: 3310,
			outputTokens: 290, target: 400 * time.Millisecond, value: 2.5,
		},
		{
			name: "triage", rate: 314 * load, urgency: 2, systemTokens: 341, prefixes: 2737, prefixTokens: 227, ownTokens: 1800, logSigma: 1.3, maxOwnTokens: 6870,
			outputTokens: 22, target: 500 * time.Millisecond, value: 0.31,
		},
	}
}

// defaultMaxPause is the longest pause between events of a stream that is on time.
const defaultMaxPause = 500 * time.Millisecond

// job is one call at an engine. countedPrefill is what it added to its upstream's PrefillTokens.
type job struct {
	call           *dispatcher.Call
	kind           *kind
	weight         float64
	entry          *replayEntry
	upstream       *tracker.Upstream
	engine         *engine
	sent           time.Duration
	uncached       int
	context        int
	maxTokens      int
	generated      int
	firstAt        time.Duration
	lastAt         time.Duration
	pause          time.Duration
	countedPrefill int64
}

// engine is a simulated engine. cached holds prompt prefixes, the least recently used first,
// and sizes their tokens.
type engine struct {
	engineModel
	name         units.Upstream
	speed        float64
	waiting      []*job
	running      []*job
	prefilling   []int
	busy         bool
	cached       []uint64
	sizes        map[uint64]int
	cachedTokens int
	// moment is by how much the machine's other work slows all steps at this moment; it is
	// zero without other work.
	moment float64
}

// slowdown returns how many times as long as usual a step takes now.
func (e *engine) slowdown() float64 { return e.speed * max(1, e.moment) }

// touch marks a prompt prefix as most recently used, and returns how many of its tokens were
// not cached.
func (e *engine) touch(prefix uint64, tokens int) int {
	if i := slices.Index(e.cached, prefix); i >= 0 {
		e.cached = append(slices.Delete(e.cached, i, i+1), prefix)
		return 0
	}
	e.cached = append(e.cached, prefix)
	e.sizes[prefix] = tokens
	e.cachedTokens += tokens
	for e.cachedTokens > e.cacheTokens {
		e.cachedTokens -= e.sizes[e.cached[0]]
		e.cached = e.cached[1:]
	}
	return tokens
}

// beginStep starts the next step and returns its duration, 0 if there are no calls.
func (e *engine) beginStep() time.Duration {
	slices.SortStableFunc(e.waiting, func(a, b *job) int { return a.kind.urgency - b.kind.urgency })
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		return 0
	}
	took := e.step + time.Duration(len(e.running))*e.perCall
	budget := e.chunk
	e.prefilling = e.prefilling[:0]
	for _, j := range e.running {
		part := min(budget, j.uncached)
		budget -= part
		e.prefilling = append(e.prefilling, part)
		took += time.Duration(part) * e.perToken
		took += time.Duration(float64(e.perPair) * float64(part) * float64(j.context) / e.pairUnit)
		j.context += part
	}
	return time.Duration(float64(took) * e.slowdown())
}

// endStep ends a step: calls whose prompts are done get a token.
func (e *engine) endStep(now time.Duration, done func(*job), first func(*job)) {
	kept := e.running[:0]
	for i, j := range e.running {
		if i < len(e.prefilling) {
			j.uncached -= e.prefilling[i]
		}
		if i >= len(e.prefilling) || j.uncached > 0 {
			kept = append(kept, j)
			continue
		}
		j.generated++
		if j.generated == 1 {
			j.firstAt, j.lastAt = now, now
			first(j)
		} else if j.generated%e.eventTokens == 1 || j.generated == j.maxTokens {
			j.pause = max(j.pause, now-j.lastAt)
			j.lastAt = now
		}
		if j.generated < j.maxTokens {
			kept = append(kept, j)
			continue
		}
		done(j)
	}
	e.running = kept
}

// replayEntry is one entry of a replay.
type replayEntry struct {
	*Placer
	fleet Fleet
}

// event is a function that runs at a given time of a replay.
type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay configures the replay of a load on a fleet of engines under a placement policy.
type replay struct {
	entries, engines int
	kinds            []kind
	model            *engineModel
	maxPause         time.Duration
	length           time.Duration
	// slowShare is the fraction of engines whose steps take slowdown times as long.
	slowShare float64
	slowdown  float64
	seed      uint64
	// machines are the speeds of the engines' machines, in turn, and moments is set if other
	// work slows each of them for moments. statements is how entries learn of both.
	machines   []float64
	moments    bool
	statements statements
	// uniform gives all upstreams the same position in the common order.
	uniform bool
	// place replaces the entry's own choice; it may be nil.
	place func(r *running, e *replayEntry, call *dispatcher.Call) *tracker.Upstream
}

// statements is how the entries of a replay learn what engines state of their slowdown.
type statements int

const (
	statementsIgnored statements = iota
	statementsByEntry
	statementsPooled
)

// momentFactor is by how much a moment slows all work, momentLength the mean length of a moment
// and momentInterval the mean time between two.
const (
	momentFactor   = 2.5
	momentLength   = 350 * time.Millisecond
	momentInterval = 3500 * time.Millisecond
)

// running is a replay in progress. earned, offered, late, stalled and arrived are by kind of
// call: value earned and offered, calls beyond their latency target, calls with too long a
// pause, and calls that arrived.
type running struct {
	replay
	now       time.Duration
	random    *rand.Rand
	queue     eventQueue
	fleet     []*replayEntry
	engines   []*engine
	byName    map[units.Upstream]*engine
	earned    map[string]float64
	offered   map[string]float64
	late      map[string]int
	stalled   map[string]int
	arrived   map[string]int
	prefilled int
	fetched   int
	refused   int
	collector appraiser.Collector
	pool      appraiser.Pool
	version   appraiser.Version
}

func (r *running) modelOrDefault() engineModel {
	if r.model != nil {
		return *r.model
	}
	return modelEngine()
}

func (r *running) at(d time.Duration, run func()) { heap.Push(&r.queue, event{at: d, run: run}) }

// simulate runs the replay to its end and returns it with its results.
func (p replay) simulate() *running {
	r := &running{
		replay:  p,
		random:  rand.New(rand.NewPCG(p.seed, 2)),
		byName:  make(map[units.Upstream]*engine),
		earned:  make(map[string]float64),
		offered: make(map[string]float64),
		late:    make(map[string]int),
		stalled: make(map[string]int),
		arrived: make(map[string]int),
	}
	for i := range p.engines {
		e := &engine{
			engineModel: r.modelOrDefault(),
			name:        units.Upstream(fmt.Sprintf("u%03d", i)),
			speed:       []float64{1, 1, 1.3}[i%3],
			sizes:       make(map[uint64]int),
		}
		if len(p.machines) > 0 {
			e.speed = p.machines[i%len(p.machines)]
		}
		if float64(i) < p.slowShare*float64(p.engines) {
			e.speed *= p.slowdown
		}
		if p.moments {
			r.at(0, func() { r.endMoment(e) })
		}
		r.engines = append(r.engines, e)
		r.byName[e.name] = e
	}
	for i := range p.entries {
		e := &replayEntry{}
		e.Placer = &Placer{
			DataCentre:  units.DataCentre(fmt.Sprintf("dc-%d", i%6)),
			Now:         func() time.Time { return start.Add(r.now) },
			Fleet:       func() Fleet { return e.fleet },
			MaxInFlight: func(*tracker.Upstream) int { return r.modelOrDefault().slots },
			Random:      r.random,
			PrefillTime: func(units.Service) time.Duration { return r.modelOrDefault().perToken },
		}
		e.fleet = make(Fleet)
		for u := range r.engines {
			e.fleet["s"] = append(e.fleet["s"], e.NewCandidate(&tracker.Upstream{
				Name:       r.engines[u].name,
				Service:    "s",
				DataCentre: units.DataCentre(fmt.Sprintf("dc-%d", u%6)),
				Slots:      r.modelOrDefault().slots,
				Local:      &tracker.LocalState{},
			}, false, false))
			if r.uniform {
				e.fleet["s"][u].position = 0.5
			}
		}
		r.fleet = append(r.fleet, e)
	}
	for i := range r.kinds {
		r.at(0, func() { r.arrive(&r.kinds[i]) })
	}
	r.at(0, r.poll)
	for len(r.queue) > 0 && r.now < p.length {
		m := heap.Pop(&r.queue).(event)
		r.now = m.at
		m.run()
	}
	return r
}

func (r *running) endMoment(e *engine) {
	e.moment = 1
	r.at(r.now+time.Duration(r.random.ExpFloat64()*float64(momentInterval)), func() {
		e.moment = momentFactor
		r.at(r.now+time.Duration(r.random.ExpFloat64()*float64(momentLength)), func() { r.endMoment(e) })
	})
}

func (r *running) arrive(k *kind) {
	r.at(r.now+time.Duration(r.random.ExpFloat64()/k.rate*float64(time.Second)), func() { r.arrive(k) })
	e := r.fleet[r.random.IntN(len(r.fleet))]
	sigma := k.logSigma
	ownTokens := min(k.maxOwnTokens, k.ownTokens*math.Exp(sigma*r.random.NormFloat64()-sigma*sigma/2))
	part := uint64(r.random.IntN(k.prefixes))
	prefixTokens := 0.5*k.prefixTokens + k.prefixTokens*float64(part*2654435761%1000)/1000
	base := uint64(len(k.name)) << 40
	call := &dispatcher.Call{
		Service:      "s",
		PromptTokens: units.Tokens(float64(k.systemTokens) + prefixTokens + ownTokens),
		Prefixes: []dispatcher.PromptPrefix{
			{ID: base | 1<<32, Tokens: units.Tokens(k.systemTokens)},
			{ID: base | part, Tokens: units.Tokens(prefixTokens)},
			{ID: r.random.Uint64(), Tokens: units.Tokens(ownTokens)},
		},
		LatencyTarget: k.target,
		MaxEventGap:   r.pauseLimit(),
		Urgency:       k.urgency,
		Rank:          k.urgency,
		Stream:        true,
	}
	mean := float64(k.systemTokens) + k.prefixTokens + k.ownTokens
	weight := min(4, 0.3+0.7*float64(call.PromptTokens)/mean) * k.value
	warm := r.now > 4*time.Second && r.now < r.length-4*time.Second
	if warm {
		r.offered[k.name] += weight
		r.arrived[k.name]++
	}
	var u *tracker.Upstream
	if r.place != nil {
		u = r.place(r, e, call)
	} else {
		u = e.Pick(call, nil)
	}
	if u == nil {
		r.refused++
		return
	}
	target := r.byName[u.Name]
	j := &job{
		call:           call,
		kind:           k,
		entry:          e,
		upstream:       u,
		engine:         target,
		sent:           r.now,
		maxTokens:      max(1, int(k.outputTokens*(0.5+r.random.Float64()))),
		countedPrefill: int64(call.UncachedTokens()),
	}
	if warm {
		j.weight = weight
	}
	u.Local.InFlight.Add(1)
	u.Local.PrefillTokens.Add(j.countedPrefill)
	if u.Local.IdleConnections.Load() > 0 {
		u.Local.IdleConnections.Add(-1)
	}
	r.at(r.now+3*time.Millisecond, func() {
		uncached := int(ownTokens) + target.touch(call.Prefixes[0].ID, k.systemTokens)
		missing := target.touch(call.Prefixes[1].ID, int(prefixTokens))
		if missing > 0 && r.hasCached(e.Donor(call, u), call.Prefixes[1].ID) {
			if warm {
				r.fetched += missing
			}
			missing = 0
		}
		uncached += missing
		j.uncached = max(1, uncached)
		j.context = int(call.PromptTokens) - j.uncached
		r.prefilled += j.uncached
		target.waiting = append(target.waiting, j)
		r.startStep(target)
	})
}

// hasCached reports whether an upstream has cached a prompt prefix.
func (r *running) hasCached(u *tracker.Upstream, prefix uint64) bool {
	return u != nil && slices.Contains(r.byName[u.Name].cached, prefix)
}

func (r *running) startStep(e *engine) {
	if e.busy {
		return
	}
	took := e.beginStep()
	if took == 0 {
		return
	}
	e.busy = true
	r.at(r.now+took, func() {
		e.busy = false
		e.endStep(r.now, r.done, r.first)
		r.startStep(e)
	})
}

func (r *running) first(j *job) {
	j.upstream.Local.PrefillTokens.Add(-j.countedPrefill)
	load := ReportedLoad{
		Running: len(j.engine.running),
		Waiting: len(j.engine.waiting),
		Slots:   j.engine.slots,
	}
	if r.statements != statementsIgnored {
		load.Slowdown = j.engine.slowdown()
		r.collector.Record(units.NewIncarnationID(j.upstream.Name, j.upstream.Incarnation), load.Slowdown)
	}
	j.entry.RecordLoad(j.upstream, load)
}

func (r *running) done(j *job) {
	j.upstream.Local.InFlight.Add(-1)
	j.upstream.Local.IdleConnections.Add(1)
	if j.weight == 0 {
		return
	}
	wait := j.firstAt - j.sent + 10*time.Millisecond
	switch {
	case wait > j.kind.target:
		r.late[j.kind.name]++
		r.earned[j.kind.name] += 0.1 * j.weight
	case j.pause > r.pauseLimit():
		r.stalled[j.kind.name]++
		r.earned[j.kind.name] += 0.1 * j.weight
	default:
		r.earned[j.kind.name] += j.weight
	}
}

func (r *running) pauseLimit() time.Duration {
	if r.maxPause > 0 {
		return r.maxPause
	}
	return defaultMaxPause
}

// pollInterval is the interval at which entries receive each other's load.
const pollInterval = 200 * time.Millisecond

func (r *running) poll() {
	r.at(r.now+pollInterval, r.poll)
	total := make(map[Hash]InFlightLoad)
	own := make([]map[Hash]InFlightLoad, len(r.fleet))
	for i, e := range r.fleet {
		own[i] = e.InFlightLoads()
		for hash, load := range own[i] {
			sum := total[hash]
			sum.Calls += load.Calls
			sum.PrefillTokens += load.PrefillTokens
			total[hash] = sum
		}
	}
	for id, estimate := range r.collector.Take() {
		r.pool.Record(id, estimate)
	}
	// The load that an entry receives is as old as the other entries' last polls.
	r.at(r.now+pollInterval/2, func() {
		if r.statements == statementsPooled {
			changes, version := r.pool.ChangesAfter(r.version, len(r.engines))
			for _, e := range r.fleet {
				e.SetSlowdowns(changes)
			}
			r.version = version
		}
		for i, e := range r.fleet {
			e.SetPeerLoads(&PeerLoads{
				At:    start.Add(r.now),
				Loads: Subtract(total, own[i]),
			})
		}
	})
}

// served returns the fraction of the offered value that was earned.
func (r *running) served() float64 {
	earned, offered := 0.0, 0.0
	for name := range r.offered {
		earned += r.earned[name]
		offered += r.offered[name]
	}
	return earned / offered
}

// transferCost is the cost of transferring one prompt token's KV cache between engines, in
// units of the value of calls.
const transferCost = 2.3e-5

// net returns the fraction of the offered value that remains after transfer costs.
func (r *running) net() float64 {
	offered := 0.0
	for _, value := range r.offered {
		offered += value
	}
	return r.served() - transferCost*float64(r.fetched)/offered
}

// String summarizes the results by kind of call.
func (r *running) String() string {
	text := fmt.Sprintf("net %.3f, served %.3f, refused %d, read %d, fetched %d", r.net(), r.served(), r.refused, r.prefilled, r.fetched)
	for i := range r.kinds {
		k := r.kinds[i].name
		text += fmt.Sprintf("; %s %.3f (late %.3f, stalled %.3f)", k, r.earned[k]/r.offered[k],
			float64(r.late[k])/float64(r.arrived[k]), float64(r.stalled[k])/float64(r.arrived[k]))
	}
	return text
}
