package evaluator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// serviceStep is one evaluation of a service's upstreams.
type serviceStep struct {
	now     time.Time
	service units.Service
	ids     []units.IncarnationID
	all     map[units.IncarnationID]*upstream
	// limit is how many may be restricted, and restricted how many are.
	limit      int
	restricted int
	// windows holds each upstream's outcomes by window, and peers those of all that are in full use.
	windows map[units.IncarnationID][len(windowBuckets)]sample
	peers   [len(windowBuckets)]sample
	changes []Change
}

func (e *Evaluator) newServiceStep(now time.Time, service units.Service, ids []units.IncarnationID) *serviceStep {
	s := &serviceStep{
		now:     now,
		service: service,
		ids:     slices.Compact(slices.Sorted(slices.Values(ids))),
		all:     e.upstreams,
		windows: make(map[units.IncarnationID][len(windowBuckets)]sample, len(ids)),
	}
	s.limit = e.maxRestricted(service, len(s.ids))
	for _, id := range s.ids {
		u := s.all[id]
		windows := u.history.windows(now)
		for i := range windows {
			if u.phase == inUse {
				s.peers[i] = s.peers[i].plus(windows[i])
			}
		}
		s.windows[id] = windows
		if u.weight() < 1 {
			s.restricted++
		}
	}
	return s
}

// release returns the upstreams that were restricted first while more are restricted than may be: others have
// left the service, or its load has grown.
func (s *serviceStep) release() {
	for s.restricted > s.limit {
		first, found := units.IncarnationID(0), false
		for _, id := range s.ids {
			if s.all[id].weight() < 1 && (!found || s.all[id].since.Before(s.all[first].since)) {
				first, found = id, true
			}
		}
		s.startStep(first, len(returnSteps)-1, true)
	}
}

// proceed ends ejections, and continues or ends returns.
func (s *serviceStep) proceed() {
	for _, id := range s.ids {
		u := s.all[id]
		switch {
		case u.phase == ejected && !s.now.Before(u.until):
			s.startStep(id, 0, false)
		case u.phase == returning && s.failsAgain(id):
			s.startEjection(id, u.returned, s.longestPeers(), len(windowBuckets)-1)
		case u.phase == returning && s.isStepOver(u) && u.step+1 < len(returnSteps):
			s.startStep(id, u.step+1, false)
		case u.phase == returning && s.isStepOver(u):
			u.phase = inUse
			u.since = s.now
			s.report(id, Returned, u.returned, s.longestPeers(), len(windowBuckets)-1)
		}
	}
}

func (s *serviceStep) longestPeers() sample { return s.peers[len(windowBuckets)-1] }

func (s *serviceStep) isStepOver(u *upstream) bool {
	age := s.now.Sub(u.since)
	return age >= maxStepTime || age >= stepTime && u.responses >= returnSteps[u.step].responses
}

// failsAgain reports whether a returning upstream still fails more often than its peers.
func (s *serviceStep) failsAgain(id units.IncarnationID) bool {
	u := s.all[id]
	peers := s.longestPeers()
	if u.weight() == 1 && s.restricted >= s.limit || !isWorse(u.returned, peers) || tailProbability(u.returned, peers) > returnLevel {
		return false
	}
	evidence := u.history.witnesses(s.now, bucketCount).evidence(u.returned)
	return isWorse(evidence, peers) && tailProbability(evidence, peers) <= returnLevel && !s.isCommon(u.returned.rate(), len(windowBuckets)-1)
}

// isWorse reports whether an upstream's failure rate is so far above its peers' that callers notice.
func isWorse(own, peers sample) bool {
	return peers.calls > 0 && own.rate() >= max(minRateFactor*peers.rate(), peers.rate()+minRateExcess)
}

// candidate is an upstream whose failures are improbable in one window.
type candidate struct {
	id          units.IncarnationID
	window      int
	probability float64
}

// eject ejects the upstreams with improbable failures: as many as fail so often that it is improbable of any
// as many of the service's upstreams.
func (s *serviceStep) eject() {
	var candidates []candidate
	for _, id := range s.ids {
		if c := s.candidate(id); c.probability < 1 {
			candidates = append(candidates, c)
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.probability, b.probability) })
	count := 0
	for k := 1; k <= min(len(candidates), maxGroup, s.limit-s.restricted); k++ {
		// A wrong group is as many wrong ejections.
		if float64(k)*groupProbability(len(s.ids), k, candidates[k-1].probability) <= ejectionLevel {
			count = k
		}
	}
	for _, c := range candidates[:count] {
		own := s.windows[c.id][c.window]
		s.startEjection(c.id, own, s.peersOf(c.id, c.window), c.window)
	}
}

// candidate returns the window in which an upstream's failures are the least probable.
func (s *serviceStep) candidate(id units.IncarnationID) candidate {
	least := candidate{
		id:          id,
		probability: 1,
	}
	if s.all[id].phase != inUse {
		return least
	}
	for window := range windowBuckets {
		// The least of several probabilities is less than any one of them by chance.
		if p := float64(len(windowBuckets)) * s.probability(id, window); p < least.probability {
			least.window, least.probability = window, p
		}
	}
	return least
}

// groupProbability bounds how probable it is that any group of a size, of all upstreams, has failures as
// improbable as given.
func groupProbability(upstreams, size int, probability float64) float64 {
	return math.Exp(logChoose(upstreams, size) + float64(size)*math.Log(probability))
}

// peersOf returns the outcomes of the other upstreams in full use.
func (s *serviceStep) peersOf(id units.IncarnationID, window int) sample {
	own := s.windows[id][window]
	return sample{
		calls:    s.peers[window].calls - own.calls,
		failures: s.peers[window].failures - own.failures,
	}
}

// probability returns how probable an upstream's failures in a window are at its peers' rate, 1 where they
// are no evidence against it.
func (s *serviceStep) probability(id units.IncarnationID, window int) float64 {
	own := s.windows[id][window]
	peers := s.peersOf(id, window)
	if !isWorse(own, peers) {
		return 1
	}
	probability := tailProbability(own, peers)
	if probability > maxGroupMember {
		return 1
	}
	evidence := s.all[id].history.witnesses(s.now, windowBuckets[window]).evidence(own)
	if !isWorse(evidence, peers) {
		return 1
	}
	probability = tailProbability(evidence, peers)
	if s.isCommon(own.rate(), window) {
		return 1
	}
	return probability
}

// isCommon reports whether most of a service's upstreams that were called fail about as often.
func (s *serviceStep) isCommon(rate float64, window int) bool {
	called, alike := 0, 0
	for _, id := range s.ids {
		own := s.windows[id][window]
		if own.calls == 0 {
			continue
		}
		called++
		if own.rate() >= alikeFactor*rate {
			alike++
		}
	}
	return 2*alike > called
}

func (s *serviceStep) startEjection(id units.IncarnationID, own, peers sample, window int) {
	u := s.all[id]
	if u.weight() == 1 {
		s.restricted++
	}
	if u.phase == inUse && s.now.Sub(u.since) > maxEjection {
		u.ejections = 0
	}
	duration := min(maxEjection, baseEjection<<min(u.ejections, 10))
	u.ejections++
	u.phase = ejected
	u.since = s.now
	u.until = s.now.Add(duration)
	s.report(id, Ejected, own, peers, window)
}

// startStep starts a step of an upstream's return.
func (s *serviceStep) startStep(id units.IncarnationID, step int, forced bool) {
	u := s.all[id]
	before := u.weight()
	if u.phase == ejected {
		u.returned = sample{}
		u.history = history{}
	}
	u.phase = returning
	u.step = step
	u.since = s.now
	u.responses = 0
	if before < 1 && u.weight() == 1 {
		s.restricted--
	}
	s.report(id, Returning, u.returned, s.longestPeers(), len(windowBuckets)-1)
	s.changes[len(s.changes)-1].Forced = forced
}

// report adds a change with its evidence.
func (s *serviceStep) report(id units.IncarnationID, kind Kind, own, peers sample, window int) {
	u := s.all[id]
	duration := time.Duration(0)
	if kind == Ejected {
		duration = u.until.Sub(u.since)
	}
	s.changes = append(s.changes, Change{
		Kind:         kind,
		ID:           id,
		Service:      s.service,
		Weight:       u.weight(),
		Duration:     duration,
		Ejections:    u.ejections,
		Calls:        own.calls,
		Failures:     own.failures,
		PeerCalls:    peers.calls,
		PeerFailures: peers.failures,
		Entries:      u.history.witnesses(s.now, windowBuckets[window]).failing,
	})
}
