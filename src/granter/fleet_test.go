package granter

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	testWindow  = 8 * time.Second
	testLease   = 5 * time.Second
	testAccount = units.Account("hot")
	// pollTimeout is when an entry gives up a poll, and instances the number of control instances.
	pollTimeout = 450 * time.Millisecond
	instances   = 3
	// maxWait is how long a call waits for a grant.
	maxWait = 150 * time.Millisecond
)

var start = time.Unix(1_000, 0)

// event is something that happens in a fleet at a time.
type event struct {
	at   time.Time
	do   func()
	rank int
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].rank < q[j].rank
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// weather says how badly a fleet fares.
type weather struct {
	// lost and late are the probabilities of a message to be lost and to take up to maxDelay.
	lost, late float64
	maxDelay   time.Duration
	// restart and change are the mean times between restarts of an entry and between losses of the leader; 0 is never.
	restart, change time.Duration
	// refunded is the fraction of calls that do not run.
	refunded float64
	// spend is the mean time between the moments at which an entry admits all that it may, as it also does before
	// it restarts; 0 is never.
	spend time.Duration
	// cut is the mean time between cuts of an entry from all control instances, and as long as one lasts.
	cut time.Duration
}

// fleet is a number of entries, control instances of which one may lead, and their replicated log.
type fleet struct {
	weather weather
	random  *rand.Rand
	now     time.Time
	queue   eventQueue
	allowed float64
	entries []*testEntry
	leader  *testLeader
	log     map[units.Account]Bound
	changes int
	ran     []*testCall
	// asked and refused count the tokens of calls.
	asked, refused float64
}

type testCall struct {
	at   time.Time
	size float64
	ran  bool
}

type testLeader struct {
	instance   int
	leadership Leadership
	ledger     *Ledger
}

type testEntry struct {
	name        units.Instance
	holder      *Holder
	incarnation units.Incarnation
	number      uint64
	// leadership is the one that the entry knows, and instance the one that it polls.
	leadership Leadership
	instance   int
	cutUntil   time.Time
	waiting    []*waitingCall
}

// waitingCall is a call that waits for a grant; its size is 0 once it is admitted.
type waitingCall struct {
	size     float64
	giveUpAt time.Time
}

func newFleet(entries int, allowed float64, seed uint64, w weather) *fleet {
	f := &fleet{
		weather: w,
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     start,
		allowed: allowed,
		log:     make(map[units.Account]Bound),
	}
	for i := range entries {
		e := &testEntry{name: units.Instance(fmt.Sprint(i))}
		f.entries = append(f.entries, e)
		f.restart(e)
		f.scheduleRestart(e)
		f.scheduleSpend(e)
		f.scheduleCut(e)
	}
	f.elect()
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	heap.Push(&f.queue, event{
		at:   f.now.Add(max(0, d)),
		do:   do,
		rank: f.queue.Len(),
	})
}

// run lets the fleet run until a time.
func (f *fleet) run(until time.Time) {
	for f.queue.Len() > 0 && !f.queue[0].at.After(until) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// drawTime returns a random time with the given mean.
func (f *fleet) drawTime(mean time.Duration) time.Duration {
	return time.Duration(f.random.ExpFloat64() * float64(mean))
}

func (f *fleet) delay() time.Duration {
	if f.random.Float64() < f.weather.late {
		return time.Duration(f.random.Float64() * float64(f.weather.maxDelay))
	}
	return time.Duration(1+f.random.IntN(20)) * time.Millisecond
}

// send delivers a message from or to an entry, or loses it.
func (f *fleet) send(e *testEntry, deliver func()) {
	if !f.now.Before(e.cutUntil) && f.random.Float64() >= f.weather.lost {
		f.after(f.delay(), deliver)
	}
}

// restart ends an entry with all that it knows, and starts it again.
func (f *fleet) restart(e *testEntry) {
	e.incarnation++
	e.number = 0
	e.leadership = 0
	e.waiting = nil
	e.holder = &Holder{
		Lease:  time.Duration(0.88 * float64(testLease)),
		Window: testWindow,
		Prompt: func() {},
	}
	// An entry that has no response serves no calls.
	e.holder.enforced = true
	f.poll(e, e.incarnation)
}

// spendAll lets an entry admit all that it may.
func (f *fleet) spendAll(e *testEntry) {
	if f.weather.spend == 0 {
		return
	}
	for f.take(e, f.allowed/500) {
	}
	e.want(f.allowed / 10)
}

func (f *fleet) scheduleCut(e *testEntry) {
	if f.weather.cut > 0 {
		f.after(f.drawTime(f.weather.cut), func() {
			e.cutUntil = f.now.Add(f.drawTime(f.weather.cut))
			f.scheduleCut(e)
		})
	}
}

func (f *fleet) scheduleSpend(e *testEntry) {
	if f.weather.spend > 0 {
		f.after(f.drawTime(f.weather.spend), func() {
			f.spendAll(e)
			f.scheduleSpend(e)
		})
	}
}

func (f *fleet) scheduleRestart(e *testEntry) {
	if f.weather.restart > 0 {
		f.after(f.drawTime(f.weather.restart), func() {
			f.spendAll(e)
			f.restart(e)
			f.scheduleRestart(e)
		})
	}
}

// poll sends a poll of an entry, and the next one once it has a response or gives up.
func (f *fleet) poll(e *testEntry, incarnation units.Incarnation) {
	if e.incarnation != incarnation {
		return
	}
	e.number++
	number, sentAt, leadership, instance := e.number, f.now, e.leadership, e.instance
	usage := e.holder.Report(f.now, leadership)
	report := Report{
		Entry:       e.name,
		Incarnation: incarnation,
		Number:      number,
		Stamp:       usage.Stamp,
		Uses:        usage.Uses,
	}
	f.send(e, func() { f.receive(instance, leadership, usage.Complete, report, sentAt, e) })
	f.after(pollTimeout, func() {
		if e.incarnation == incarnation && e.number == number {
			e.instance = f.random.IntN(instances)
			f.poll(e, incarnation)
		}
	})
}

// receive handles a poll at an instance.
func (f *fleet) receive(instance int, leadership Leadership, complete bool, report Report, sentAt time.Time, e *testEntry) {
	leader := f.leader
	if leader == nil || leader.instance != instance {
		// An instance that does not lead says so at once.
		f.send(e, func() {
			if e.incarnation == report.Incarnation && e.number == report.Number {
				e.number++
				e.instance = f.random.IntN(instances)
				f.after(50*time.Millisecond, func() { f.poll(e, report.Incarnation) })
			}
		})
		return
	}
	response := Response{
		Leadership: leader.leadership,
		Stamp:      f.now.UnixNano(),
	}
	known := leadership == leader.leadership
	if !known {
		report.Stamp = 0
	}
	if (known || complete) && leader.ledger.Record(f.now, report) {
		response.Grants = true
		share := 1 / float64(len(f.entries))
		if ceiling, changed := leader.ledger.Grant(f.now, report.Entry, testAccount, f.allowed, share); changed {
			response.Ceilings = map[units.Account]float64{testAccount: ceiling}
		}
	}
	f.propose(leader)
	f.send(e, func() {
		if e.incarnation != report.Incarnation || e.number != report.Number {
			return
		}
		e.leadership = response.Leadership
		e.holder.Apply(f.now, sentAt, response)
		f.admitWaiting(e)
		e.number++ // The poll has its response; no later one is applied.
		f.after(50*time.Millisecond, func() { f.poll(e, report.Incarnation) })
	})
}

// propose commits what a leader proposes after some time; a leader that is lost meanwhile may have committed it.
func (f *fleet) propose(leader *testLeader) {
	bounds := leader.ledger.Propose(f.now, map[units.Account]float64{testAccount: f.allowed})
	if len(bounds) == 0 {
		return
	}
	f.after(f.delay(), func() {
		if f.leader == leader {
			maps.Copy(f.log, bounds)
			leader.ledger.Commit()
		}
	})
}

// elect makes an instance the leader, and loses it after a while.
func (f *fleet) elect() {
	f.changes++
	ledger := &Ledger{
		Window: testWindow,
		Lease:  testLease,
		Since:  f.now,
	}
	for account, committed := range f.log {
		ledger.Inherit(account, committed)
	}
	f.leader = &testLeader{
		instance:   f.random.IntN(instances),
		leadership: Leadership(f.changes),
		ledger:     ledger,
	}
	if f.weather.change > 0 {
		f.after(f.drawTime(f.weather.change), func() {
			f.lose()
			f.after(f.drawTime(f.weather.change/4), f.elect)
		})
	}
}

// lose ends the leader. What it has proposed may have been committed all the same.
func (f *fleet) lose() {
	a := f.leader.ledger.account(testAccount)
	if last := a.bounds[len(a.bounds)-1]; len(a.bounds) > 1 && f.random.IntN(2) == 0 {
		committed := Bound{Remaining: last.remaining}
		for _, c := range last.used.entries {
			committed.Used = append(committed.Used, Charge{
				Tokens:  c.tokens,
				Expires: c.until.Sub(f.now),
			})
		}
		f.log[testAccount] = committed
	}
	f.leader = nil
}

// call asks an entry to admit a call, which waits for a grant.
func (f *fleet) call(e *testEntry, size float64) {
	f.asked += size
	if f.take(e, size) {
		return
	}
	f.refused += size
	waiting := &waitingCall{
		size:     size,
		giveUpAt: f.now.Add(maxWait),
	}
	e.waiting = append(e.waiting, waiting)
	e.want(size)
	f.after(maxWait, func() { e.want(-waiting.size) })
}

func (e *testEntry) want(size float64) {
	e.holder.mu.Lock()
	defer e.holder.mu.Unlock()
	held := e.holder.holding(testAccount)
	held.use.Wanted = max(0, held.use.Wanted+size)
}

// admitWaiting admits the calls that wait for a grant.
func (f *fleet) admitWaiting(e *testEntry) {
	for _, w := range e.waiting {
		if w.size > 0 && !f.now.After(w.giveUpAt) && f.take(e, w.size) {
			f.refused -= w.size
			e.want(-w.size)
			w.size = 0
		}
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(w *waitingCall) bool { return w.size == 0 || f.now.After(w.giveUpAt) })
}

func (f *fleet) take(e *testEntry, size float64) bool {
	if !e.holder.Take(f.now, testAccount, size) {
		return false
	}
	c := &testCall{
		at:   f.now,
		size: size,
		ran:  true,
	}
	f.ran = append(f.ran, c)
	if f.random.Float64() < f.weather.refunded {
		c.ran = false
		incarnation := e.incarnation
		f.after(f.drawTime(2*time.Second), func() {
			if e.incarnation == incarnation {
				e.holder.Refund(f.now, testAccount, size, c.at)
			}
		})
	}
	return true
}

// load sends calls to the entries for a time, at a rate in tokens a second; a few entries receive most of them.
func (f *fleet) load(d time.Duration, rate, meanSize float64) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.run(f.now.Add(step)) {
		for expected := rate * step.Seconds() / meanSize; f.random.Float64() < expected; expected-- {
			i := int(float64(len(f.entries)) * f.random.Float64() * f.random.Float64())
			f.call(f.entries[i], min(f.allowed/4, meanSize*f.random.ExpFloat64()))
		}
	}
}

// maximum returns the greatest number of tokens that ran in any window.
func (f *fleet) maximum() float64 {
	maximum, sum, first := 0.0, 0.0, 0
	for _, c := range f.ran {
		if c.ran {
			sum += c.size
		}
		for ; c.at.Sub(f.ran[first].at) > testWindow; first++ {
			if f.ran[first].ran {
				sum -= f.ran[first].size
			}
		}
		maximum = max(maximum, sum)
	}
	return maximum
}

// Guards against entries that together admit more than an account's limit: with messages lost, late and out of order,
// entries that restart, leaders that are lost with what they have proposed, and calls that are refunded.
func TestLimitHoldsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := weather{
			lost:     rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "lost"),
			late:     rapid.SampledFrom([]float64{0, 0, 0.1, 0.5}).Draw(t, "late"),
			maxDelay: time.Duration(rapid.IntRange(100, 9000).Draw(t, "max delay")) * time.Millisecond,
			restart:  time.Duration(rapid.SampledFrom([]int{0, 3, 20}).Draw(t, "restart")) * time.Second,
			change:   time.Duration(rapid.SampledFrom([]int{0, 2, 8}).Draw(t, "change")) * time.Second,
			refunded: rapid.SampledFrom([]float64{0, 0.2, 0.7}).Draw(t, "refunded"),
			cut:      time.Duration(rapid.SampledFrom([]int{0, 0, 4, 10}).Draw(t, "cut")) * time.Second,
			spend:    time.Duration(rapid.SampledFrom([]int{0, 100, 2000}).Draw(t, "spend")) * time.Millisecond,
		}
		f := newFleet(rapid.IntRange(1, 20).Draw(t, "entries"), 2_000_000, rapid.Uint64().Draw(t, "seed"), w)
		meanSize := rapid.SampledFrom([]float64{1_000, 12_000, 60_000}).Draw(t, "mean size")
		for range 4 {
			f.load(10*time.Second, rapid.Float64Range(0.1, 8).Draw(t, "times")*f.allowed/testWindow.Seconds(), meanSize)
		}
		if got, want := f.maximum(), f.allowed; got > want {
			t.Fatalf("tokens run in one window: got %.0f, want at most %.0f", got, want)
		}
	})
}

// Guards against callers within their account's limit that are refused after a fault because too much of the limit
// stays charged to entries or leaders that have ended.
func TestCallsWithinTheLimitAreAdmitted(t *testing.T) {
	const maxRefused = 0.01
	cases := map[string]struct {
		entries             int
		loseLeader, killAll bool
	}{
		"no fault":                            {entries: 62},
		"leader lost":                         {entries: 62, loseLeader: true},
		"all entries killed":                  {entries: 62, killAll: true},
		"all entries killed and leader lost":  {entries: 62, loseLeader: true, killAll: true},
		"few entries, leader lost":            {entries: 7, loseLeader: true},
		"few entries, all killed":             {entries: 7, killAll: true},
		"few entries, killed and leader lost": {entries: 7, loseLeader: true, killAll: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			asked, refused := 0.0, 0.0
			for seed := range uint64(10) {
				f := newFleet(c.entries, 2_000_000, seed, weather{})
				rate := 0.42 * f.allowed / testWindow.Seconds()
				f.load(2*time.Second, 0, 1)
				f.load(10*time.Second, rate, 6_000)
				if c.loseLeader {
					f.lose()
					f.after(700*time.Millisecond, f.elect)
				}
				if c.killAll {
					for _, e := range f.entries {
						f.restart(e)
					}
				}
				f.load(time.Second, 0, 1)
				f.asked, f.refused = 0, 0
				f.load(14*time.Second, rate, 6_000)
				asked, refused = asked+f.asked, refused+f.refused
			}
			t.Logf("refused: %.4f of the tokens", refused/asked)
			if got := refused / asked; got > maxRefused {
				t.Errorf("refused part of the tokens: got %.4f, want at most %.2f", got, maxRefused)
			}
		})
	}
}
