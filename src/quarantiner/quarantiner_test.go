package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

// began is when the tests begin.
var began = time.Unix(1000, 0)

// seen is one piece of news, after so many milliseconds.
type seen struct {
	at        int
	request   units.Fingerprint
	life      units.Life
	answering bool
	ran       bool
}

// weigh gives a weigher news and returns what is due at the end, in order.
func weigh(q *Quarantiner, news []seen, end int) []units.Fingerprint {
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	for _, s := range news {
		if s.ran {
			q.Ran(at(s.at), s.request)
			continue
		}
		q.Lose(at(s.at), Loss{
			Request:   s.request,
			Life:      s.life,
			Answering: s.answering,
		})
	}
	var due []units.Fingerprint
	for _, verdict := range q.Due(at(end)) {
		due = append(due, verdict.Request)
	}
	slices.Sort(due)
	return due
}

// Guards against a request that goes on ending upstreams, and against one that is kept from
// them for what it was only near.
func TestWhoEndsUpstreams(t *testing.T) {
	const settled = 10_000
	cases := map[string]struct {
		news []seen
		// end is when it is asked, settled where it is 0.
		end  int
		want []units.Fingerprint
	}{
		"one loss":                              {news: []seen{{request: 1, life: 1}}},
		"two upstreams":                         {news: []seen{{request: 1, life: 1}, {at: 900, request: 1, life: 2}}, want: []units.Fingerprint{1}},
		"one upstream, several calls":           {news: []seen{{request: 1, life: 1}, {request: 1, life: 1}, {at: 5, request: 1, life: 1}}},
		"two upstreams, not settled":            {news: []seen{{request: 1, life: 1}, {at: 900, request: 1, life: 2}}, end: 950},
		"other requests at each":                {news: []seen{{request: 1, life: 1}, {request: 2, life: 2}, {request: 3, life: 3}}},
		"ran between":                           {news: []seen{{request: 1, life: 1}, {at: 400, request: 1, ran: true}, {at: 900, request: 1, life: 2}}},
		"ran after":                             {news: []seen{{request: 1, life: 1}, {at: 900, request: 1, life: 2}, {at: 950, request: 1, ran: true}}},
		"ran before":                            {news: []seen{{request: 1, ran: true}, {at: 400, request: 1, life: 1}, {at: 900, request: 1, life: 2}}},
		"ran long before":                       {news: []seen{{request: 1, ran: true}, {at: 70_000, request: 1, life: 1}, {at: 70_900, request: 1, life: 2}}, end: 80_000, want: []units.Fingerprint{1}},
		"losses minutes apart":                  {news: []seen{{request: 1, life: 1}, {at: 300_000, request: 1, life: 2}}, end: 301_000, want: []units.Fingerprint{1}},
		"answers that had begun":                {news: []seen{{request: 1, life: 1, answering: true}, {request: 1, life: 2, answering: true}, {request: 1, life: 3, answering: true}}},
		"answers that had begun, four times":    {news: []seen{{request: 1, life: 1, answering: true}, {request: 1, life: 2, answering: true}, {request: 1, life: 3, answering: true}, {request: 1, life: 4, answering: true}}, want: []units.Fingerprint{1}},
		"one that was near once":                {news: []seen{{request: 1, life: 1}, {request: 2, life: 1}, {at: 900, request: 1, life: 2}}, want: []units.Fingerprint{1}},
		"one that was near twice of three":      {news: []seen{{request: 1, life: 1}, {request: 2, life: 1}, {request: 1, life: 2}, {request: 2, life: 2}, {request: 1, life: 3}}, want: []units.Fingerprint{1}},
		"two of them":                           {news: []seen{{request: 1, life: 1}, {request: 2, life: 2}, {at: 900, request: 1, life: 3}, {at: 900, request: 2, life: 4}}, want: []units.Fingerprint{1, 2}},
		"one that was near at each end":         {news: []seen{{request: 1, life: 1}, {request: 2, life: 1}, {request: 1, life: 2}, {request: 2, life: 2}}, want: []units.Fingerprint{1, 2}},
		"one that was near and had its answer":  {news: []seen{{request: 1, life: 1}, {request: 2, life: 1, answering: true}, {request: 1, life: 2}, {request: 2, life: 2, answering: true}}, want: []units.Fingerprint{1}},
		"a popular one beside upstreams' ends":  {news: []seen{{request: 1, ran: true}, {request: 1, life: 1}, {request: 1, life: 2}, {request: 1, life: 3}, {request: 1, life: 4}}},
		"many at once":                          {news: []seen{{request: 1, life: 1}, {request: 1, life: 2}, {request: 1, life: 3}, {request: 1, life: 4}}, want: []units.Fingerprint{1}},
		"a loss that comes twice, by two tells": {news: []seen{{request: 1, life: 1}, {at: 20, request: 1, life: 1, answering: true}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := &Quarantiner{Enough: FleetPoints, Settle: Settle}
			end := c.end
			if end == 0 {
				end = settled
			}
			if got := weigh(q, c.news, end); !slices.Equal(got, c.want) {
				t.Errorf("due: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a request that ends as many upstreams again after its quarantine as before it.
func TestOneLossIsEnoughForARepeatedRequest(t *testing.T) {
	q := &Quarantiner{
		Enough:   FleetPoints,
		Settle:   Settle,
		Repeated: func(request units.Fingerprint) bool { return request == 1 },
	}
	got := weigh(q, []seen{{request: 1, life: 1}, {request: 2, life: 2}}, 1000)
	if want := []units.Fingerprint{1}; !slices.Equal(got, want) {
		t.Errorf("due: got %v, want %v", got, want)
	}
}

// Guards against calls that are blamed for an upstream that a quarantined request has ended,
// where the news of them comes late.
func TestExplainedEndsBlameNobody(t *testing.T) {
	q := &Quarantiner{Enough: FleetPoints, Settle: Settle}
	news := []seen{{request: 1, life: 1}, {request: 1, life: 2}, {request: 2, life: 1}}
	if got, want := weigh(q, news, 1000), []units.Fingerprint{1}; !slices.Equal(got, want) {
		t.Fatalf("due: got %v, want %v", got, want)
	}
	q.Drop(1)
	late := []seen{{at: 1100, request: 2, life: 2}, {at: 1100, request: 3, life: 1}, {at: 1100, request: 3, life: 2}}
	if got := weigh(q, late, 2000); len(got) > 0 {
		t.Errorf("due after late news: got %v, want none", got)
	}
	if suspects, _ := q.Suspects(); len(suspects) > 0 {
		t.Errorf("suspects: got %v, want none", suspects)
	}
}

// Guards against memory that grows with the requests of a fleet that loses upstreams.
func TestSuspectsAreBounded(t *testing.T) {
	q := &Quarantiner{Enough: FleetPoints, Settle: Settle}
	for n := range 5 * mostSuspects {
		now := began.Add(time.Duration(n) * time.Millisecond)
		q.Lose(now, Loss{Request: units.Fingerprint(n), Life: units.Life(n)})
		q.Ran(now, units.Fingerprint(n+1_000_000))
	}
	if got := len(q.suspects); got > mostSuspects {
		t.Errorf("suspects: got %d, want at most %d", got, mostSuspects)
	}
	if got := len(q.ran); got > mostRan {
		t.Errorf("requests that have run: got %d, want at most %d", got, mostRan)
	}
	if q.suspects[5*mostSuspects-1] == nil {
		t.Error("the newest suspect: got it forgotten, want it kept")
	}
	q.Due(began.Add(2 * suspectFor))
	if got := len(q.suspects) + len(q.ran); got > 0 {
		t.Errorf("kept after their time: got %d, want none", got)
	}
}

// Guards against a fleet in which a request ends more upstreams than it may, or in which calls
// that were near are kept from upstreams, at any mix of calls.
func TestRequestThatEndsUpstreamsIsFoundAmongOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		upstreams := rapid.IntRange(8, 40).Draw(t, "upstreams")
		beside := rapid.IntRange(0, 20).Draw(t, "calls beside it")
		q := &Quarantiner{Enough: FleetPoints, Settle: Settle}
		const fatal units.Fingerprint = 1
		next, life := fatal, units.Life(0)
		// retried are calls whose upstream has ended and that go to another one.
		var retried []units.Fingerprint
		for ends := 1; ends <= 3; ends++ {
			now := began.Add(time.Duration(ends) * time.Second)
			life++
			lost := []units.Fingerprint{fatal}
			for _, request := range retried {
				if random.IntN(upstreams) == 0 {
					lost = append(lost, request)
				} else {
					q.Ran(now, request)
				}
			}
			for range beside {
				next++
				lost = append(lost, next)
			}
			for _, request := range lost {
				q.Lose(now, Loss{Request: request, Life: life, Answering: request != fatal && random.IntN(2) == 0})
			}
			retried = lost[1:]
			due := q.Due(now.Add(Settle))
			if slices.ContainsFunc(due, func(v Verdict) bool { return v.Request == fatal }) {
				if ends > 2 {
					t.Fatalf("found after %d ends, want 2", ends)
				}
				return
			}
		}
		t.Fatal("not found after 3 ends")
	})
}

// Guards against a new leader that never hears of losses which its predecessor was told, and
// against suspicion that outlives the run which refutes it.
func TestEvidenceForTheNextLeader(t *testing.T) {
	e := &Evidence{}
	now := began
	e.Lose(now, Loss{Request: 1, Life: 1})
	e.Lose(now, Loss{Request: 2, Life: 1})
	numbers := func(after Number) string {
		text := ""
		for _, n := range e.After(now, after, 10) {
			text += fmt.Sprintf("%d:%d:%t ", n.Number, n.Loss.Request, n.Ran)
		}
		return text
	}
	steps := []struct {
		name  string
		do    func()
		after Number
		want  string
	}{
		{name: "all to a leader that knows nothing", want: "1:1:false 2:2:false "},
		{name: "what is new to one that knows the first", after: 1, want: "2:2:false "},
		{name: "one has run", do: func() { e.Ran(now, 2) }, want: "1:1:false 3:2:true "},
		{name: "it runs again", do: func() { e.Ran(now, 2) }, want: "1:1:false 3:2:true "},
		{name: "it is lost after it has run", do: func() { e.Lose(now, Loss{Request: 2, Life: 3}) }, want: "1:1:false 3:2:true "},
		{name: "one that nobody suspects runs", do: func() { e.Ran(now, 5) }, want: "1:1:false 3:2:true "},
		{name: "others suspect what has run here", do: func() { e.Follow(now, []units.Fingerprint{5, 6}) }, want: "1:1:false 3:2:true 4:5:true "},
		{name: "what others suspect runs here", do: func() { e.Ran(now, 6) }, want: "1:1:false 3:2:true 4:5:true 5:6:true "},
		{name: "the first is still suspected here", do: func() { e.Follow(now, nil); e.Ran(now, 1) }, want: "3:2:true 4:5:true 5:6:true 6:1:true "},
		{name: "what has run here is quarantined", do: func() { e.Recall(now, []units.Fingerprint{6, 9}) }, want: "3:2:true 4:5:true 6:1:true 7:6:true "},
		{name: "all is old", do: func() { now = now.Add(suspectFor) }, want: ""},
	}
	for _, step := range steps {
		if step.do != nil {
			step.do()
		}
		if got := numbers(step.after); got != step.want {
			t.Errorf("%s: got %q, want %q", step.name, got, step.want)
		}
	}
}

// Guards against an entry's memory that grows with what it sees.
func TestEvidenceIsBounded(t *testing.T) {
	e := &Evidence{}
	for n := range 10 * mostNews {
		e.Lose(began, Loss{Request: units.Fingerprint(n), Life: units.Life(n)})
	}
	if got := len(e.After(began, 0, 100*mostNews)); got != mostNews {
		t.Errorf("news: got %d, want %d", got, mostNews)
	}
	if got := len(e.After(began, 0, 7)); got != 7 {
		t.Errorf("news for one poll: got %d, want 7", got)
	}
}
