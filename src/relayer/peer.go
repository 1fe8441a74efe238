package relayer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// peerRetryDelay is how long a peer that did not answer an offer gets none, busyRetryDelay the
	// same for one that has too many relayed calls.
	peerRetryDelay = 500 * time.Millisecond
	busyRetryDelay = 100 * time.Millisecond
	// sessionIdleTimeout is how long an unused session is kept, and maxIdleSessions how many of one
	// peer are.
	sessionIdleTimeout = 5 * time.Second
	maxIdleSessions    = 8
)

// Peer is another entry that carries calls of this one.
type Peer struct {
	Name    units.Instance
	Address string
	// Partitioned are the services that the peer is partitioned from.
	Partitioned []units.Service
}

// peerState is what this entry knows of a peer by its own calls.
type peerState struct {
	inFlight int
	// avoidedUntil is until when the peer gets no offers.
	avoidedUntil time.Time
	idle         []idleSession
}

// idleSession is an open session without a call.
type idleSession struct {
	session *connector.Session
	since   time.Time
}

// SetPeers replaces the peers.
func (s *Sender) SetPeers(peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = peers
	for name, state := range s.states {
		known := slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name })
		if known || state.inFlight > 0 {
			continue
		}
		for _, i := range state.idle {
			i.session.Close()
		}
		delete(s.states, name)
	}
}

// HasPeer reports whether some peer may carry a call to a service now.
func (s *Sender) HasPeer(now time.Time, service units.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.peers, func(p Peer) bool { return s.mayCarry(now, p, service) })
}

func (s *Sender) mayCarry(now time.Time, p Peer, service units.Service) bool {
	return !slices.Contains(p.Partitioned, service) && !now.Before(s.state(p.Name).avoidedUntil)
}

// awaitsPeer reports whether there may soon be another peer that reaches a service: none is assigned, or some has lately
// not accepted an offer or a probe.
func (s *Sender) awaitsPeer(now time.Time, service units.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) == 0 || slices.ContainsFunc(s.peers, func(p Peer) bool {
		return !slices.Contains(p.Partitioned, service) && !s.mayCarry(now, p, service)
	})
}

func (s *Sender) state(name units.Instance) *peerState {
	state := s.states[name]
	if state == nil {
		if s.states == nil {
			s.states = make(map[units.Instance]*peerState)
		}
		state = &peerState{}
		s.states[name] = state
	}
	return state
}

// choose returns the peer with the fewest calls of this entry, any of them where several have, and
// counts one call more there; false if no peer may carry the call.
func (s *Sender) choose(now time.Time, service units.Service, tried []units.Instance) (Peer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best []Peer
	for _, p := range s.peers {
		if slices.Contains(tried, p.Name) || !s.mayCarry(now, p, service) {
			continue
		}
		if len(best) > 0 {
			calls, fewest := s.state(p.Name).inFlight, s.state(best[0].Name).inFlight
			if calls > fewest {
				continue
			}
			if calls < fewest {
				best = best[:0]
			}
		}
		best = append(best, p)
	}
	if len(best) == 0 {
		return Peer{}, false
	}
	chosen := best[rand.IntN(len(best))]
	s.state(chosen.Name).inFlight++
	return chosen, true
}

// release ends a call at a peer.
func (s *Sender) release(peer Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(peer.Name).inFlight--
}

// avoid keeps offers from a peer for some time.
func (s *Sender) avoid(now time.Time, peer Peer, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state(peer.Name).avoidedUntil = now.Add(wait)
}

// takeIdle returns the session with a peer that was used last, nil if none is open.
func (s *Sender) takeIdle(peer Peer) *connector.Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(peer.Name)
	for len(state.idle) > 0 {
		last := state.idle[len(state.idle)-1]
		state.idle = state.idle[:len(state.idle)-1]
		if last.session.IsOpen() && time.Since(last.since) < sessionIdleTimeout {
			return last.session
		}
		last.session.Close()
	}
	return nil
}

// putIdle keeps a session for the next call.
func (s *Sender) putIdle(peer Peer, session *connector.Session) {
	if !session.IsOpen() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(peer.Name)
	if len(state.idle) == maxIdleSessions {
		session.Close()
		return
	}
	state.idle = append(state.idle, idleSession{
		session: session,
		since:   time.Now(),
	})
	time.AfterFunc(sessionIdleTimeout, func() { s.closeIdle(peer.Name) })
}

// closeIdle closes the sessions with a peer that have not been used for sessionIdleTimeout.
func (s *Sender) closeIdle(name units.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[name]
	if state == nil {
		return
	}
	state.idle = slices.DeleteFunc(state.idle, func(i idleSession) bool {
		expired := time.Since(i.since) >= sessionIdleTimeout
		if expired {
			i.session.Close()
		}
		return expired
	})
}
