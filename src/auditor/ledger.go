package auditor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rosecroft/rosecroft/src/units"
)

// answered is the outcome of a call whose caller has the whole answer.
const answered = "answered"

// The causes for which an answer is late.
const (
	lateFirst = "first byte late"
	latePause = "pause too long"
)

// Ledger is what became of the calls of one route.
type Ledger struct {
	Route   string
	Service units.Service
	Calls   int
	// InTime is how many callers had the whole answer as soon as they want it.
	InTime int
	// Lost counts the others by their cause: why an answer was late, or how the call ended.
	Lost map[string]int
}

// causes lists what calls were lost by, the most frequent first.
func (l *Ledger) causes() string {
	names := slices.SortedFunc(maps.Keys(l.Lost), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.Lost[b], l.Lost[a]), cmp.Compare(a, b))
	})
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, fmt.Sprintf("%s %d", name, l.Lost[name]))
	}
	return strings.Join(texts, ", ")
}

// lostBy returns why a caller was not served in time, "" where it was.
func (c *Call) lostBy() string {
	switch {
	case c.Outcome != answered:
		return c.Outcome
	case c.Target > 0 && c.First > c.Target:
		return lateFirst
	case c.Gap > 0 && c.Pause > c.Gap:
		return latePause
	}
	return ""
}

type ledgerKey struct {
	route   string
	service units.Service
}

type ledgers map[ledgerKey]*Ledger

func (l ledgers) take(c *Call) {
	key := ledgerKey{
		route:   c.Route,
		service: c.Service,
	}
	ledger := l[key]
	if ledger == nil {
		ledger = &Ledger{
			Route:   c.Route,
			Service: c.Service,
			Lost:    make(map[string]int),
		}
		l[key] = ledger
	}
	ledger.Calls++
	if cause := c.lostBy(); cause != "" {
		ledger.Lost[cause]++
		return
	}
	ledger.InTime++
}

// sorted returns the ledgers, the ones that lost most calls first.
func (l ledgers) sorted() []Ledger {
	var all []Ledger
	for _, ledger := range l {
		all = append(all, *ledger)
	}
	slices.SortFunc(all, func(a, b Ledger) int {
		return cmp.Or(cmp.Compare(b.Calls-b.InTime, a.Calls-a.InTime), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Service, b.Service))
	})
	return all
}
