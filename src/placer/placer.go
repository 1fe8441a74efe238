package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/ejector"
	"github.com/rosecroft/rosecroft/src/rationer"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
	"github.com/rosecroft/rosecroft/src/withholder"
)

const (
	// loadExpiry is how long a reported load counts. Each upstream sends a few answers
	// per second, so several reports arrive within it.
	loadExpiry = 2 * time.Second
	// remotePenalty is added to the score of an upstream in another data centre: enough to
	// decide among equals, but less than one call on ten slots.
	remotePenalty = 0.05
	// coldPenalty is added to the score of an upstream that has just started.
	coldPenalty = 0.3
	// connectPenalty is added to the score of an upstream without an idle connection:
	// connection setup takes the upstream's time and delays the caller.
	connectPenalty = 0.2
	// ownerCount is how many upstreams own a prompt prefix.
	ownerCount = 2
	// secondaryMissRatio is the fraction of a prompt prefix that its second owner is
	// assumed not to have cached.
	secondaryMissRatio = 0.3
	// sampleSize is how many random upstreams are compared in addition to the owners. With
	// stale loads, two are much better than one, and with more than a few all entries
	// choose the same upstream.
	sampleSize = 4
	// maxConnected is how many upstreams with an idle connection from this entry are
	// compared in addition. Of a hundred upstreams, a random sample hardly ever includes
	// the few that one entry of hundreds is connected to.
	maxConnected = 2
	// fullPrefillTokens is how many queued prompt tokens add as much to a score as all
	// slots of an upstream in use: a tenth of a second of prefill.
	fullPrefillTokens = 8000
	// defaultPrefillTime is the prefill time of one token while this entry has not measured it.
	defaultPrefillTime = 12 * time.Microsecond
	// maxWaitFactor is how many times its latency target a call may be expected to wait for
	// its first byte before it is refused: the estimate of the wait is rough.
	maxWaitFactor = 1.6
	// minLoadAge is the age of other entries' loads right after a response with them: about the time
	// between two polls.
	minLoadAge = 100 * time.Millisecond
	// peerLoadExpiry is how long the polled load of other entries counts: several polls.
	peerLoadExpiry = time.Second
	// longPromptRatio is the fraction of a stream's longest allowed pause above which the
	// prefill of a prompt counts as long. separationWeight is the weight in a score of the
	// upstream's distance from the end of the common order that a call prefers.
	longPromptRatio  = 0.75
	separationWeight = 1.0
	// fullPenalty is added to the score of an upstream without a free slot: a call there
	// waits for another one to end.
	fullPenalty = 1.0
	// relayPenalty is added to the score of an upstream that calls reach only through another entry.
	relayPenalty = 0.1
	// maxJitter bounds the random part of a score, which spreads calls that arrive together
	// over upstreams with nearly equal scores.
	maxJitter = 0.04
	// answerTTL is how long after an answer an upstream that control has lost contact with
	// still counts as reachable from this entry.
	answerTTL = 1500 * time.Millisecond
	// slowdownExponent weakens the influence of an upstream's slowdown on its score. With an
	// exponent of 1, all entries choose the few fastest upstreams by loads that are some tenths of
	// a second old, and these are overloaded.
	slowdownExponent = 0.5
	// defaultSlots is used for upstreams that report no number of slots.
	defaultSlots = 8
)

// Fleet holds the upstreams of each service; it is immutable once passed on.
type Fleet map[units.Service][]*Candidate

// Candidate is one upstream that takes calls.
type Candidate struct {
	*tracker.Upstream
	// Cold is set while the upstream has just started and is slow.
	Cold bool
	// Silent is set while control receives no heartbeats from the upstream.
	Silent bool
	// TerminatesAt is the expected time at which a leaving upstream terminates.
	TerminatesAt  time.Time
	stats         *stats
	hash          Hash
	incarnationID units.IncarnationID
	// position is the upstream's place, from 0 to 1, in an order that all entries compute
	// alike.
	position float64
}

// Placer chooses among the candidates of a fleet. It is safe for concurrent use; its
// fields are set before the first call.
type Placer struct {
	DataCentre units.DataCentre
	Now        func() time.Time
	// Fleet returns the current upstreams.
	Fleet func() Fleet
	// Leaving returns the upstreams that take no more calls but still hold their cached
	// prefixes; it may be nil.
	Leaving func() Fleet
	// Split returns how a service's calls are divided during a roll-out, and false where no
	// roll-out is running; it may be nil.
	Split func(service units.Service) (Split, bool)
	// PrefillTime returns the prefill time of one token at a service's upstreams at their usual
	// speed, 0 where it is unknown; it may be nil.
	PrefillTime func(service units.Service) time.Duration
	// MaxInFlight returns how many concurrent calls this entry may have at an upstream.
	MaxInFlight func(upstream *tracker.Upstream) int
	// Gate keeps calls within the rates that upstreams accept; it may be nil.
	Gate Gate
	// Withholder tells which upstreams have asked this entry for no calls; it may be nil.
	Withholder Withholder
	// Rationer spreads calls over upstreams that fall over when they reject calls; it may be nil.
	// CallTime then returns how long a call of a service takes, 0 if unknown, and Entries the number
	// of entries.
	Rationer Rationer
	CallTime func(service units.Service) time.Duration
	Entries  func() int
	// IsRelayed reports whether calls to an upstream go through another entry; it may be nil.
	IsRelayed func(upstream *tracker.Upstream, id units.IncarnationID) bool
	// IsUnreached reports whether this entry may be unable to connect to an upstream; it may be nil.
	IsUnreached func(upstream *tracker.Upstream, id units.IncarnationID) bool
	// MayHaveChanged reports whether an upstream may run another software version than it is known for; it may
	// be nil.
	MayHaveChanged func(now time.Time, u *tracker.Upstream, id units.IncarnationID) bool
	// Deferral lets calls that can no longer be on time yield to calls that can.
	Deferral bool
	// OnRefused is called with each call that is refused because of its expected wait; it may be nil. It is
	// only called with Deferral.
	OnRefused func(call *dispatcher.Call, wait time.Duration)
	// Random is the source of randomness; nil selects the process's own source.
	Random Random

	peerLoads    atomic.Pointer[PeerLoads]
	restrictions atomic.Pointer[Restrictions]

	mu                 sync.Mutex
	statsByKey         map[ejector.Key]*stats
	statsByIncarnation map[units.IncarnationID]*stats
	ejector            ejector.Ejector
	ejectedUntil       map[ejector.Key]time.Time
}

// Gate admits calls to upstreams that limit their rate of calls.
type Gate interface {
	// Closed returns the upstreams that may not receive a call now.
	Closed(now time.Time) map[units.IncarnationID]bool
	// RecordDemand records that a call was withheld from an upstream at its limit.
	RecordDemand(id units.IncarnationID)
	// Admit admits one call to an upstream, or returns false where it is at its limit.
	Admit(now time.Time, id units.IncarnationID) bool
}

// Withholder tells which upstreams have asked this entry for no calls.
type Withholder interface {
	// StateOf returns whether an upstream may receive a call now.
	StateOf(now time.Time, id units.IncarnationID) withholder.State
	// BackoffLeft returns how much of an upstream's back-off is left, 0 for none.
	BackoffLeft(now time.Time, id units.IncarnationID) time.Duration
}

// Rationer spreads calls over the upstreams of brittle services.
type Rationer interface {
	// Brittle reports whether a service's upstreams fall over when they reject calls.
	Brittle(now time.Time, service units.Service) (maxRejections float64, brittle bool)
	// Select returns the indices of the upstreams that a call may go to now.
	Select(now time.Time, service units.Service, upstreams []rationer.Upstream, load rationer.Load) []int
}

// Random is the placer's source of randomness; it must be safe for concurrent use.
type Random interface {
	Float64() float64
	IntN(n int) int
}

// processRandom is the process's own source of randomness.
type processRandom struct{}

// Float64 returns a number in [0, 1).
func (processRandom) Float64() float64 { return rand.Float64() }

// IntN returns a number in [0, n).
func (processRandom) IntN(n int) int { return rand.IntN(n) }

func (p *Placer) random() Random {
	if p.Random != nil {
		return p.Random
	}
	return processRandom{}
}

func keyOf(u *tracker.Upstream) ejector.Key {
	return ejector.Key{
		Service:     u.Service,
		Upstream:    u.Name,
		Incarnation: u.Incarnation,
	}
}

// NewCandidate returns an upstream as a candidate, with the statistics that this entry holds
// of it.
func (p *Placer) NewCandidate(u *tracker.Upstream, cold, silent bool) *Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.statsByKey == nil {
		p.statsByKey = make(map[ejector.Key]*stats)
		p.statsByIncarnation = make(map[units.IncarnationID]*stats)
	}
	incarnationID := units.NewIncarnationID(u.Name, u.Incarnation)
	s := p.statsByKey[keyOf(u)]
	if s == nil {
		s = &stats{}
		p.statsByKey[keyOf(u)] = s
		p.statsByIncarnation[incarnationID] = s
	}
	hash := HashOf(u.Name)
	return &Candidate{
		Upstream:      u,
		Cold:          cold,
		Silent:        silent,
		stats:         s,
		hash:          hash,
		incarnationID: incarnationID,
		position:      positionOf(hash),
	}
}

// Retain drops the statistics of all upstreams that are in none of the fleets.
func (p *Placer) Retain(fleets ...Fleet) {
	kept := make(map[ejector.Key]bool)
	for _, fleet := range fleets {
		for _, candidates := range fleet {
			for _, c := range candidates {
				kept[keyOf(c.Upstream)] = true
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.statsByKey {
		if !kept[key] {
			delete(p.statsByKey, key)
			delete(p.statsByIncarnation, units.NewIncarnationID(key.Upstream, key.Incarnation))
			delete(p.ejectedUntil, key)
		}
	}
}

// Pick returns the upstream for the next attempt, or nil if there is none.
func (p *Placer) Pick(call *dispatcher.Call, tried []units.Upstream) *tracker.Upstream {
	return p.admitted(func(now time.Time) *Candidate {
		assigned, fallback := p.versionCandidates(call.Service, len(tried) == 0)
		candidates := p.eligible(now, assigned, tried)
		if len(candidates) == 0 {
			candidates = p.eligible(now, fallback, tried)
		}
		if certain := p.certain(now, call, candidates); len(certain) > 0 {
			candidates = certain
		}
		attempt := furtherAttempt
		if len(tried) == 0 {
			attempt = firstAttempt
		}
		return p.best(now, call, candidates, attempt)
	})
}

// PickRelease returns the upstream of one software version for the next attempt of a stream that began at it, or
// nil if there is none; gone reports that only upstreams of other versions take calls.
func (p *Placer) PickRelease(call *dispatcher.Call, release units.Release, tried []units.Upstream) (upstream *tracker.Upstream, gone bool) {
	same, gone := p.releaseCandidates(call.Service, release)
	return p.pickResumption(call, same, tried), gone
}

// PickAgain is PickRelease among those upstreams that have run the call.
func (p *Placer) PickAgain(call *dispatcher.Call, release units.Release, ran, tried []units.Upstream) (upstream *tracker.Upstream, gone bool) {
	same, gone := p.releaseCandidates(call.Service, release)
	again := slices.DeleteFunc(same, func(c *Candidate) bool { return !slices.Contains(ran, c.Name) })
	return p.pickResumption(call, again, tried), gone
}

// pickResumption returns the candidate for the next attempt of a stream that has begun, or nil if there is none.
func (p *Placer) pickResumption(call *dispatcher.Call, candidates []*Candidate, tried []units.Upstream) *tracker.Upstream {
	if len(candidates) == 0 {
		return nil
	}
	return p.admitted(func(now time.Time) *Candidate {
		// An upstream that has not been heard of may have started again at another version.
		heard := slices.DeleteFunc(p.eligible(now, candidates, tried), func(c *Candidate) bool {
			return c.Silent && !c.hasAnsweredRecently(now)
		})
		// The caller has part of the answer: it is too late to refuse the rest.
		return p.best(now, call, p.certain(now, call, heard), resumption)
	})
}

// certain returns the candidates that are certain to run the software version that they are known for, as far as this
// entry can tell; for a call that goes on nowhere else all are.
func (p *Placer) certain(now time.Time, call *dispatcher.Call, candidates []*Candidate) []*Candidate {
	if !call.Stream || !call.Repeatable || p.MayHaveChanged == nil {
		return candidates
	}
	certain := make([]*Candidate, 0, len(candidates))
	for _, c := range candidates {
		// An entry that is asked to carry the attempt refuses it if it is not certain itself.
		if p.isRelayed(c) || !p.MayHaveChanged(now, c.Upstream, c.incarnationID) {
			certain = append(certain, c)
		}
	}
	return certain
}

// admitted returns the first chosen upstream that the gate admits, nil if none is chosen.
func (p *Placer) admitted(choose func(now time.Time) *Candidate) *tracker.Upstream {
	now := p.Now()
	for {
		c := choose(now)
		if c == nil {
			return nil
		}
		// Another call may have used up the limit since the candidates were selected.
		if p.Gate == nil || p.Gate.Admit(now, c.incarnationID) {
			return c.Upstream
		}
	}
}

// isLongPrompt reports whether the prefill of a call's prompt makes other streams at the
// upstream pause for too long: an upstream prefills between the decode steps of its streams.
func isLongPrompt(call *dispatcher.Call, prefillTime time.Duration) bool {
	return call.MaxEventGap > 0 && time.Duration(call.UncachedTokens())*prefillTime > time.Duration(longPromptRatio*float64(call.MaxEventGap))
}

// separation returns the distance, from 0 to 1, of an upstream from the end of the common
// order that a call prefers.
//
// The prefill of one prompt in fifty takes as long as a stream may pause. Placed by load
// alone, such a prompt goes to an upstream with five streams and makes each of them late,
// and other entries' calls there are known too late to avoid them. So long prompts prefer
// one end of an order that all entries compute alike, and all other calls the other end: few
// streams run where prompts are long, at any load and without a message. Calls without a
// limit on pauses are spread evenly.
func (c *Candidate) separation(call *dispatcher.Call, long bool) float64 {
	switch {
	case call.MaxEventGap == 0:
		return 0
	case long:
		return 1 - c.position
	}
	return c.position
}

// positionMix is odd and its bits are spread, so that similar names are far apart in the
// order.
const positionMix = 0x9e3779b97f4a7c15

func positionOf(hash Hash) float64 {
	const bits = 53
	return float64(uint64(hash)*positionMix>>(64-bits)) / (1 << bits)
}

// score returns the expected wait for a call at an upstream, as a utilization of its slots:
// calls is the number of calls there, prefill the number of prompt tokens queued there, the
// call's own included. The lowest score wins.
func (p *Placer) score(c *Candidate, calls, prefill int64) float64 {
	slots := c.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	utilization := float64(calls)/float64(slots) + float64(prefill)/fullPrefillTokens
	score := math.Pow(c.slowdown(), slowdownExponent)*p.weightedUtilization(c, utilization) + maxJitter*p.random().Float64()
	if calls >= int64(slots) {
		score += fullPenalty
	}
	if c.DataCentre != p.DataCentre {
		score += remotePenalty
	}
	if c.Cold {
		score += coldPenalty
	}
	switch {
	case p.isRelayed(c):
		score += relayPenalty
	case c.Local.IdleConnections.Load() <= 0:
		score += connectPenalty
	}
	return score
}

// withIdleConnection returns at most maxConnected candidates that this entry has an idle
// connection to, starting at an index of the list.
func withIdleConnection(candidates []*Candidate, start int) []*Candidate {
	var found []*Candidate
	for i := range candidates {
		c := candidates[(start+i)%len(candidates)]
		if c.Local.IdleConnections.Load() <= 0 {
			continue
		}
		if found = append(found, c); len(found) == maxConnected {
			break
		}
	}
	return found
}

// ownersOf returns the upstreams that own a prompt prefix, the one with the highest rank
// first.
func ownersOf(prefix uint64, candidates []*Candidate) []*Candidate {
	var best [ownerCount]*Candidate
	var ranks [ownerCount]uint64
	for _, c := range candidates {
		r := ownerRank(prefix, c.hash)
		switch {
		case best[0] == nil || r > ranks[0]:
			best[0], best[1] = c, best[0]
			ranks[0], ranks[1] = r, ranks[0]
		case best[1] == nil || r > ranks[1]:
			best[1] = c
			ranks[1] = r
		}
	}
	if best[1] == nil {
		return best[:1]
	}
	return best[:]
}

// ownerRank is the rendezvous hash of a prompt prefix and an upstream, the same at every entry.
func ownerRank(prefix uint64, upstream Hash) uint64 {
	x := prefix ^ uint64(upstream)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// eligible returns the candidates to choose from: the healthy ones, where there are none those that the call passes
// over by their weight, and the suspect ones where there are none of these either. Those that were tried, are at the
// limit of calls, are closed by the gate or have asked for no calls are left out.
func (p *Placer) eligible(now time.Time, all []*Candidate, tried []units.Upstream) []*Candidate {
	healthy := make([]*Candidate, 0, len(all))
	var passedOver, suspect []*Candidate
	ejected, restrictions := p.ejectedAt(now), p.restrictionsAt(now)
	var closed map[units.IncarnationID]bool
	if p.Gate != nil {
		closed = p.Gate.Closed(now)
	}
	for _, c := range all {
		state := p.stateOf(now, c)
		if state.Withheld() {
			continue
		}
		if closed[c.incarnationID] {
			p.Gate.RecordDemand(c.incarnationID)
			continue
		}
		if slices.Contains(tried, c.Name) || int(c.Local.InFlight.Load()) >= p.MaxInFlight(c.Upstream) {
			continue
		}
		weight := restrictions.weightOf(c.incarnationID)
		if state == withholder.Recovering || len(ejected) > 0 && ejected[keyOf(c.Upstream)] || c.Silent && !c.hasAnsweredRecently(now) || p.isDown(c) ||
			weight <= 0 {
			suspect = append(suspect, c)
			continue
		}
		if p.isPassedOver(weight) {
			passedOver = append(passedOver, c)
			continue
		}
		healthy = append(healthy, c)
	}
	return firstOf(healthy, passedOver, suspect)
}

// firstOf returns the first list that is not empty.
func firstOf(lists ...[]*Candidate) []*Candidate {
	for _, list := range lists {
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// isDown reports whether this entry cannot connect to an upstream, and others are taken not to reach it either.
func (p *Placer) isDown(c *Candidate) bool {
	return p.IsUnreached != nil && p.IsUnreached(c.Upstream, c.incarnationID) && !p.isRelayed(c)
}

func (p *Placer) isRelayed(c *Candidate) bool {
	return p.IsRelayed != nil && p.IsRelayed(c.Upstream, c.incarnationID)
}

func (p *Placer) stateOf(now time.Time, c *Candidate) withholder.State {
	if p.Withholder == nil {
		return withholder.Accepting
	}
	return p.Withholder.StateOf(now, c.incarnationID)
}

// BackoffLeft returns how long all upstreams of a call's service that are not leaving want no calls
// from this entry, 0 where one of them accepts calls or there are none.
func (p *Placer) BackoffLeft(call *dispatcher.Call) time.Duration {
	now := p.Now()
	shortest := time.Duration(0)
	for _, c := range p.Fleet()[call.Service] {
		switch state := p.stateOf(now, c); {
		case state == withholder.Leaving:
		case state != withholder.BackingOff:
			return 0
		default:
			if left := p.Withholder.BackoffLeft(now, c.incarnationID); shortest == 0 || left < shortest {
				shortest = left
			}
		}
	}
	return shortest
}
