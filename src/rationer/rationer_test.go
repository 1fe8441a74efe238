package rationer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const llm units.Service = "ember-llm"

var start = time.Unix(1000, 0)

// newBrittle returns a rationer of a service that the fleet says is brittle.
func newBrittle(service Service) *Rationer {
	random := rand.New(rand.NewPCG(1, 1))
	r := &Rationer{Random: random.Float64}
	service.Name, service.StatedAt = llm, start
	r.ApplyFleet(start, []Service{service}, nil)
	return r
}

// Guards against a service that is taken for brittle after its upstreams say so no more, or that is
// not taken for brittle by an entry that has had no answer from it.
func TestBrittleStatements(t *testing.T) {
	brittle := Statement{Brittle: true, MaxRejections: 3}
	type answer struct {
		ms, sentMs int
		id         units.IncarnationID
		statement  Statement
	}
	cases := map[string]struct {
		answers []answer
		fleet   []Service
		at      time.Duration
		want    bool
		wantMax float64
	}{
		"never stated":                  {answers: []answer{{ms: 1, id: 1}}},
		"stated":                        {answers: []answer{{ms: 1, id: 1, statement: brittle}}, want: true, wantMax: 3},
		"the lowest counts":             {answers: []answer{{ms: 1, id: 1, statement: brittle}, {ms: 2, id: 2, statement: Statement{Brittle: true}}}, want: true},
		"stated no more":                {answers: []answer{{ms: 1, id: 1, statement: brittle}, {ms: 9, sentMs: 5, id: 1}}},
		"an overtaken answer":           {answers: []answer{{ms: 5, sentMs: 4, id: 1, statement: brittle}, {ms: 9, sentMs: 2, id: 1}}, want: true, wantMax: 3},
		"another upstream":              {answers: []answer{{ms: 1, id: 1, statement: brittle}, {ms: 9, sentMs: 5, id: 2}}, want: true, wantMax: 3},
		"no answer since":               {answers: []answer{{ms: 1, id: 1, statement: brittle}}, at: statementTTL + time.Second, want: true, wantMax: 3},
		"only other answers":            {answers: []answer{{ms: 1, id: 1, statement: brittle}, {ms: 3100, sentMs: 3000, id: 2}}, at: statementTTL + time.Second},
		"long ago":                      {answers: []answer{{ms: 1, id: 1, statement: brittle}}, at: maxStatementAge},
		"to other entries":              {fleet: []Service{{Name: llm, MaxRejections: 2, StatedAt: start}}, want: true, wantMax: 2},
		"to others, no answer since":    {fleet: []Service{{Name: llm, MaxRejections: 2, StatedAt: start, AnsweredAt: start}}, at: statementTTL + time.Second, want: true, wantMax: 2},
		"to others, only other answers": {fleet: []Service{{Name: llm, MaxRejections: 2, StatedAt: start, AnsweredAt: start.Add(statementTTL)}}, at: statementTTL + time.Second},
		"to others, long ago":           {fleet: []Service{{Name: llm, MaxRejections: 2, StatedAt: start}}, at: maxStatementAge},
		"to both":                       {answers: []answer{{ms: 1, id: 1, statement: brittle}}, fleet: []Service{{Name: llm, MaxRejections: 2, StatedAt: start}}, want: true, wantMax: 2},
		"of another service":            {fleet: []Service{{Name: "other", StatedAt: start}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &Rationer{}
			for _, a := range c.answers {
				r.RecordAnswer(start.Add(time.Duration(a.ms)*time.Millisecond), start.Add(time.Duration(a.sentMs)*time.Millisecond), llm, a.id, a.statement)
			}
			r.ApplyFleet(start, c.fleet, nil)
			limit, got := r.Brittle(start.Add(10*time.Millisecond+c.at), llm)
			if got != c.want || limit != c.wantMax {
				t.Errorf("got brittle %t and %v rejections, want %t and %v", got, limit, c.want, c.wantMax)
			}
		})
	}
}

// Guards against slots that two entries use, and against slots that none may use.
func TestEachSlotHasOneOwner(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 300 {
		u := Upstream{ID: units.IncarnationID(random.Uint64()), Slots: 1 + random.IntN(64)}
		cuts := []float64{0, 1}
		for range random.IntN(20) {
			cuts = append(cuts, random.Float64())
		}
		sum := 0
		for i, from := range cuts {
			to := 1.0
			for _, cut := range cuts {
				if cut > from && cut < to {
					to = cut
				}
			}
			if from == 1 {
				continue
			}
			got := Share{From: from, To: to}.slots(u)
			if got < 0 {
				t.Fatalf("slots of share %d: got %d, want at least 0", i, got)
			}
			sum += got
		}
		if want := usableSlots(u); sum != want {
			t.Fatalf("slots of all %d shares of an upstream with %d: got %d, want %d", len(cuts)-1, u.Slots, sum, want)
		}
	}
}

// Guards against calls to an upstream that has no slot for them.
func TestOwnedSlots(t *testing.T) {
	half := Share{From: 0, To: 0.5}
	cases := map[string]struct {
		share    Share
		upstream Upstream
		full     []Full
		at       time.Duration
		want     bool
	}{
		"free":                    {share: half, upstream: Upstream{Slots: 20, Own: 8, Calls: 12}, want: true},
		"own slots used":          {share: half, upstream: Upstream{Slots: 20, Own: 9, Calls: 12}},
		"others use too many":     {share: half, upstream: Upstream{Slots: 20, Own: 1, Calls: 20}},
		"just found full":         {share: half, upstream: Upstream{ID: 5, Slots: 20}, full: []Full{{ID: 5, At: start}}},
		"found full before":       {share: half, upstream: Upstream{ID: 5, Slots: 20}, full: []Full{{ID: 5, At: start}}, at: fullTTL, want: true},
		"holds fewer than slots":  {share: half, upstream: Upstream{ID: 5, Slots: 20, Own: 5, Calls: 5}, full: []Full{{ID: 5, At: start, Capacity: 8, RejectedAt: start}}, at: fullTTL},
		"holds them again":        {share: half, upstream: Upstream{ID: 5, Slots: 20, Own: 5, Calls: 5}, full: []Full{{ID: 5, At: start, Capacity: 8, RejectedAt: start}}, at: 20 * time.Second, want: true},
		"long after the share":    {share: half, upstream: Upstream{Slots: 20, Own: 9, Calls: 9}, at: maxStatementAge / 2},
		"without a share of slot": {share: Share{From: 0.999, To: 1}, upstream: Upstream{ID: 1, Slots: 3}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newBrittle(Service{Share: c.share})
			now := start.Add(c.at)
			r.ApplyFleet(start, []Service{{Name: llm, StatedAt: start, Share: c.share}}, c.full)
			got := r.Select(now, llm, []Upstream{c.upstream}, Load{Entries: 1})
			if (len(got) > 0) != c.want {
				t.Errorf("upstreams to choose from: got %v, want some %t", got, c.want)
			}
		})
	}
}

// loss is a simulation of entries that send calls to brittle upstreams without queues.
type loss struct {
	entries, upstreams, slots int
	maxRejections             float64
	callTime                  time.Duration
	// rate is the number of calls a second.
	rate float64
}

// run returns the rates of rejections by upstream and the fraction of the slots in use.
func (l loss) run(t *testing.T) (rejections, used float64) {
	t.Helper()
	const (
		duration = 30 * time.Second
		step     = time.Millisecond
		poll     = 100 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(3, 3))
	entries := make([]*Rationer, l.entries)
	shares := make([]Share, l.entries)
	for i := range entries {
		shares[i] = Share{From: float64(i) / float64(l.entries), To: float64(i+1) / float64(l.entries)}
		entries[i] = newBrittle(Service{MaxRejections: l.maxRejections, CallRate: units.CallRate(l.rate), Share: shares[i]})
		entries[i].Random = random.Float64
	}
	type call struct {
		entry, upstream int
		ends            time.Time
	}
	var running []call
	own := make([][]int64, l.entries)
	for i := range own {
		own[i] = make([]int64, l.upstreams)
	}
	total, known := make([]int64, l.upstreams), make([]int64, l.upstreams)
	rejected, usedTime := 0, 0.0
	for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
		if now.Sub(start)%poll == 0 {
			copy(known, total)
			for i, r := range entries {
				r.ApplyFleet(now, []Service{{Name: llm, MaxRejections: l.maxRejections, StatedAt: now, CallRate: units.CallRate(l.rate), Share: shares[i]}}, nil)
			}
		}
		kept := running[:0]
		for _, c := range running {
			if now.Before(c.ends) {
				kept = append(kept, c)
				continue
			}
			own[c.entry][c.upstream]--
			total[c.upstream]--
		}
		running = kept
		for arrivals := l.rate * step.Seconds(); random.Float64() < arrivals; arrivals-- {
			e := random.IntN(l.entries)
			upstreams := make([]Upstream, l.upstreams)
			for i := range upstreams {
				upstreams[i] = Upstream{ID: units.IncarnationID(i + 1), Slots: l.slots, Own: own[e][i], Calls: max(own[e][i], known[i])}
			}
			choice := entries[e].Select(now, llm, upstreams, Load{Age: poll, CallTime: l.callTime, Entries: l.entries})
			if len(choice) == 0 {
				continue
			}
			u := choice[random.IntN(len(choice))]
			if total[u] >= int64(l.slots) {
				rejected++
				continue
			}
			own[e][u]++
			total[u]++
			took := time.Duration(random.ExpFloat64() * float64(l.callTime))
			running = append(running, call{entry: e, upstream: u, ends: now.Add(took)})
		}
		usedTime += float64(len(running)) * step.Seconds()
	}
	return float64(rejected) / duration.Seconds() / float64(l.upstreams), usedTime / duration.Seconds() / float64(l.slots*l.upstreams)
}

// Guards against upstreams that reject more calls than they survive, and against slots that are left
// unused while calls are refused.
func TestRejectionsStayBelowWhatUpstreamsSurvive(t *testing.T) {
	cases := map[string]struct {
		loss    loss
		minUsed float64
	}{
		"few entries, short calls":      {loss: loss{entries: 3, upstreams: 5, slots: 6, maxRejections: 3, callTime: 100 * time.Millisecond, rate: 480}, minUsed: 0.6},
		"few entries, long calls":       {loss: loss{entries: 7, upstreams: 12, slots: 64, maxRejections: 5, callTime: 2 * time.Second, rate: 600}, minUsed: 0.7},
		"no rejection survived":         {loss: loss{entries: 7, upstreams: 12, slots: 64, maxRejections: 0, callTime: 2 * time.Second, rate: 600}, minUsed: 0.7},
		"more entries than slots":       {loss: loss{entries: 60, upstreams: 5, slots: 6, maxRejections: 3, callTime: 60 * time.Millisecond, rate: 700}, minUsed: 0.25},
		"more entries, light load":      {loss: loss{entries: 60, upstreams: 5, slots: 6, maxRejections: 3, callTime: 60 * time.Millisecond, rate: 100}, minUsed: 0.17},
		"more entries, none survived":   {loss: loss{entries: 60, upstreams: 5, slots: 6, maxRejections: 0, callTime: 60 * time.Millisecond, rate: 700}, minUsed: 0.1},
		"hundreds of entries and slots": {loss: loss{entries: 195, upstreams: 40, slots: 12, maxRejections: 3, callTime: time.Second, rate: 700}, minUsed: 0.5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rejections, used := c.loss.run(t)
			if limit := max(minRejectionRate, c.loss.maxRejections/2); rejections > limit {
				t.Errorf("rejections a second at each upstream: got %.2f, want at most %.2f", rejections, limit)
			}
			if used < c.minUsed {
				t.Errorf("slots in use: got %.2f, want at least %.2f", used, c.minUsed)
			}
			t.Logf("%.3f rejections a second, %.2f of the slots in use", rejections, used)
		})
	}
}

// Guards against a target load by a loss formula that is wrong.
func TestErlangLoss(t *testing.T) {
	cases := map[string]struct {
		slots int
		load  float64
		want  float64
	}{
		"one slot":  {slots: 1, load: 1, want: 0.5},
		"two slots": {slots: 2, load: 1, want: 1.0 / 5},
		"three":     {slots: 3, load: 2, want: 4.0 / 19},
		"ten slots": {slots: 10, load: 5, want: 0.01838},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := blocking(c.slots, c.load); math.Abs(got-c.want) > 0.0005 {
				t.Errorf("blocking: got %.5f, want %.5f", got, c.want)
			}
		})
	}
}

// Guards against a leader that keeps a service brittle by the statements of an entry without calls, and
// against one that forgets it while no entry has any.
func TestStatementsOfIdleEntries(t *testing.T) {
	cases := map[string]struct {
		// answeredAgo are the times since the last answer to each of two entries, the first of which
		// has had the last statement then.
		answeredAgo [2]time.Duration
		want        bool
	}{
		"both have calls":  {want: true},
		"none has calls":   {answeredAgo: [2]time.Duration{10 * time.Second, 9 * time.Second}, want: true},
		"another has some": {answeredAgo: [2]time.Duration{10 * time.Second, 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := start.Add(time.Minute)
			s := &Summary{}
			stated, other := now.Add(-c.answeredAgo[0]), now.Add(-c.answeredAgo[1])
			s.RecordReport(now, []Service{{Name: llm, MaxRejections: 3, StatedAt: stated, AnsweredAt: stated}}, nil)
			s.RecordReport(now, []Service{{Name: llm, AnsweredAt: other}}, nil)
			s.Step(now)
			got := s.ServicesFor("a")
			if len(got) != 1 || got[0].IsBrittle(now) != c.want || got[0].MaxRejections != 3 {
				t.Errorf("services: got %+v, want one that is brittle %t", got, c.want)
			}
		})
	}
}

// Guards against an entry that refuses its callers long after upstreams said last that they are brittle,
// because it has no slots, hence no answers: with the same leader, and with one that knows nothing of it.
func TestIdleEntriesLearnThatUpstreamsAreNoLongerBrittle(t *testing.T) {
	const (
		pollInterval = 200 * time.Millisecond
		brittleTime  = 2 * time.Second
	)
	cases := map[string]struct {
		// stated is set where the idle entry has had a statement itself.
		stated    bool
		newLeader bool
		allowed   time.Duration
	}{
		"same leader":                {allowed: statementTTL + time.Second},
		"same leader, own statement": {stated: true, allowed: statementTTL + time.Second},
		"new leader":                 {newLeader: true, allowed: 2*statementTTL + time.Second},
		"new leader, own statement":  {stated: true, newLeader: true, allowed: 2*statementTTL + time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			end := start.Add(brittleTime + c.allowed)
			begun := 0
			busy, idle, leader := &Rationer{}, &Rationer{}, &Summary{}
			for now := start; now.Before(end); now = now.Add(pollInterval) {
				brittle := now.Before(start.Add(brittleTime))
				busy.RecordAnswer(now, now, llm, 1, Statement{Brittle: brittle, MaxRejections: 3})
				if c.stated && now.Equal(start.Add(brittleTime-pollInterval)) {
					idle.RecordAnswer(now, now, llm, 2, Statement{Brittle: true, MaxRejections: 3})
				}
				if sinceEnd := now.Sub(start) - brittleTime; c.newLeader && sinceEnd > time.Second && sinceEnd < statementTTL+time.Second {
					// There is no leader.
					leader = &Summary{}
					continue
				}
				for i, r := range []*Rationer{busy, idle} {
					services, full := r.Report(now)
					begun += len(leader.RecordReport(now, services, full))
					leader.Step(now)
					r.ApplyFleet(now, leader.ServicesFor(units.Instance(rune('a'+i))), leader.Full())
				}
				if _, got := idle.Brittle(now, llm); brittle && now.After(start.Add(pollInterval)) && !got {
					t.Errorf("after %v: got no brittle service at the idle entry, want one", now.Sub(start))
				}
			}
			if _, got := idle.Brittle(end, llm); got {
				t.Errorf("%v after the last statement: got a brittle service, want none", c.allowed)
			}
			if !c.newLeader && begun != 1 {
				t.Errorf("times that the service became brittle at the leader: got %d, want 1", begun)
			}
		})
	}
}

// Guards against a service that stays usable for others though its upstreams say anew that they are brittle.
func TestServiceBecomesBrittleAgain(t *testing.T) {
	s := &Summary{}
	s.RecordReport(start, []Service{{Name: llm, MaxRejections: 3, StatedAt: start, AnsweredAt: start}}, nil)
	now := start.Add(statementTTL)
	s.RecordReport(now, []Service{{Name: llm, StatedAt: start, AnsweredAt: now}}, nil)
	if ended := s.Step(now); len(ended) != 1 {
		t.Fatalf("services that are no longer brittle: got %+v, want one", ended)
	}
	if ended := s.Step(now); len(ended) != 0 {
		t.Errorf("services that are no longer brittle, again: got %+v, want none", ended)
	}
	now = now.Add(time.Second)
	begun := s.RecordReport(now, []Service{{Name: llm, MaxRejections: 5, StatedAt: now, AnsweredAt: now}}, nil)
	got := s.ServicesFor("a")
	if len(begun) != 1 || len(got) != 1 || !got[0].IsBrittle(now) || got[0].MaxRejections != 5 {
		t.Errorf("services after another statement: got %+v (%d begun), want a brittle one with 5 rejections", got, len(begun))
	}
}

// Guards against entries that have calls but no share, and against shares that overlap.
func TestSharesFollowTheCalls(t *testing.T) {
	s := &Summary{}
	s.RecordReport(start, []Service{{Name: llm, MaxRejections: 3, StatedAt: start}}, nil)
	for second := range 3 {
		now := start.Add(time.Duration(second) * time.Second)
		s.RecordReport(now, []Service{{Name: llm, MaxRejections: 3, StatedAt: now}}, nil)
		for entry, rate := range map[units.Instance]float64{"a": 0, "b": 30, "c": 90} {
			s.RecordCalls(now, entry, llm, 1000+rate*float64(second))
		}
		s.Step(now)
	}
	from := 0.0
	for entry, want := range map[int]float64{0: evenFraction / 3, 1: evenFraction/3 + (1-evenFraction)*0.25, 2: evenFraction/3 + (1-evenFraction)*0.75} {
		name := units.Instance(rune('a' + entry))
		services := s.ServicesFor(name)
		if len(services) != 1 {
			t.Fatalf("brittle services: got %d, want 1", len(services))
		}
		if got := services[0].Share.To - services[0].Share.From; math.Abs(got-want) > 1e-9 {
			t.Errorf("share of %s: got %.3f, want %.3f", name, got, want)
		}
		if share := services[0].Share; share.isEmpty() {
			t.Errorf("share of %s: got none", name)
		}
		if got := services[0].CallRate; got != 120 {
			t.Errorf("calls of all entries: got %v a second, want 120", got)
		}
	}
	for _, name := range []units.Instance{"a", "b", "c"} {
		share := s.ServicesFor(name)[0].Share
		if math.Abs(share.From-from) > 1e-9 {
			t.Errorf("share of %s: begins at %.3f, want %.3f", name, share.From, from)
		}
		from = share.To
	}
	if ended := s.Step(start.Add(2*time.Second + maxStatementAge)); len(ended) != 1 || len(s.ServicesFor("a")) != 0 {
		t.Errorf("services that are no longer brittle: got %s, want one", fmt.Sprint(ended))
	}
}
