package orderer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// Orderer decides on a leader's orders; Options are set before the first Step.
type Orderer struct {
	Options Options

	leading      bool
	term         units.Term
	leadingSince time.Time
	// pending are the orders whose effect is not yet announced.
	pending map[units.Upstream]*pending
	// fenced are the incarnations that have acknowledged this term.
	fenced      map[units.Upstream]units.Incarnation
	fenceSentAt map[units.Upstream]time.Time
	// nextLoad is when the weight store has transferred the bytes of earlier loads and the next
	// load may begin.
	nextLoad time.Time
}

// pending is an order whose effect is not yet announced.
type pending struct {
	order  *messages.Order
	loads  bool
	sentAt time.Time
	wait   time.Duration
}

// Step takes one event and returns the orders to send.
func (o *Orderer) Step(now time.Time, event Event) []Send {
	switch e := event.(type) {
	case LeadershipGained:
		o.startTerm(now, e.Term)
	case LeadershipLost:
		o.leading = false
	case OrderAnswered:
		o.handleAnswer(e)
	case Ticked:
		if o.leading {
			return o.handleTick(now, e)
		}
	}
	return nil
}

// PendingCount returns how many orders have no announced effect yet.
func (o *Orderer) PendingCount() int { return len(o.pending) }

// QuietUntil returns when orders that change an upstream may begin.
//
// An earlier leader that froze before it was voted out may still send until its lease has
// expired on its own clock, and an order may be in flight for one Timeout more. An upstream
// that ignores the fencing number would carry out both leaders' orders, in any order. The
// effects of the last one must also have been announced, or the floor and the weight store's
// limit would be computed from stale state.
func (o *Orderer) QuietUntil() time.Time {
	return o.leadingSince.Add(o.Options.Lease + o.Options.MaxClockDrift + o.Options.Timeout + o.Options.AnnounceDelay)
}

func (o *Orderer) startTerm(now time.Time, term units.Term) {
	o.leading = true
	o.term = term
	o.leadingSince = now
	o.pending = make(map[units.Upstream]*pending)
	o.fenced = make(map[units.Upstream]units.Incarnation)
	o.fenceSentAt = make(map[units.Upstream]time.Time)
	o.nextLoad = time.Time{}
}

func (o *Orderer) handleAnswer(e OrderAnswered) {
	if !o.leading || units.Term(e.Order.GetFencing()) != o.term {
		return
	}
	switch e.Result.GetOutcome() {
	case messages.OrderOutcome_ORDER_OUTCOME_DONE, messages.OrderOutcome_ORDER_OUTCOME_UNDER_WAY:
		o.fenced[e.Upstream] = units.Incarnation(e.Order.GetIncarnation())
	}
}

func (o *Orderer) handleTick(now time.Time, e Ticked) []Send {
	present := make(map[units.Upstream]*Upstream)
	byService := make(map[units.Service][]*Upstream)
	for i := range e.Upstreams {
		u := &e.Upstreams[i]
		present[u.Name] = u
		byService[u.Service] = append(byService[u.Service], u)
	}
	o.dropSettled(now, e.Services, present)
	loads := o.loads(now, e, present)
	var sends []Send
	for _, service := range e.Services {
		upstreams := byService[service.Name]
		slices.SortFunc(upstreams, func(a, b *Upstream) int { return strings.Compare(string(a.Name), string(b.Name)) })
		sends = append(sends, o.fence(now, service, upstreams)...)
		if now.Before(o.QuietUntil()) {
			continue
		}
		sends = append(sends, o.resend(now, service, upstreams)...)
		sends = append(sends, o.change(now, service, upstreams, loads)...)
	}
	return sends
}

// dropSettled removes the orders that have taken effect or whose upstream is gone.
func (o *Orderer) dropSettled(now time.Time, services []Service, present map[units.Upstream]*Upstream) {
	wanted := make(map[units.Service]*messages.Wanted)
	for _, service := range services {
		wanted[service.Name] = service.Wanted
	}
	for name, p := range o.pending {
		u := present[name]
		gone := u == nil || u.Incarnation != units.Incarnation(p.order.GetIncarnation())
		if gone || matches(u, p.order.GetWanted()) {
			delete(o.pending, name)
			continue
		}
		// An order that is no longer wanted is removed once it can no longer arrive; until then
		// its upstream may still go out of service.
		w := wanted[u.Service]
		unwanted := w == nil || orderID(u, w) != p.order.GetId()
		if unwanted && now.Sub(p.sentAt) >= o.Options.Timeout+o.Options.AnnounceDelay {
			delete(o.pending, name)
		}
	}
}

// budget is what the weight store still allows: the number of loads that may begin and its rate
// in bytes per second.
type budget struct {
	freeLoads      int
	bytesPerSecond int64
}

// loads returns how many loads may begin now, and the weight store's rate.
func (o *Orderer) loads(now time.Time, e Ticked, present map[units.Upstream]*Upstream) *budget {
	freeLoads := e.StoreLimits.MaxConcurrentLoads
	for _, u := range present {
		p := o.pending[u.Name]
		if u.Loading != "" || p != nil && p.loads {
			freeLoads--
		}
	}
	// How much an earlier leader's loads still take from the store is unknown; it is at most
	// one more load.
	if now.Before(o.QuietUntil()) && freeLoads < e.StoreLimits.MaxConcurrentLoads {
		o.nextLoad = now.Add(maxTransferTime(e))
	}
	if now.Before(o.nextLoad) {
		freeLoads = 0
	}
	return &budget{
		freeLoads:      freeLoads,
		bytesPerSecond: e.StoreLimits.BytesPerSecond,
	}
}

// fence raises the fencing number at each upstream that checks it, before any of a service's
// upstreams is changed: otherwise a late order of an earlier leader could take a second one out
// of service.
func (o *Orderer) fence(now time.Time, service Service, upstreams []*Upstream) []Send {
	if !slices.ContainsFunc(upstreams, func(u *Upstream) bool { return !matches(u, service.Wanted) }) {
		return nil
	}
	var sends []Send
	for _, u := range upstreams {
		if !u.ChecksFencing || o.isFenced(now, u) || now.Sub(o.fenceSentAt[u.Name]) < o.Options.ResendInterval {
			continue
		}
		o.fenceSentAt[u.Name] = now
		sends = append(sends, Send{
			Address: u.Address,
			Reason:  "fence",
			Order: &messages.Order{
				Id:          fmt.Sprintf("fence-%d", o.term),
				Fencing:     uint64(o.term),
				Upstream:    string(u.Name),
				Incarnation: uint64(u.Incarnation),
			},
		})
	}
	return sends
}

// isFenced reports whether orders of earlier leaders can no longer change an upstream.
func (o *Orderer) isFenced(now time.Time, u *Upstream) bool {
	if u.ChecksFencing {
		return u.Fencing >= o.term || o.fenced[u.Name] == u.Incarnation
	}
	return !now.Before(o.QuietUntil())
}

// resend repeats orders that show no effect after their wait.
func (o *Orderer) resend(now time.Time, service Service, upstreams []*Upstream) []Send {
	var sends []Send
	for _, u := range upstreams {
		p := o.pending[u.Name]
		if p == nil || u.Loading != "" || now.Sub(p.sentAt) < p.wait || orderID(u, service.Wanted) != p.order.GetId() {
			continue
		}
		p.sentAt = now
		p.wait = min(2*p.wait, o.Options.MaxResendInterval)
		sends = append(sends, Send{
			Address: u.Address,
			Order:   p.order,
			Reason:  "no effect so far",
		})
	}
	return sends
}

// change sends orders to the upstreams that are not as wanted, as far as the floor and the
// weight store allow.
func (o *Orderer) change(now time.Time, service Service, upstreams []*Upstream, store *budget) []Send {
	serving := 0
	for _, u := range upstreams {
		if o.isServing(now, service, u) {
			serving++
		}
	}
	var sends []Send
	for _, u := range upstreams {
		if !o.canChange(now, service, u) {
			continue
		}
		loads := u.Version != units.ModelVersion(service.Wanted.GetModelVersion()) || !hasAdapters(u, service.Wanted)
		if loads && store.freeLoads <= 0 {
			continue
		}
		// Each change takes its upstream out of service until it has loaded. Below the floor
		// the others could not meet the latency target.
		takesOut := o.isServing(now, service, u)
		if takesOut && serving-1 < service.MinServing {
			continue
		}
		if takesOut {
			serving--
		}
		if loads {
			o.reserve(now, service, store)
		}
		sends = append(sends, o.newOrder(now, service, u, loads))
	}
	return sends
}

func (o *Orderer) canChange(now time.Time, service Service, u *Upstream) bool {
	return u.Live && u.Loading == "" && o.pending[u.Name] == nil && o.isFenced(now, u) && !matches(u, service.Wanted)
}

// isServing reports whether an upstream is known to be in service.
func (o *Orderer) isServing(now time.Time, service Service, u *Upstream) bool {
	return u.Live && u.Loading == "" && o.pending[u.Name] == nil && o.isFenced(now, u) &&
		slices.Contains(service.Versions, u.Version)
}

// reserve takes a load from the weight store's budget.
func (o *Orderer) reserve(now time.Time, service Service, store *budget) {
	store.freeLoads--
	if store.bytesPerSecond <= 0 {
		return
	}
	o.nextLoad = now.Add(transferTime(service.Bytes, store.bytesPerSecond))
	if o.nextLoad.After(now) {
		store.freeLoads = 0
	}
}

// transferTime is how long the weight store takes for a load.
func transferTime(bytes, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

func maxTransferTime(e Ticked) time.Duration {
	longest := time.Duration(0)
	for _, service := range e.Services {
		longest = max(longest, transferTime(service.Bytes, e.StoreLimits.BytesPerSecond))
	}
	return longest
}

// newOrder returns an order for the wanted state and records it as pending.
func (o *Orderer) newOrder(now time.Time, service Service, u *Upstream, loads bool) Send {
	order := &messages.Order{
		Id:          orderID(u, service.Wanted),
		Fencing:     uint64(o.term),
		Upstream:    string(u.Name),
		Incarnation: uint64(u.Incarnation),
		Wanted:      service.Wanted,
	}
	o.pending[u.Name] = &pending{
		order:  order,
		loads:  loads,
		sentAt: now,
		wait:   o.Options.ResendInterval,
	}
	return Send{
		Address: u.Address,
		Order:   order,
		Reason:  fmt.Sprintf("announces version %q, wanted %q", u.Version, service.Wanted.GetModelVersion()),
	}
}

// orderID is the same each time that one wanted state is sent to one incarnation.
func orderID(u *Upstream, wanted *messages.Wanted) string {
	key := fmt.Sprint(u.Name, "/", u.Incarnation, "/", wanted.GetModel(), "/", wanted.GetModelVersion(), "/", wanted.GetAdapters(), "/", wanted.GetRole())
	return fmt.Sprintf("%016x", xxhash.Sum64String(key))
}

func matches(u *Upstream, wanted *messages.Wanted) bool {
	return u.Loading == "" && u.Version == units.ModelVersion(wanted.GetModelVersion()) &&
		hasAdapters(u, wanted) && (wanted.GetRole() == "" || u.Role == wanted.GetRole())
}

func hasAdapters(u *Upstream, wanted *messages.Wanted) bool {
	for _, adapter := range wanted.GetAdapters() {
		if !slices.Contains(u.Adapters, adapter) {
			return false
		}
	}
	return true
}
