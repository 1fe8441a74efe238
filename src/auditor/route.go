package auditor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rosecroft/rosecroft/src/units"
)

// outcomeAnswered is the outcome of a call whose caller received the complete answer.
const outcomeAnswered = "answered"

// The causes of a late answer.
const (
	causeFirstByteLate = "first byte late"
	causePauseTooLong  = "pause too long"
)

// RouteSummary summarizes the outcomes of the calls of one route.
type RouteSummary struct {
	Route   string
	Service units.Service
	Calls   int
	// OnTime is the number of callers that received the complete answer within their latency
	// targets.
	OnTime int
	// Missed counts the other calls by cause: why the answer was late, or the outcome of the
	// call.
	Missed map[string]int
}

// missCauses lists the causes of missed calls with their counts, the most frequent first.
func (r *RouteSummary) missCauses() string {
	names := slices.SortedFunc(maps.Keys(r.Missed), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.Missed[b], r.Missed[a]), cmp.Compare(a, b))
	})
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, fmt.Sprintf("%s %d", name, r.Missed[name]))
	}
	return strings.Join(texts, ", ")
}

// missCause returns why a call was not answered in time, or "" if it was.
func (c *Call) missCause() string {
	switch {
	case c.Outcome != outcomeAnswered:
		return c.Outcome
	case c.FirstByteTarget > 0 && c.FirstByte > c.FirstByteTarget:
		return causeFirstByteLate
	case c.PauseTarget > 0 && c.LongestPause > c.PauseTarget:
		return causePauseTooLong
	}
	return ""
}

type routeKey struct {
	route   string
	service units.Service
}

type routeSummaries map[routeKey]*RouteSummary

func (r routeSummaries) addCall(c *Call) {
	key := routeKey{
		route:   c.Route,
		service: c.Service,
	}
	summary := r[key]
	if summary == nil {
		summary = &RouteSummary{
			Route:   c.Route,
			Service: c.Service,
			Missed:  make(map[string]int),
		}
		r[key] = summary
	}
	summary.Calls++
	if cause := c.missCause(); cause != "" {
		summary.Missed[cause]++
		return
	}
	summary.OnTime++
}

// sorted returns the summaries, those with the most missed calls first.
func (r routeSummaries) sorted() []RouteSummary {
	var all []RouteSummary
	for _, summary := range r {
		all = append(all, *summary)
	}
	slices.SortFunc(all, func(a, b RouteSummary) int {
		return cmp.Or(cmp.Compare(b.Calls-b.OnTime, a.Calls-a.OnTime), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Service, b.Service))
	})
	return all
}
