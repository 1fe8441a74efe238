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
	// upstreamSuspicion and upstreamExpiry are several announcements long, so
	// that a lost one does no harm.
	upstreamSuspicion = 1500 * time.Millisecond
	upstreamExpiry    = 3 * time.Second
	// lateTick is far above what a loaded machine delays a tick by.
	lateTick = time.Second

	gossipInterval = 100 * time.Millisecond
	refreshEvery   = time.Second
	digestEvery    = time.Second
	gossipBudget   = 4096
	smallFleet     = 64
	keepersOfEntry = 8
	relaysOfCentre = 2
	probesAsked    = 3
	// confirmWithin bounds how long a leaving upstream waits until a second
	// entry knows of it.
	confirmWithin = 400 * time.Millisecond
)

// gossiped is another entry's message.
type gossiped struct {
	gossip *messages.Gossip
	reply  chan<- *messages.GossipResponse
}

// answered is another entry's answer, or nil where there was none.
type answered struct {
	send     gossiper.Send
	response *messages.GossipResponse
	took     time.Duration
}

// viewed is a newer entry view.
type viewed struct {
	view *messages.EntryView
}

// listed wants what this entry tells control of the upstreams that it hears itself.
type listed struct {
	reply chan<- []*messages.Rumour
}

func (gossiped) event() {}
func (answered) event() {}
func (viewed) event()   {}
func (listed) event()   {}

// UnconfirmedError says that no other entry knows yet that an upstream leaves.
type UnconfirmedError struct {
	Upstream units.Upstream
}

// Error names the remedy.
func (e *UnconfirmedError) Error() string {
	return "no other entry has confirmed that " + string(e.Upstream) + " leaves; announce it to another entry too"
}

// leaver is a leaving upstream that waits for its answer.
type leaver struct {
	reply chan<- error
	until time.Time
}

func newInformer(settings *parser.Settings) *informer.Informer {
	return &informer.Informer{
		Tracker: &tracker.Tracker{
			SuspicionTimeout: upstreamSuspicion,
			Expiry:           upstreamExpiry,
			PauseThreshold:   lateTick,
		},
		Gossiper: &gossiper.Gossiper{
			Options: gossiper.Options{
				ID:             settings.Name,
				DataCentre:     settings.DataCentre,
				Interval:       gossipInterval,
				Refresh:        refreshEvery,
				Digest:         digestEvery,
				BytesPerSecond: gossipBudget,
				SmallFleet:     smallFleet,
				Keepers:        keepersOfEntry,
				Relays:         relaysOfCentre,
				Probes:         probesAsked,
			},
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	}
}

// inform brings an event to the informer and carries out what it leads to.
func (c *coordinator) inform(e informer.Event) informer.Outcome {
	out := c.informer.Step(time.Now(), e)
	c.stale = c.stale || out.Changed
	c.refresh(len(out.Left)+len(out.Suspected) > 0)
	for _, left := range out.Left {
		if c.departed != nil {
			c.departed(left.Upstream)
		}
	}
	for _, send := range out.Sends {
		c.messenger.post(send)
	}
	for _, name := range out.Confirmed {
		c.confirm(name, nil)
	}
	c.logMembership(out)
	return out
}

// announce answers an upstream; a leaving one waits until another entry knows,
// so that its mark outlives this entry.
func (c *coordinator) announce(e announced) {
	refused := c.inform(informer.Announced{Announcement: e.announcement}).Refused
	alone := len(c.view.Load().GetMembers()) < 2
	if refused != nil || !e.announcement.GetLeaving() || alone {
		e.reply <- refused
		return
	}
	name := units.Upstream(e.announcement.GetUpstream())
	if c.confirmed[name] == units.Incarnation(e.announcement.GetIncarnation()) {
		e.reply <- nil
		return
	}
	c.leavers[name] = append(c.leavers[name], leaver{
		reply: e.reply,
		until: time.Now().Add(confirmWithin),
	})
}

func (c *coordinator) confirm(name units.Upstream, err error) {
	if known := c.tracker.Upstream(name); known != nil && err == nil {
		c.confirmed[name] = known.Incarnation
	}
	for _, waiting := range c.leavers[name] {
		waiting.reply <- err
	}
	delete(c.leavers, name)
}

func (c *coordinator) tickMembership() {
	c.inform(informer.Ticked{})
	now := time.Now()
	for name, waiting := range c.leavers {
		if now.After(waiting[0].until) {
			c.confirm(name, &UnconfirmedError{Upstream: name})
		}
	}
	for name := range c.confirmed {
		if c.tracker.Upstream(name) == nil {
			delete(c.confirmed, name)
		}
	}
}

func (c *coordinator) takeMembership(e event) {
	switch e := e.(type) {
	case announced:
		c.announce(e)
	case gossiped:
		e.reply <- c.inform(informer.Received{Gossip: e.gossip}).Response
	case answered:
		c.takeAnswer(e)
	case viewed:
		c.inform(informer.ViewChanged{View: e.view})
	case listed:
		e.reply <- c.list()
	}
}

func (c *coordinator) takeAnswer(e answered) {
	if e.response == nil {
		c.inform(informer.Failed{
			To:     e.send.To,
			Gossip: e.send.Gossip,
			Took:   e.took,
		})
		return
	}
	c.inform(informer.Answered{
		To:       e.send.To,
		Gossip:   e.send.Gossip,
		Response: e.response,
	})
}

// list returns the upstreams that announce themselves here.
func (c *coordinator) list() []*messages.Rumour {
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
