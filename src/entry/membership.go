package entry

import (
	"math/rand/v2"
	"time"

	"github.com/rosecroft/rosecroft/src/gossiper"
	"github.com/rosecroft/rosecroft/src/informer"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// upstreamSuspicionTimeout and upstreamExpiry span several announcements, so that a lost one
	// does no harm.
	upstreamSuspicionTimeout = 1500 * time.Millisecond
	upstreamExpiry           = 3 * time.Second
	// pauseThreshold is far above the delay of a tick on a loaded machine.
	pauseThreshold = time.Second

	gossipInterval       = 100 * time.Millisecond
	refreshInterval      = time.Second
	digestInterval       = time.Second
	gossipBytesPerSecond = 4096
	smallFleet           = 64
	keepersPerEntry      = 8
	relaysPerDataCentre  = 2
	probeCount           = 3
	// confirmTimeout bounds how long a leaving upstream waits until a second entry knows that it
	// leaves.
	confirmTimeout = 400 * time.Millisecond
)

// gossipReceived is another entry's message.
type gossipReceived struct {
	gossip *messages.Gossip
	reply  chan<- *messages.GossipResponse
}

// gossipEnded is the outcome of a message to another entry; the response is nil if there was
// none.
type gossipEnded struct {
	send     gossiper.Send
	response *messages.GossipResponse
	took     time.Duration
}

// viewChanged is a newer entry view.
type viewChanged struct {
	view *messages.EntryView
}

// directUpstreamsRequested asks for the upstreams that announce themselves to this entry, which
// the reporter reports to control.
type directUpstreamsRequested struct {
	reply chan<- []*messages.Rumour
}

func (gossipReceived) event()           {}
func (gossipEnded) event()              {}
func (viewChanged) event()              {}
func (directUpstreamsRequested) event() {}

// UnconfirmedError reports that no other entry knows yet that an upstream leaves.
type UnconfirmedError struct {
	Upstream units.Upstream
}

// Error includes the remedy.
func (e *UnconfirmedError) Error() string {
	return "no other entry has confirmed that " + string(e.Upstream) + " leaves; announce it to another entry too"
}

// pendingLeave is a leaving upstream that waits for the response to its announcement.
type pendingLeave struct {
	reply chan<- error
	until time.Time
}

func newInformer(settings *parser.Settings) *informer.Informer {
	return &informer.Informer{
		Tracker: &tracker.Tracker{
			SuspicionTimeout: upstreamSuspicionTimeout,
			Expiry:           upstreamExpiry,
			PauseThreshold:   pauseThreshold,
		},
		Gossiper: &gossiper.Gossiper{
			Options: gossiper.Options{
				ID:              settings.Name,
				DataCentre:      settings.DataCentre,
				RoundInterval:   gossipInterval,
				RefreshInterval: refreshInterval,
				DigestInterval:  digestInterval,
				BytesPerSecond:  gossipBytesPerSecond,
				SmallFleet:      smallFleet,
				Keepers:         keepersPerEntry,
				Relays:          relaysPerDataCentre,
				Probes:          probeCount,
			},
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	}
}

// stepInformer passes an event to the informer and carries out the outcome.
func (c *coordinator) stepInformer(e informer.Event) informer.Outcome {
	out := c.informer.Step(time.Now(), e)
	c.stale = c.stale || out.Changed
	c.publishIfDue(len(out.Left)+len(out.Suspected) > 0)
	for _, left := range out.Left {
		if c.onDeparture != nil {
			c.onDeparture(left.Upstream)
		}
	}
	for _, send := range out.Sends {
		c.gossipSender.enqueue(send)
	}
	for _, name := range out.Confirmed {
		c.endLeaves(name, nil)
	}
	c.logMembership(out)
	return out
}

// handleAnnouncement answers an upstream. A leaving upstream waits until another entry knows that
// it leaves, so that its leaving mark survives the loss of this entry.
func (c *coordinator) handleAnnouncement(e announcementReceived) {
	refused := c.stepInformer(informer.Announced{Announcement: e.announcement}).Refused
	isAlone := len(c.view.Load().GetMembers()) < 2
	if refused != nil || !e.announcement.GetLeaving() || isAlone {
		e.reply <- refused
		return
	}
	name := units.Upstream(e.announcement.GetUpstream())
	if c.confirmedLeaves[name] == units.Incarnation(e.announcement.GetIncarnation()) {
		e.reply <- nil
		return
	}
	c.pendingLeaves[name] = append(c.pendingLeaves[name], pendingLeave{
		reply: e.reply,
		until: time.Now().Add(confirmTimeout),
	})
}

func (c *coordinator) endLeaves(name units.Upstream, err error) {
	if known := c.tracker.Upstream(name); known != nil && err == nil {
		c.confirmedLeaves[name] = known.Incarnation
	}
	for _, waiting := range c.pendingLeaves[name] {
		waiting.reply <- err
	}
	delete(c.pendingLeaves, name)
}

func (c *coordinator) tickMembership() {
	c.stepInformer(informer.Ticked{})
	now := time.Now()
	for name, waiting := range c.pendingLeaves {
		if now.After(waiting[0].until) {
			c.endLeaves(name, &UnconfirmedError{Upstream: name})
		}
	}
	for name := range c.confirmedLeaves {
		if c.tracker.Upstream(name) == nil {
			delete(c.confirmedLeaves, name)
		}
	}
}

func (c *coordinator) handleMembership(e event) {
	switch e := e.(type) {
	case announcementReceived:
		c.handleAnnouncement(e)
	case gossipReceived:
		e.reply <- c.stepInformer(informer.MessageReceived{Gossip: e.gossip}).Response
	case gossipEnded:
		c.handleGossipEnded(e)
	case viewChanged:
		c.stepInformer(informer.ViewChanged{View: e.view})
		if c.onView != nil {
			c.onView(e.view)
		}
	case directUpstreamsRequested:
		e.reply <- c.directUpstreams()
	}
}

func (c *coordinator) handleGossipEnded(e gossipEnded) {
	if e.response == nil {
		c.stepInformer(informer.SendFailed{
			To:       e.send.To,
			Gossip:   e.send.Gossip,
			Duration: e.took,
		})
		return
	}
	c.stepInformer(informer.ResponseReceived{
		To:       e.send.To,
		Gossip:   e.send.Gossip,
		Response: e.response,
	})
}

// directUpstreams returns the upstreams that announce themselves to this entry.
func (c *coordinator) directUpstreams() []*messages.Rumour {
	var list []*messages.Rumour
	for _, upstream := range c.tracker.All() {
		if upstream.Direct {
			list = append(list, c.tracker.Rumour(time.Now(), upstream.Name))
		}
	}
	return list
}

func (c *coordinator) logMembership(out informer.Outcome) {
	for _, left := range out.Left {
		c.log.Info().
			Str("upstream", string(left.Upstream.Name)).
			Uint64("incarnation", uint64(left.Upstream.Incarnation)).
			Str("reason", left.Reason).
			Msg("upstream-left")
	}
	for _, suspected := range out.Suspected {
		c.log.Info().
			Str("upstream", string(suspected.Upstream.Name)).
			Str("silence", suspected.Silence).
			Int("health", suspected.HealthMultiplier).
			Msg("upstream-suspected")
	}
	for _, refuted := range out.Refuted {
		c.log.Info().
			Str("upstream", string(refuted.Upstream.Name)).
			Msg("upstream-heard-again")
	}
	if out.Refused != nil {
		c.log.Warn().Err(out.Refused).Msg("announcement-refused")
	}
}
