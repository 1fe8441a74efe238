package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/distributor"
	"github.com/rosecroft/rosecroft/src/indexer"
	"github.com/rosecroft/rosecroft/src/informer"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	eventQueueSize = 1024
	tickInterval   = 50 * time.Millisecond
)

// event is an input to the coordinator.
type event interface{ event() }

// announcementReceived is an upstream's announcement. The reply is nil or the reason for a
// refusal.
type announcementReceived struct {
	announcement *messages.Announcement
	reply        chan<- error
}

// configurationReceived is a configuration that control has accepted.
type configurationReceived struct {
	update *messages.ConfigurationUpdate
}

// dumpRequested asks for the process's state.
type dumpRequested struct {
	reply chan<- *Dump
}

func (announcementReceived) event()  {}
func (configurationReceived) event() {}
func (dumpRequested) event()         {}

// coordinator owns an entry's control state.
type coordinator struct {
	settings     *parser.Settings
	log          zerolog.Logger
	events       chan event
	tracker      *tracker.Tracker
	informer     *informer.Informer
	gossipSender *gossipSender
	view         *atomic.Pointer[messages.EntryView]
	// pendingLeaves are the leaving upstreams that no other entry has confirmed; confirmedLeaves
	// are those that one has.
	pendingLeaves   map[units.Upstream][]pendingLeave
	confirmedLeaves map[units.Upstream]units.Incarnation
	configuration   *parser.Configuration
	// document is the configuration's original text.
	document []byte
	// source provides the document to other entries.
	source *atomic.Pointer[distributor.Source]
	// onConfigurationChange is called when a new version is in force; it may be nil.
	onConfigurationChange func()
	snapshot              *atomic.Pointer[indexer.Snapshot]
	versionInForce        *atomic.Uint64
	// onDeparture is called for each upstream that leaves or is gone; it may be nil.
	onDeparture func(upstream *tracker.Upstream)
	// onCacheEvents is called for cache events; it may be nil.
	onCacheEvents func(upstream *tracker.Upstream, events *messages.CacheEvents)
	// onSnapshot is called with each new snapshot and onView with each new view; they may be nil.
	onSnapshot func(snapshot *indexer.Snapshot)
	onView     func(view *messages.EntryView)
	// publishedAt is when the snapshot was last built, stale whether it must be rebuilt.
	publishedAt time.Time
	stale       bool
}

func newCoordinator(settings *parser.Settings, log zerolog.Logger, snapshot *atomic.Pointer[indexer.Snapshot],
	view *atomic.Pointer[messages.EntryView],
) *coordinator {
	informer := newInformer(settings)
	return &coordinator{
		settings:        settings,
		log:             log,
		events:          make(chan event, eventQueueSize),
		tracker:         informer.Tracker,
		informer:        informer,
		view:            view,
		pendingLeaves:   make(map[units.Upstream][]pendingLeave),
		confirmedLeaves: make(map[units.Upstream]units.Incarnation),
		snapshot:        snapshot,
		versionInForce:  new(atomic.Uint64),
		source:          new(atomic.Pointer[distributor.Source]),
	}
}

// run handles events until ctx ends.
func (c *coordinator) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.tickMembership()
		case e := <-c.events:
			c.handleEvent(e)
		}
	}
}

func (c *coordinator) handleEvent(e event) {
	switch e := e.(type) {
	case cacheEventsReceived:
		c.handleCacheEvents(e.events)
	case configurationReceived:
		c.handleConfiguration(e.update)
	case dumpRequested:
		e.reply <- c.dump()
	default:
		c.handleMembership(e)
	}
}

// publishIfDue publishes a new snapshot if one is due.
//
// Announcements only refresh known upstreams, many times a second each. A snapshot for each of
// them would cost more the more engines there are. An upstream that has left must get no new
// calls, so its removal does not wait.
func (c *coordinator) publishIfDue(hasLeft bool) {
	if hasLeft || c.stale && time.Since(c.publishedAt) >= tickInterval {
		c.publish()
	}
}

func (c *coordinator) handleConfiguration(update *messages.ConfigurationUpdate) {
	// Control's responses can overtake each other. Without this check an older one would undo a
	// change that the operator was told is in force.
	if update.GetVersion() <= c.versionInForce.Load() {
		return
	}
	document, err := distributor.Apply(units.Version(c.versionInForce.Load()), c.document, update)
	if err != nil {
		c.log.Warn().Err(err).Msg("update-refused")
		return
	}
	configuration, err := parser.ParseConfiguration("accepted", document)
	if err != nil {
		c.log.Error().Err(err).Msg("configuration-unreadable")
		return
	}
	c.configuration = configuration
	c.document = document
	c.publish()
	c.versionInForce.Store(uint64(configuration.Version))
	c.source.Store(c.source.Load().With(configuration.Version, document))
	if c.onConfigurationChange != nil {
		c.onConfigurationChange()
	}
	c.log.Info().
		Uint64("version", uint64(configuration.Version)).
		Msg("configuration-in-force")
}

func (c *coordinator) publish() {
	if c.configuration == nil {
		return
	}
	c.publishedAt = time.Now()
	c.stale = false
	snapshot := indexer.Build(c.configuration, c.tracker.Usable())
	c.snapshot.Store(snapshot)
	if c.onSnapshot != nil {
		c.onSnapshot(snapshot)
	}
}
