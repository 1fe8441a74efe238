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

// Orderer gives a leader's orders; Options are set before the first Step.
type Orderer struct {
	Options Options

	leading bool
	term    units.Term
	ledAt   time.Time
	// given are the orders whose effect is not yet announced.
	given map[units.Upstream]*given
	// fenced are the incarnations that have acknowledged this term.
	fenced  map[units.Upstream]units.Incarnation
	fencing map[units.Upstream]time.Time
	// nextLoad is when the weight store has passed on what earlier loads took.
	nextLoad time.Time
}

// given is an order under way.
type given struct {
	order  *messages.Order
	loads  bool
	sentAt time.Time
	wait   time.Duration
}

// Step takes one event and returns the orders to send.
func (o *Orderer) Step(now time.Time, event Event) []Send {
	switch e := event.(type) {
	case Led:
		o.lead(now, e.Term)
	case Lost:
		o.leading = false
	case Answered:
		o.answer(e)
	case Ticked:
		if o.leading {
			return o.tick(now, e)
		}
	}
	return nil
}

// Given returns how many orders have not shown their effect.
func (o *Orderer) Given() int { return len(o.given) }

// QuietUntil is when orders that change an upstream may begin.
//
// An earlier leader that froze before it was voted out may still send until
// its lease has run out on its own clock, and an order may be under way for a
// timeout more. An upstream that ignores the fencing number would carry out
// both leaders' orders, in any order. What the last one did must also have been
// announced, or the floor and the weight store's limit would be counted wrongly.
func (o *Orderer) QuietUntil() time.Time {
	return o.ledAt.Add(o.Options.Lease + o.Options.Drift + o.Options.Timeout + o.Options.Observe)
}

func (o *Orderer) lead(now time.Time, term units.Term) {
	o.leading = true
	o.term = term
	o.ledAt = now
	o.given = make(map[units.Upstream]*given)
	o.fenced = make(map[units.Upstream]units.Incarnation)
	o.fencing = make(map[units.Upstream]time.Time)
	o.nextLoad = time.Time{}
}

func (o *Orderer) answer(e Answered) {
	if !o.leading || units.Term(e.Order.GetFencing()) != o.term {
		return
	}
	switch e.Result.GetOutcome() {
	case messages.OrderOutcome_ORDER_OUTCOME_DONE, messages.OrderOutcome_ORDER_OUTCOME_UNDER_WAY:
		o.fenced[e.Upstream] = units.Incarnation(e.Order.GetIncarnation())
	}
}

func (o *Orderer) tick(now time.Time, e Ticked) []Send {
	present := make(map[units.Upstream]*Upstream)
	byService := make(map[units.Service][]*Upstream)
	for i := range e.Upstreams {
		u := &e.Upstreams[i]
		present[u.Name] = u
		byService[u.Service] = append(byService[u.Service], u)
	}
	o.settle(now, e.Services, present)
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

// settle forgets the orders that have taken effect or whose upstream is gone.
func (o *Orderer) settle(now time.Time, services []Service, present map[units.Upstream]*Upstream) {
	wanted := make(map[units.Service]*messages.Wanted)
	for _, service := range services {
		wanted[service.Name] = service.Wanted
	}
	for name, g := range o.given {
		u := present[name]
		gone := u == nil || u.Incarnation != units.Incarnation(g.order.GetIncarnation())
		if gone || matches(u, g.order.GetWanted()) {
			delete(o.given, name)
			continue
		}
		// An order that is no longer wanted is forgotten once it can arrive no
		// more; until then its upstream may yet go out of service.
		w := wanted[u.Service]
		unwanted := w == nil || orderID(u, w) != g.order.GetId()
		if unwanted && now.Sub(g.sentAt) >= o.Options.Timeout+o.Options.Observe {
			delete(o.given, name)
		}
	}
}

// budget is what the weight store still allows.
type budget struct {
	free int
	rate int64
}

func (o *Orderer) loads(now time.Time, e Ticked, present map[units.Upstream]*Upstream) *budget {
	free := e.Store.LoadsAtOnce
	for _, u := range present {
		g := o.given[u.Name]
		if u.Loading != "" || g != nil && g.loads {
			free--
		}
	}
	// What an earlier leader's loads still take from the store is not known;
	// it is at most one more load's part.
	if now.Before(o.QuietUntil()) && free < e.Store.LoadsAtOnce {
		o.nextLoad = now.Add(longest(e))
	}
	if now.Before(o.nextLoad) {
		free = 0
	}
	return &budget{
		free: free,
		rate: e.Store.BytesPerSecond,
	}
}

// fence raises the fencing number at each upstream that checks it, before any
// of a service's upstreams is changed: an earlier leader's late order would
// else take a second one out of service.
func (o *Orderer) fence(now time.Time, service Service, upstreams []*Upstream) []Send {
	if !slices.ContainsFunc(upstreams, func(u *Upstream) bool { return !matches(u, service.Wanted) }) {
		return nil
	}
	var sends []Send
	for _, u := range upstreams {
		if !u.ChecksFencing || o.certain(now, u) || now.Sub(o.fencing[u.Name]) < o.Options.Resend {
			continue
		}
		o.fencing[u.Name] = now
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

// certain reports whether no earlier leader's order can change an upstream any more.
func (o *Orderer) certain(now time.Time, u *Upstream) bool {
	if u.ChecksFencing {
		return u.Fencing >= o.term || o.fenced[u.Name] == u.Incarnation
	}
	return !now.Before(o.QuietUntil())
}

// resend repeats orders that show no effect.
func (o *Orderer) resend(now time.Time, service Service, upstreams []*Upstream) []Send {
	var sends []Send
	for _, u := range upstreams {
		g := o.given[u.Name]
		if g == nil || u.Loading != "" || now.Sub(g.sentAt) < g.wait || orderID(u, service.Wanted) != g.order.GetId() {
			continue
		}
		g.sentAt = now
		g.wait = min(2*g.wait, o.Options.MostResend)
		sends = append(sends, Send{
			Address: u.Address,
			Order:   g.order,
			Reason:  "no effect so far",
		})
	}
	return sends
}

// change orders the upstreams that are not as wanted, as far as floor and store allow.
func (o *Orderer) change(now time.Time, service Service, upstreams []*Upstream, store *budget) []Send {
	serving := 0
	for _, u := range upstreams {
		if o.serves(now, service, u) {
			serving++
		}
	}
	var sends []Send
	for _, u := range upstreams {
		if !o.changeable(now, service, u) {
			continue
		}
		loads := u.Version != units.ModelVersion(service.Wanted.GetModelVersion()) || !sameAdapters(u, service.Wanted)
		if loads && store.free <= 0 {
			continue
		}
		// Each change takes its upstream out of service until it has loaded.
		// Below the floor the rest could not hold the latency target.
		takesOut := o.serves(now, service, u)
		if takesOut && serving-1 < service.Floor {
			continue
		}
		if takesOut {
			serving--
		}
		if loads {
			o.reserve(now, service, store)
		}
		sends = append(sends, o.give(now, service, u, loads))
	}
	return sends
}

func (o *Orderer) changeable(now time.Time, service Service, u *Upstream) bool {
	return u.Live && u.Loading == "" && o.given[u.Name] == nil && o.certain(now, u) && !matches(u, service.Wanted)
}

// serves reports whether an upstream is surely in service.
func (o *Orderer) serves(now time.Time, service Service, u *Upstream) bool {
	return u.Live && u.Loading == "" && o.given[u.Name] == nil && o.certain(now, u) &&
		slices.Contains(service.Versions, u.Version)
}

// reserve takes a load's part of the weight store's rate.
func (o *Orderer) reserve(now time.Time, service Service, store *budget) {
	store.free--
	if store.rate <= 0 {
		return
	}
	o.nextLoad = now.Add(passes(service.Bytes, store.rate))
	if o.nextLoad.After(now) {
		store.free = 0
	}
}

// passes is how long the weight store takes for a load.
func passes(bytes, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

func longest(e Ticked) time.Duration {
	most := time.Duration(0)
	for _, service := range e.Services {
		most = max(most, passes(service.Bytes, e.Store.BytesPerSecond))
	}
	return most
}

func (o *Orderer) give(now time.Time, service Service, u *Upstream, loads bool) Send {
	order := &messages.Order{
		Id:          orderID(u, service.Wanted),
		Fencing:     uint64(o.term),
		Upstream:    string(u.Name),
		Incarnation: uint64(u.Incarnation),
		Wanted:      service.Wanted,
	}
	o.given[u.Name] = &given{
		order:  order,
		loads:  loads,
		sentAt: now,
		wait:   o.Options.Resend,
	}
	return Send{
		Address: u.Address,
		Order:   order,
		Reason:  fmt.Sprintf("announces version %q, wanted %q", u.Version, service.Wanted.GetModelVersion()),
	}
}

// orderID is the same for every sending of one wanted state to one incarnation.
func orderID(u *Upstream, wanted *messages.Wanted) string {
	key := fmt.Sprint(u.Name, "/", u.Incarnation, "/", wanted.GetModel(), "/", wanted.GetModelVersion(), "/", wanted.GetAdapters(), "/", wanted.GetRole())
	return fmt.Sprintf("%016x", xxhash.Sum64String(key))
}

func matches(u *Upstream, wanted *messages.Wanted) bool {
	return u.Loading == "" && u.Version == units.ModelVersion(wanted.GetModelVersion()) &&
		sameAdapters(u, wanted) && (wanted.GetRole() == "" || u.Role == wanted.GetRole())
}

func sameAdapters(u *Upstream, wanted *messages.Wanted) bool {
	for _, adapter := range wanted.GetAdapters() {
		if !slices.Contains(u.Adapters, adapter) {
			return false
		}
	}
	return true
}
