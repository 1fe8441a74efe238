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

// startTime is when the tests start.
var startTime = time.Unix(1000, 0)

// testEvent is one loss or run of a request, at so many milliseconds after startTime.
type testEvent struct {
	at        int
	request   units.Fingerprint
	id        units.IncarnationID
	answering bool
	ran       bool
}

// dueRequests feeds events to a quarantiner and returns the requests that are due at the end,
// in order.
func dueRequests(q *Quarantiner, events []testEvent, end int) []units.Fingerprint {
	at := func(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }
	for _, e := range events {
		if e.ran {
			q.RecordRun(at(e.at), e.request)
			continue
		}
		q.RecordLoss(at(e.at), Loss{
			Request:       e.request,
			IncarnationID: e.id,
			Answering:     e.answering,
		})
	}
	var due []units.Fingerprint
	for _, verdict := range q.Due(at(end)) {
		due = append(due, verdict.Request)
	}
	slices.Sort(due)
	return due
}

// Guards against a request that keeps crashing upstreams undetected, and against quarantining a
// request that was only running beside the one that crashes them.
func TestDueRequests(t *testing.T) {
	const settled = 10_000
	cases := map[string]struct {
		events []testEvent
		// end is when the due requests are read, settled where it is 0.
		end  int
		want []units.Fingerprint
	}{
		"one loss":                          {events: []testEvent{{request: 1, id: 1}}},
		"two upstreams":                     {events: []testEvent{{request: 1, id: 1}, {at: 900, request: 1, id: 2}}, want: []units.Fingerprint{1}},
		"one upstream, several calls":       {events: []testEvent{{request: 1, id: 1}, {request: 1, id: 1}, {at: 5, request: 1, id: 1}}},
		"two upstreams, not yet settled":    {events: []testEvent{{request: 1, id: 1}, {at: 900, request: 1, id: 2}}, end: 950},
		"different requests at each":        {events: []testEvent{{request: 1, id: 1}, {request: 2, id: 2}, {request: 3, id: 3}}},
		"ran between the losses":            {events: []testEvent{{request: 1, id: 1}, {at: 400, request: 1, ran: true}, {at: 900, request: 1, id: 2}}},
		"ran after the losses":              {events: []testEvent{{request: 1, id: 1}, {at: 900, request: 1, id: 2}, {at: 950, request: 1, ran: true}}},
		"ran before the losses":             {events: []testEvent{{request: 1, ran: true}, {at: 400, request: 1, id: 1}, {at: 900, request: 1, id: 2}}},
		"ran longer before than its TTL":    {events: []testEvent{{request: 1, ran: true}, {at: 70_000, request: 1, id: 1}, {at: 70_900, request: 1, id: 2}}, end: 80_000, want: []units.Fingerprint{1}},
		"losses minutes apart":              {events: []testEvent{{request: 1, id: 1}, {at: 300_000, request: 1, id: 2}}, end: 301_000, want: []units.Fingerprint{1}},
		"three losses while answering":      {events: []testEvent{{request: 1, id: 1, answering: true}, {request: 1, id: 2, answering: true}, {request: 1, id: 3, answering: true}}},
		"four losses while answering":       {events: []testEvent{{request: 1, id: 1, answering: true}, {request: 1, id: 2, answering: true}, {request: 1, id: 3, answering: true}, {request: 1, id: 4, answering: true}}, want: []units.Fingerprint{1}},
		"bystander at one of two crashes":   {events: []testEvent{{request: 1, id: 1}, {request: 2, id: 1}, {at: 900, request: 1, id: 2}}, want: []units.Fingerprint{1}},
		"bystander at two of three crashes": {events: []testEvent{{request: 1, id: 1}, {request: 2, id: 1}, {request: 1, id: 2}, {request: 2, id: 2}, {request: 1, id: 3}}, want: []units.Fingerprint{1}},
		"two fatal requests":                {events: []testEvent{{request: 1, id: 1}, {request: 2, id: 2}, {at: 900, request: 1, id: 3}, {at: 900, request: 2, id: 4}}, want: []units.Fingerprint{1, 2}},
		"bystander at every crash":          {events: []testEvent{{request: 1, id: 1}, {request: 2, id: 1}, {request: 1, id: 2}, {request: 2, id: 2}}, want: []units.Fingerprint{1, 2}},
		"bystander that was answering":      {events: []testEvent{{request: 1, id: 1}, {request: 2, id: 1, answering: true}, {request: 1, id: 2}, {request: 2, id: 2, answering: true}}, want: []units.Fingerprint{1}},
		"frequent request that has run":     {events: []testEvent{{request: 1, ran: true}, {request: 1, id: 1}, {request: 1, id: 2}, {request: 1, id: 3}, {request: 1, id: 4}}},
		"four upstreams at once":            {events: []testEvent{{request: 1, id: 1}, {request: 1, id: 2}, {request: 1, id: 3}, {request: 1, id: 4}}, want: []units.Fingerprint{1}},
		"one loss reported twice":           {events: []testEvent{{request: 1, id: 1}, {at: 20, request: 1, id: 1, answering: true}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := &Quarantiner{Threshold: FleetThreshold, SettleDelay: SettleDelay}
			end := c.end
			if end == 0 {
				end = settled
			}
			if got := dueRequests(q, c.events, end); !slices.Equal(got, c.want) {
				t.Errorf("due: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a request that crashes as many upstreams after its quarantine as before it.
func TestOneLossIsEnoughForARepeatedRequest(t *testing.T) {
	q := &Quarantiner{
		Threshold:      FleetThreshold,
		SettleDelay:    SettleDelay,
		WasQuarantined: func(request units.Fingerprint) bool { return request == 1 },
	}
	got := dueRequests(q, []testEvent{{request: 1, id: 1}, {request: 2, id: 2}}, 1000)
	if want := []units.Fingerprint{1}; !slices.Equal(got, want) {
		t.Errorf("due: got %v, want %v", got, want)
	}
}

// Guards against blaming calls for the crash of an upstream that a quarantined request has
// explained, where the reports of their losses arrive late.
func TestExplainedLossesAreNotCounted(t *testing.T) {
	q := &Quarantiner{Threshold: FleetThreshold, SettleDelay: SettleDelay}
	events := []testEvent{{request: 1, id: 1}, {request: 1, id: 2}, {request: 2, id: 1}}
	if got, want := dueRequests(q, events, 1000), []units.Fingerprint{1}; !slices.Equal(got, want) {
		t.Fatalf("due: got %v, want %v", got, want)
	}
	q.Drop(1)
	late := []testEvent{{at: 1100, request: 2, id: 2}, {at: 1100, request: 3, id: 1}, {at: 1100, request: 3, id: 2}}
	if got := dueRequests(q, late, 2000); len(got) > 0 {
		t.Errorf("due after late reports: got %v, want none", got)
	}
	if suspects, _ := q.Suspects(); len(suspects) > 0 {
		t.Errorf("suspects: got %v, want none", suspects)
	}
}

// Guards against memory that grows with the number of requests in a fleet that loses upstreams.
func TestSuspectsAreBounded(t *testing.T) {
	q := &Quarantiner{Threshold: FleetThreshold, SettleDelay: SettleDelay}
	for n := range 5 * maxSuspects {
		now := startTime.Add(time.Duration(n) * time.Millisecond)
		q.RecordLoss(now, Loss{Request: units.Fingerprint(n), IncarnationID: units.IncarnationID(n)})
		q.RecordRun(now, units.Fingerprint(n+1_000_000))
	}
	if got := len(q.suspects); got > maxSuspects {
		t.Errorf("suspects: got %d, want at most %d", got, maxSuspects)
	}
	if got := len(q.ran); got > maxRan {
		t.Errorf("requests that have run: got %d, want at most %d", got, maxRan)
	}
	if q.suspects[5*maxSuspects-1] == nil {
		t.Error("the newest suspect: got it evicted, want it kept")
	}
	q.Due(startTime.Add(2 * suspectTTL))
	if got := len(q.suspects) + len(q.ran); got > 0 {
		t.Errorf("kept after their TTL: got %d, want none", got)
	}
}

// Guards against a fatal request that crashes more upstreams than allowed before it is found,
// at any mix of calls beside it.
func TestFatalRequestIsFoundAmongOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		upstreams := rapid.IntRange(8, 40).Draw(t, "upstreams")
		beside := rapid.IntRange(0, 20).Draw(t, "calls beside it")
		q := &Quarantiner{Threshold: FleetThreshold, SettleDelay: SettleDelay}
		const fatal units.Fingerprint = 1
		next, id := fatal, units.IncarnationID(0)
		// retried are the calls whose upstream has crashed and that are sent to another one.
		var retried []units.Fingerprint
		for ends := 1; ends <= 3; ends++ {
			now := startTime.Add(time.Duration(ends) * time.Second)
			id++
			lost := []units.Fingerprint{fatal}
			for _, request := range retried {
				if random.IntN(upstreams) == 0 {
					lost = append(lost, request)
				} else {
					q.RecordRun(now, request)
				}
			}
			for range beside {
				next++
				lost = append(lost, next)
			}
			for _, request := range lost {
				q.RecordLoss(now, Loss{Request: request, IncarnationID: id, Answering: request != fatal && random.IntN(2) == 0})
			}
			retried = lost[1:]
			due := q.Due(now.Add(SettleDelay))
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

// Guards against a new leader that never receives losses which were reported to its
// predecessor, and against a request that stays suspected after it has run.
func TestEvidenceObservationsAfter(t *testing.T) {
	e := &Evidence{}
	now := startTime
	e.RecordLoss(now, Loss{Request: 1, IncarnationID: 1})
	e.RecordLoss(now, Loss{Request: 2, IncarnationID: 1})
	numbers := func(after Number) string {
		text := ""
		for _, n := range e.ObservationsAfter(now, after, 10) {
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
		{name: "all observations for a new leader", want: "1:1:false 2:2:false "},
		{name: "only new observations for a leader that has the first", after: 1, want: "2:2:false "},
		{name: "a suspect runs", do: func() { e.RecordRun(now, 2) }, want: "1:1:false 3:2:true "},
		{name: "it runs again", do: func() { e.RecordRun(now, 2) }, want: "1:1:false 3:2:true "},
		{name: "it is lost after it has run", do: func() { e.RecordLoss(now, Loss{Request: 2, IncarnationID: 3}) }, want: "1:1:false 3:2:true "},
		{name: "a request that is not suspected runs", do: func() { e.RecordRun(now, 5) }, want: "1:1:false 3:2:true "},
		{name: "other entries suspect a request that ran here", do: func() { e.SetSuspects(now, []units.Fingerprint{5, 6}) }, want: "1:1:false 3:2:true 4:5:true "},
		{name: "a suspect of other entries runs here", do: func() { e.RecordRun(now, 6) }, want: "1:1:false 3:2:true 4:5:true 5:6:true "},
		{name: "the first request is still suspected here and runs", do: func() { e.SetSuspects(now, nil); e.RecordRun(now, 1) }, want: "3:2:true 4:5:true 5:6:true 6:1:true "},
		{name: "a request that ran here is quarantined", do: func() { e.ReportRecentRuns(now, []units.Fingerprint{6, 9}) }, want: "3:2:true 4:5:true 6:1:true 7:6:true "},
		{name: "all observations have expired", do: func() { now = now.Add(suspectTTL) }, want: ""},
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

// Guards against evidence at an entry that grows without bound.
func TestEvidenceIsBounded(t *testing.T) {
	e := &Evidence{}
	for n := range 10 * maxObservations {
		e.RecordLoss(startTime, Loss{Request: units.Fingerprint(n), IncarnationID: units.IncarnationID(n)})
	}
	if got := len(e.ObservationsAfter(startTime, 0, 100*maxObservations)); got != maxObservations {
		t.Errorf("observations: got %d, want %d", got, maxObservations)
	}
	if got := len(e.ObservationsAfter(startTime, 0, 7)); got != 7 {
		t.Errorf("observations for one poll: got %d, want 7", got)
	}
}
