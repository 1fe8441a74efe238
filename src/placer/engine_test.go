package placer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// engineModel is how a model engine runs calls: in steps, each of which brings every call
// a token and reads some prompt tokens of those that are not read yet.
type engineModel struct {
	slots int
	// step is what a step takes at least, perCall more for each call, perToken for each
	// prompt token that is read, perPair for each of them and each token before it.
	step, perCall, perToken, perPair time.Duration
	// pairUnit is how many pairs perPair stands for.
	pairUnit float64
	// chunk is how many prompt tokens one step reads at most, stride how many tokens go
	// into one event.
	chunk, stride int
	// memory is how many tokens of shared parts are kept.
	memory int
}

func modelEngine() engineModel {
	return engineModel{
		slots:    12,
		step:     3 * time.Millisecond,
		perCall:  20 * time.Microsecond,
		perToken: 10 * time.Microsecond,
		perPair:  184 * time.Microsecond,
		pairUnit: 1e6,
		chunk:    4096,
		stride:   9,
		memory:   300_000,
	}
}

// kind is one kind of call of a replayed load.
type kind struct {
	name    string
	rate    float64
	urgency int
	first   int
	parts   int
	shared  float64
	own     float64
	spread  float64
	mostOwn float64
	output  float64
	target  time.Duration
	worth   float64
}

// reports, replies and triage are calls with long, short and middling prompts.
func mixedKinds(load float64) []kind {
	return []kind{
		{
			name: "report", rate: 150 * load, urgency: 1, first: 512, parts: 873, shared: 4870, own: 6610, spread: 1.4, mostOwn: 54_600,
			output: 380, target: 800 * time.Millisecond, worth: 3.9,
		},
		{
			name: "reply", rate: 153 * load, urgency: 0, first: 119, parts: 592, shared: 79, own: 628, spread: 1, mostOwn: 3310,
			output: 290, target: 400 * time.Millisecond, worth: 2.5,
		},
		{
			name: "triage", rate: 314 * load, urgency: 2, first: 341, parts: 2737, shared: 227, own: 1800, spread: 1.3, mostOwn: 6870,
			output: 22, target: 500 * time.Millisecond, worth: 0.31,
		},
	}
}

// mostPause is the longest pause between events with which a stream is on time.
const mostPause = 500 * time.Millisecond

// job is one call at an engine.
type job struct {
	call     *dispatcher.Call
	kind     *kind
	weight   float64
	entry    *replayEntry
	upstream *tracker.Upstream
	engine   *engine
	sent     time.Duration
	unread   int
	context  int
	left     int
	made     int
	firstAt  time.Duration
	lastAt   time.Duration
	pause    time.Duration
	told     int64
}

type engine struct {
	engineModel
	name    units.Upstream
	speed   float64
	waiting []*job
	running []*job
	reading []int
	busy    bool
	kept    []uint64
	sizes   map[uint64]int
	total   int
}

// keep notes that a part was read or used, and returns how much of it had to be read.
func (e *engine) keep(part uint64, tokens int) int {
	if i := slices.Index(e.kept, part); i >= 0 {
		e.kept = append(slices.Delete(e.kept, i, i+1), part)
		return 0
	}
	e.kept = append(e.kept, part)
	e.sizes[part] = tokens
	e.total += tokens
	for e.total > e.memory {
		e.total -= e.sizes[e.kept[0]]
		e.kept = e.kept[1:]
	}
	return tokens
}

// begin starts the next step and returns how long it takes, 0 where there is nothing to do.
func (e *engine) begin() time.Duration {
	slices.SortStableFunc(e.waiting, func(a, b *job) int { return a.kind.urgency - b.kind.urgency })
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		return 0
	}
	took := e.step + time.Duration(len(e.running))*e.perCall
	room := e.chunk
	e.reading = e.reading[:0]
	for _, j := range e.running {
		part := min(room, j.unread)
		room -= part
		e.reading = append(e.reading, part)
		took += time.Duration(part) * e.perToken
		took += time.Duration(float64(e.perPair) * float64(part) * float64(j.context) / e.pairUnit)
		j.context += part
	}
	return time.Duration(float64(took) * e.speed)
}

// end ends a step: calls that are read get a token.
func (e *engine) end(now time.Duration, done func(*job), first func(*job)) {
	kept := e.running[:0]
	for i, j := range e.running {
		if i < len(e.reading) {
			j.unread -= e.reading[i]
		}
		if i >= len(e.reading) || j.unread > 0 {
			kept = append(kept, j)
			continue
		}
		j.made++
		if j.made == 1 {
			j.firstAt, j.lastAt = now, now
			first(j)
		} else if j.made%e.stride == 1 || j.made == j.left {
			j.pause = max(j.pause, now-j.lastAt)
			j.lastAt = now
		}
		if j.made < j.left {
			kept = append(kept, j)
			continue
		}
		done(j)
	}
	e.running = kept
}

// replayEntry is one entry of a replayed fleet.
type replayEntry struct {
	*Placer
	fleet Fleet
}

// moment is something that happens in a replay.
type moment struct {
	at   time.Duration
	what func()
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at < m[j].at }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// replay plays a load on a fleet with a policy of placement.
type replay struct {
	entries, engines int
	kinds            []kind
	model            *engineModel
	gap              time.Duration
	length           time.Duration
	// slow is the part of the engines that run slowed times as slow.
	slow   float64
	slowed float64
	seed   uint64
	// alike takes all upstreams to stand at the same place of their order.
	alike bool
	// place overrides the entry's own choice; it may be nil.
	place func(r *running, e *replayEntry, call *dispatcher.Call) *tracker.Upstream
}

type running struct {
	replay
	now     time.Duration
	random  *rand.Rand
	queue   moments
	fleet   []*replayEntry
	engines []*engine
	byName  map[units.Upstream]*engine
	earned  map[string]float64
	owed    map[string]float64
	late    map[string]int
	stalled map[string]int
	asked   map[string]int
	read    int
	fetched int
	refused int
}

func (r *running) modelOf() engineModel {
	if r.model != nil {
		return *r.model
	}
	return modelEngine()
}

func (r *running) at(d time.Duration, what func()) { heap.Push(&r.queue, moment{at: d, what: what}) }

// play returns the part of the worth that was earned, and of each kind.
func (p replay) play() *running {
	r := &running{
		replay:  p,
		random:  rand.New(rand.NewPCG(p.seed, 2)),
		byName:  make(map[units.Upstream]*engine),
		earned:  make(map[string]float64),
		owed:    make(map[string]float64),
		late:    make(map[string]int),
		stalled: make(map[string]int),
		asked:   make(map[string]int),
	}
	for i := range p.engines {
		e := &engine{
			engineModel: r.modelOf(),
			name:        units.Upstream(fmt.Sprintf("u%03d", i)),
			speed:       []float64{1, 1, 1.3}[i%3],
			sizes:       make(map[uint64]int),
		}
		if float64(i) < p.slow*float64(p.engines) {
			e.speed *= p.slowed
		}
		r.engines = append(r.engines, e)
		r.byName[e.name] = e
	}
	for i := range p.entries {
		e := &replayEntry{}
		e.Placer = &Placer{
			DataCentre: units.DataCentre(fmt.Sprintf("dc-%d", i%6)),
			Now:        func() time.Time { return start.Add(r.now) },
			Fleet:      func() Fleet { return e.fleet },
			MostCalls:  func(*tracker.Upstream) int { return r.modelOf().slots },
			Random:     r.random,
			Each:       func(units.Service) time.Duration { return r.modelOf().perToken },
		}
		e.fleet = make(Fleet)
		for u := range r.engines {
			e.fleet["s"] = append(e.fleet["s"], e.Candidate(&tracker.Upstream{
				Name:       r.engines[u].name,
				Service:    "s",
				DataCentre: units.DataCentre(fmt.Sprintf("dc-%d", u%6)),
				Slots:      r.modelOf().slots,
				Live:       &tracker.Live{},
			}, false, false))
			if r.alike {
				e.fleet["s"][u].place = 0.5
			}
		}
		r.fleet = append(r.fleet, e)
	}
	for i := range r.kinds {
		r.at(0, func() { r.arrive(&r.kinds[i]) })
	}
	r.at(0, r.poll)
	for len(r.queue) > 0 && r.now < p.length {
		m := heap.Pop(&r.queue).(moment)
		r.now = m.at
		m.what()
	}
	return r
}

func (r *running) arrive(k *kind) {
	r.at(r.now+time.Duration(r.random.ExpFloat64()/k.rate*float64(time.Second)), func() { r.arrive(k) })
	e := r.fleet[r.random.IntN(len(r.fleet))]
	sigma := k.spread
	own := min(k.mostOwn, k.own*math.Exp(sigma*r.random.NormFloat64()-sigma*sigma/2))
	part := uint64(r.random.IntN(k.parts))
	shared := 0.5*k.shared + k.shared*float64(part*2654435761%1000)/1000
	base := uint64(len(k.name)) << 40
	call := &dispatcher.Call{
		Service: "s",
		Prompt:  units.Tokens(float64(k.first) + shared + own),
		Parts: []dispatcher.Part{
			{ID: base | 1<<32, Tokens: units.Tokens(k.first)},
			{ID: base | part, Tokens: units.Tokens(shared)},
			{ID: r.random.Uint64(), Tokens: units.Tokens(own)},
		},
		Target:  k.target,
		Pause:   r.gapOf(),
		Urgency: k.urgency,
		Rank:    k.urgency,
		Stream:  true,
	}
	mean := float64(k.first) + k.shared + k.own
	weight := min(4, 0.3+0.7*float64(call.Prompt)/mean) * k.worth
	warm := r.now > 4*time.Second && r.now < r.length-4*time.Second
	if warm {
		r.owed[k.name] += weight
		r.asked[k.name]++
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
		call:     call,
		kind:     k,
		entry:    e,
		upstream: u,
		engine:   target,
		sent:     r.now,
		left:     max(1, int(k.output*(0.5+r.random.Float64()))),
		told:     int64(call.Unread()),
	}
	if warm {
		j.weight = weight
	}
	u.Live.InFlight.Add(1)
	u.Live.Prefill.Add(j.told)
	if u.Live.Idle.Load() > 0 {
		u.Live.Idle.Add(-1)
	}
	r.at(r.now+3*time.Millisecond, func() {
		unread := int(own) + target.keep(call.Parts[0].ID, k.first)
		missing := target.keep(call.Parts[1].ID, int(shared))
		if missing > 0 && r.holds(e.Donor(call, u), call.Parts[1].ID) {
			if warm {
				r.fetched += missing
			}
			missing = 0
		}
		unread += missing
		j.unread = max(1, unread)
		j.context = int(call.Prompt) - j.unread
		r.read += j.unread
		target.waiting = append(target.waiting, j)
		r.kick(target)
	})
}

// holds reports whether an upstream keeps a part.
func (r *running) holds(u *tracker.Upstream, part uint64) bool {
	return u != nil && slices.Contains(r.byName[u.Name].kept, part)
}

func (r *running) kick(e *engine) {
	if e.busy {
		return
	}
	took := e.begin()
	if took == 0 {
		return
	}
	e.busy = true
	r.at(r.now+took, func() {
		e.busy = false
		e.end(r.now, r.done, r.first)
		r.kick(e)
	})
}

func (r *running) first(j *job) {
	j.upstream.Live.Prefill.Add(-j.told)
	j.entry.State(j.upstream, Load{
		Running: len(j.engine.running),
		Waiting: len(j.engine.waiting),
		Slots:   j.engine.slots,
	})
}

func (r *running) done(j *job) {
	j.upstream.Live.InFlight.Add(-1)
	j.upstream.Live.Idle.Add(1)
	if j.weight == 0 {
		return
	}
	wait := j.firstAt - j.sent + 10*time.Millisecond
	switch {
	case wait > j.kind.target:
		r.late[j.kind.name]++
		r.earned[j.kind.name] += 0.1 * j.weight
	case j.pause > r.gapOf():
		r.stalled[j.kind.name]++
		r.earned[j.kind.name] += 0.1 * j.weight
	default:
		r.earned[j.kind.name] += j.weight
	}
}

func (r *running) gapOf() time.Duration {
	if r.gap > 0 {
		return r.gap
	}
	return mostPause
}

// pollEvery is how often entries hear of each other's load.
const pollEvery = 200 * time.Millisecond

func (r *running) poll() {
	r.at(r.now+pollEvery, r.poll)
	total := make(map[Hash]UnderWay)
	own := make([]map[Hash]UnderWay, len(r.fleet))
	for i, e := range r.fleet {
		own[i] = e.UnderWay()
		for hash, load := range own[i] {
			sum := total[hash]
			sum.Calls += load.Calls
			sum.Prefill += load.Prefill
			total[hash] = sum
		}
	}
	// What an entry hears is as old as the others' last polls.
	r.at(r.now+pollEvery/2, func() {
		for i, e := range r.fleet {
			e.SetOthers(&Others{
				At:    start.Add(r.now),
				Loads: Less(total, own[i]),
			})
		}
	})
}

// served returns the part of the worth that was earned.
func (r *running) served() float64 {
	earned, owed := 0.0, 0.0
	for name := range r.owed {
		earned += r.earned[name]
		owed += r.owed[name]
	}
	return earned / owed
}

// movedEach is what moving the memory of one prompt token between engines costs, in the
// worth of calls.
const movedEach = 2.3e-5

// net returns the part of the worth that is left when what was moved is paid for.
func (r *running) net() float64 {
	owed := 0.0
	for _, worth := range r.owed {
		owed += worth
	}
	return r.served() - movedEach*float64(r.fetched)/owed
}

// String tells how a replay went, kind by kind.
func (r *running) String() string {
	text := fmt.Sprintf("net %.3f, served %.3f, refused %d, read %d, fetched %d", r.net(), r.served(), r.refused, r.read, r.fetched)
	for i := range r.kinds {
		k := r.kinds[i].name
		text += fmt.Sprintf("; %s %.3f (late %.3f, stalled %.3f)", k, r.earned[k]/r.owed[k],
			float64(r.late[k])/float64(r.asked[k]), float64(r.stalled[k])/float64(r.asked[k]))
	}
	return text
}
