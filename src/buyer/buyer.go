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
	// targetUtilization is the fraction of the slots that may be used at the latency target.
	targetUtilization = 0.8
	// riseRatio and fallRatio bound the band in which the demand counts as unchanged.
	riseRatio = 1.1
	fallRatio = 0.7
)

// Buyer buys and releases instances; Options are set before the first Step.
type Buyer struct {
	Options Options

	leading       bool
	term          units.Term
	leadingSince  time.Time
	purchaseCount int
	listed        InstancesListed
	// proposed holds the latest state of each purchase: the one proposed to the log, or the
	// committed one.
	proposed    map[string]*messages.Purchase
	requestedAt map[string]time.Time
	refusals    map[offerKey]*refusal
	demands     map[units.Service]*demandState
}

type offerKey struct {
	dataCentre units.DataCentre
	class      units.MachineClass
	onDemand   bool
}

// refusal excludes an offer for a while.
type refusal struct {
	count int
	until time.Time
}

// demandState is a service's demand with its hysteresis.
type demandState struct {
	need     int
	lowSince time.Time
	// surplusSince is when an instance first was surplus.
	surplusSince time.Time
}

// Step takes one event and returns the actions to carry out, in order.
func (b *Buyer) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case LeadershipGained:
		b.startTerm(now, e.Term)
	case LeadershipLost:
		b.leading = false
	case InstancesListed:
		b.listed = e
	case LaunchAnswered:
		if b.leading {
			return b.handleAnswer(now, e)
		}
	case Ticked:
		if b.leading {
			return b.handleTick(now, e)
		}
	}
	return nil
}

func (b *Buyer) startTerm(now time.Time, term units.Term) {
	b.leading = true
	b.term = term
	b.leadingSince = now
	b.purchaseCount = 0
	b.listed = InstancesListed{}
	b.proposed = make(map[string]*messages.Purchase)
	b.requestedAt = make(map[string]time.Time)
	b.refusals = make(map[offerKey]*refusal)
	b.demands = make(map[units.Service]*demandState)
}

// handleAnswer proposes the purchase's next state after the platform's answer.
func (b *Buyer) handleAnswer(now time.Time, e LaunchAnswered) []Action {
	purchase := b.proposed[e.Token]
	if purchase == nil || purchase.GetState() != messages.PurchaseState_PURCHASE_STATE_PLANNED {
		return nil
	}
	if e.Instance == "" {
		b.recordRefusal(now, keyOf(purchase))
		return b.propose(now, purchase, messages.PurchaseState_PURCHASE_STATE_REFUSED, "", e.Reason)
	}
	delete(b.refusals, keyOf(purchase))
	return b.propose(now, purchase, messages.PurchaseState_PURCHASE_STATE_LAUNCHED, e.Instance, purchase.GetReason())
}

// recordRefusal excludes an offer for longer with each refusal in a row; otherwise a data
// centre that is sold out would be asked on each tick and others never.
func (b *Buyer) recordRefusal(now time.Time, key offerKey) {
	r := b.refusals[key]
	if r == nil {
		r = &refusal{}
		b.refusals[key] = r
	}
	wait := b.Options.Backoff << min(r.count, 16)
	r.count++
	r.until = now.Add(min(wait, b.Options.MaxBackoff))
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

func (b *Buyer) handleTick(now time.Time, e Ticked) []Action {
	ledger := b.merge(e.Ledger)
	var actions []Action
	// Only committed states are carried out: an instance that is bought before its purchase is
	// committed can be unknown to the next leader, which would buy it again.
	for _, p := range e.Ledger {
		if b.proposed[p.GetToken()].GetState() == p.GetState() {
			actions = append(actions, b.advance(now, p, e.Upstreams)...)
		}
	}
	// A new leader has no reports of the platform or the entries yet; it would take everything
	// it does not know of for lost and buy it again.
	if now.Sub(b.leadingSince) < b.Options.WarmUp || b.listed.At.Before(b.leadingSince) {
		return actions
	}
	for _, demand := range e.Demands {
		actions = append(actions, b.plan(now, e, demand, ledger)...)
	}
	return actions
}

// merge returns the committed purchases together with those proposed to the log.
//
// A proposal counts from the moment it is made: if it counted only once it is committed, each
// tick until then would buy the same capacity again.
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

// advance returns the actions that bring one purchase to its next state.
func (b *Buyer) advance(now time.Time, p *messages.Purchase, upstreams []Upstream) []Action {
	due := now.Sub(b.requestedAt[p.GetToken()]) >= b.Options.RetryInterval
	since := now.Sub(time.UnixMilli(p.GetAtMs()))
	listed := b.isListed(p)
	switch p.GetState() {
	case messages.PurchaseState_PURCHASE_STATE_PLANNED:
		if due {
			b.requestedAt[p.GetToken()] = now
			return []Action{Launch{Purchase: p}}
		}
	case messages.PurchaseState_PURCHASE_STATE_REFUSED, messages.PurchaseState_PURCHASE_STATE_ENDED:
		return b.releaseOrphan(now, p)
	case messages.PurchaseState_PURCHASE_STATE_LAUNCHED:
		if !listed && b.listed.At.After(time.UnixMilli(p.GetAtMs())) {
			return b.propose(now, p, messages.PurchaseState_PURCHASE_STATE_ENDED, p.GetInstance(), "the platform lists it no more")
		}
		if since >= b.Options.AnnounceTimeout && upstreamOf(p, upstreams) == nil {
			return b.propose(now, p, messages.PurchaseState_PURCHASE_STATE_RELEASING, p.GetInstance(), "it never announced itself")
		}
	case messages.PurchaseState_PURCHASE_STATE_RELEASING:
		if !listed && b.listed.At.After(time.UnixMilli(p.GetAtMs())) {
			return b.propose(now, p, messages.PurchaseState_PURCHASE_STATE_ENDED, p.GetInstance(), "given back")
		}
		if due {
			b.requestedAt[p.GetToken()] = now
			return []Action{Release{Purchase: p}}
		}
	}
	return nil
}

// releaseOrphan releases an instance whose purchase has ended.
//
// A repeated request can reach the platform after the first was refused and be granted then.
// Without this the instance would be unknown to every leader, and paid for until someone reads
// the bill.
func (b *Buyer) releaseOrphan(now time.Time, p *messages.Purchase) []Action {
	for _, i := range b.listed.Instances {
		if i.Token != p.GetToken() || i.ReclaimNoticed || now.Sub(b.requestedAt[i.Token]) < b.Options.RetryInterval {
			continue
		}
		b.requestedAt[i.Token] = now
		orphan := proto.CloneOf(p)
		orphan.Instance = i.ID
		return []Action{Release{Purchase: orphan}}
	}
	return nil
}

func (b *Buyer) isListed(p *messages.Purchase) bool {
	return slices.ContainsFunc(b.listed.Instances, func(i Instance) bool { return i.Token == p.GetToken() })
}

func (b *Buyer) hasNotice(p *messages.Purchase) bool {
	return slices.ContainsFunc(b.listed.Instances, func(i Instance) bool { return i.Token == p.GetToken() && i.ReclaimNoticed })
}

func upstreamOf(p *messages.Purchase, upstreams []Upstream) *Upstream {
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
	b.purchaseCount++
	p := &messages.Purchase{
		Token:        fmt.Sprintf("rosecroft-%d-%d", b.term, b.purchaseCount),
		Service:      string(service),
		DataCentre:   string(offer.DataCentre),
		MachineClass: string(offer.Class),
		OnDemand:     offer.OnDemand,
	}
	return b.propose(now, p, messages.PurchaseState_PURCHASE_STATE_PLANNED, "", reason)
}
