package buyer

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// headroom is the part of the slots that may be used at the latency target.
	headroom = 0.8
	// riseBy and fallBy bound a band in which the demand counts as unchanged.
	riseBy = 1.1
	fallBy = 0.7
)

// Buyer buys and gives back; Options are set before the first Step.
type Buyer struct {
	Options Options

	leading bool
	term    units.Term
	ledAt   time.Time
	bought  int
	listed  Listed
	// proposed are the states on their way into the log.
	proposed map[string]*messages.Purchase
	askedAt  map[string]time.Time
	refusals map[offerKey]*refusal
	demands  map[units.Service]*held
}

type offerKey struct {
	dataCentre units.DataCentre
	class      units.MachineClass
	onDemand   bool
}

// refusal leaves an offer out for a while.
type refusal struct {
	count int
	until time.Time
}

// held is a service's demand with its hysteresis.
type held struct {
	need     int
	lowSince time.Time
	// surplusSince is when an instance first was too much.
	surplusSince time.Time
}

// Step takes one event and returns the actions to carry out, in order.
func (b *Buyer) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Led:
		b.lead(now, e.Term)
	case Lost:
		b.leading = false
	case Listed:
		b.listed = e
	case Answered:
		if b.leading {
			return b.answer(now, e)
		}
	case Ticked:
		if b.leading {
			return b.tick(now, e)
		}
	}
	return nil
}

func (b *Buyer) lead(now time.Time, term units.Term) {
	b.leading = true
	b.term = term
	b.ledAt = now
	b.bought = 0
	b.listed = Listed{}
	b.proposed = make(map[string]*messages.Purchase)
	b.askedAt = make(map[string]time.Time)
	b.refusals = make(map[offerKey]*refusal)
	b.demands = make(map[units.Service]*held)
}

// answer proposes what the platform's answer means for a purchase.
func (b *Buyer) answer(now time.Time, e Answered) []Action {
	known := b.proposed[e.Token]
	if known == nil || known.GetState() != messages.PurchaseState_PURCHASE_STATE_PLANNED {
		return nil
	}
	if e.Instance == "" {
		b.refuse(now, keyOf(known))
		return b.propose(now, known, messages.PurchaseState_PURCHASE_STATE_REFUSED, "", e.Reason)
	}
	delete(b.refusals, keyOf(known))
	return b.propose(now, known, messages.PurchaseState_PURCHASE_STATE_LAUNCHED, e.Instance, known.GetReason())
}

// refuse leaves an offer out for longer with each refusal in a row; else a data
// centre that is sold out would be asked on each tick and others never.
func (b *Buyer) refuse(now time.Time, key offerKey) {
	r := b.refusals[key]
	if r == nil {
		r = &refusal{}
		b.refusals[key] = r
	}
	wait := b.Options.Backoff << min(r.count, 16)
	r.count++
	r.until = now.Add(min(wait, b.Options.MostBackoff))
}

func (b *Buyer) propose(now time.Time, p *messages.Purchase, state messages.PurchaseState, instance, reason string) []Action {
	next := proto.CloneOf(p)
	next.State = state
	next.Instance = instance
	next.Reason = reason
	next.AtMs = now.UnixMilli()
	b.proposed[next.GetToken()] = next
	return []Action{Commit{Purchase: next}}
}

func (b *Buyer) tick(now time.Time, e Ticked) []Action {
	ledger := b.merge(e.Ledger)
	var actions []Action
	// Only what is committed is carried out: a purchase that is made before it is
	// committed can be forgotten by the next leader, who would buy it again.
	for _, p := range e.Ledger {
		if b.proposed[p.GetToken()].GetState() == p.GetState() {
			actions = append(actions, b.pursue(now, p, e.Upstreams)...)
		}
	}
	// A new leader has heard neither the platform nor the entries; it would take
	// all that it does not know of for lost and buy it again.
	if now.Sub(b.ledAt) < b.Options.Settle || b.listed.At.Before(b.ledAt) {
		return actions
	}
	for _, demand := range e.Demands {
		actions = append(actions, b.plan(now, e, demand, ledger)...)
	}
	return actions
}

// merge returns the committed purchases with what is on its way into the log.
//
// A proposal counts from the moment it is made: if it counted only once it is
// committed, each tick until then would buy the same capacity again.
func (b *Buyer) merge(committed []*messages.Purchase) []*messages.Purchase {
	seen := make(map[string]bool)
	var merged []*messages.Purchase
	for _, p := range committed {
		seen[p.GetToken()] = true
		if ahead := b.proposed[p.GetToken()]; ahead != nil && ahead.GetState() > p.GetState() {
			p = ahead
		} else {
			b.proposed[p.GetToken()] = p
		}
		merged = append(merged, p)
	}
	for token, p := range b.proposed {
		if seen[token] {
			continue
		}
		if p.GetState() >= messages.PurchaseState_PURCHASE_STATE_REFUSED {
			delete(b.proposed, token)
			continue
		}
		merged = append(merged, p)
	}
	slices.SortFunc(merged, func(x, y *messages.Purchase) int {
		if x.GetToken() < y.GetToken() {
			return -1
		}
		return 1
	})
	return merged
}

// pursue carries one purchase towards its end.
func (b *Buyer) pursue(now time.Time, p *messages.Purchase, upstreams []Upstream) []Action {
	due := now.Sub(b.askedAt[p.GetToken()]) >= b.Options.Retry
	since := now.Sub(time.UnixMilli(p.GetAtMs()))
	listed := b.isListed(p)
	switch p.GetState() {
	case messages.PurchaseState_PURCHASE_STATE_PLANNED:
		if due {
			b.askedAt[p.GetToken()] = now
			return []Action{Launch{Purchase: p}}
		}
	case messages.PurchaseState_PURCHASE_STATE_REFUSED, messages.PurchaseState_PURCHASE_STATE_ENDED:
		return b.releaseStray(now, p)
	case messages.PurchaseState_PURCHASE_STATE_LAUNCHED:
		if !listed && b.listed.At.After(time.UnixMilli(p.GetAtMs())) {
			return b.propose(now, p, messages.PurchaseState_PURCHASE_STATE_ENDED, p.GetInstance(), "the platform lists it no more")
		}
		if since >= b.Options.Start && announcedBy(p, upstreams) == nil {
			return b.propose(now, p, messages.PurchaseState_PURCHASE_STATE_RELEASING, p.GetInstance(), "it never announced itself")
		}
	case messages.PurchaseState_PURCHASE_STATE_RELEASING:
		if !listed && b.listed.At.After(time.UnixMilli(p.GetAtMs())) {
			return b.propose(now, p, messages.PurchaseState_PURCHASE_STATE_ENDED, p.GetInstance(), "given back")
		}
		if due {
			b.askedAt[p.GetToken()] = now
			return []Action{Release{Purchase: p}}
		}
	}
	return nil
}

// releaseStray gives back an instance whose purchase has ended.
//
// A repeated request can reach the platform after the first was refused and be
// granted then; without this nobody would know of its instance, and it would be
// paid for until someone reads the bill.
func (b *Buyer) releaseStray(now time.Time, p *messages.Purchase) []Action {
	for _, i := range b.listed.Instances {
		if i.Token != p.GetToken() || i.Noticed || now.Sub(b.askedAt[i.Token]) < b.Options.Retry {
			continue
		}
		b.askedAt[i.Token] = now
		stray := proto.CloneOf(p)
		stray.Instance = i.ID
		return []Action{Release{Purchase: stray}}
	}
	return nil
}

func (b *Buyer) isListed(p *messages.Purchase) bool {
	return slices.ContainsFunc(b.listed.Instances, func(i Instance) bool { return i.Token == p.GetToken() })
}

func (b *Buyer) noticed(p *messages.Purchase) bool {
	return slices.ContainsFunc(b.listed.Instances, func(i Instance) bool { return i.Token == p.GetToken() && i.Noticed })
}

func announcedBy(p *messages.Purchase, upstreams []Upstream) *Upstream {
	for i := range upstreams {
		if p.GetInstance() != "" && upstreams[i].Instance == p.GetInstance() {
			return &upstreams[i]
		}
	}
	return nil
}

func keyOf(p *messages.Purchase) offerKey {
	return offerKey{
		dataCentre: units.DataCentre(p.GetDataCentre()),
		class:      units.MachineClass(p.GetMachineClass()),
		onDemand:   p.GetOnDemand(),
	}
}

func (b *Buyer) buy(now time.Time, service units.Service, offer Offer, reason string) []Action {
	b.bought++
	p := &messages.Purchase{
		Token:        fmt.Sprintf("rosecroft-%d-%d", b.term, b.bought),
		Service:      string(service),
		DataCentre:   string(offer.DataCentre),
		MachineClass: string(offer.Class),
		OnDemand:     offer.OnDemand,
	}
	return b.propose(now, p, messages.PurchaseState_PURCHASE_STATE_PLANNED, "", reason)
}
