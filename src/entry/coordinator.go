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
	boxSize      = 1024
	tickInterval = 50 * time.Millisecond
)

// event is something the coordinator takes from its box.
type event interface{ event() }

// announced is an upstream's announcement; the reply is nil or why it was refused.
type announced struct {
	announcement *messages.Announcement
	reply        chan<- error
}

// configured is a configuration that control has accepted.
type configured struct {
	update *messages.ConfigurationUpdate
}

// dumped wants the process's state.
type dumped struct {
	reply chan<- *Dump
}

func (announced) event()  {}
func (configured) event() {}
func (dumped) event()     {}

// coordinator owns an entry's control state.
type coordinator struct {
	settings  *parser.Settings
	log       zerolog.Logger
	box       chan event
	tracker   *tracker.Tracker
	informer  *informer.Informer
	messenger *messenger
	view      *atomic.Pointer[messages.EntryView]
	// leavers are the leaving upstreams that no other entry has confirmed;
	// confirmed are those that one has.
	leavers       map[units.Upstream][]leaver
	confirmed     map[units.Upstream]units.Incarnation
	configuration *parser.Configuration
	// document is the configuration as it was written.
	document []byte
	// source serves the document to other entries.
	source *atomic.Pointer[distributor.Source]
	// changed is told of a new version in force; it may be nil.
	changed  func()
	snapshot *atomic.Pointer[indexer.Snapshot]
	inForce  *atomic.Uint64
	// departed is told of each upstream that leaves or is gone; it may be nil.
	departed func(upstream *tracker.Upstream)
	// cacheChanged is told of cache events; it may be nil.
	cacheChanged func(upstream *tracker.Upstream, events *messages.CacheEvents)
	// published is when the snapshot was last built, stale whether it has to be again.
	published time.Time
	stale     bool
}

func newCoordinator(settings *parser.Settings, log zerolog.Logger, snapshot *atomic.Pointer[indexer.Snapshot],
	view *atomic.Pointer[messages.EntryView],
) *coordinator {
	informer := newInformer(settings)
	return &coordinator{
		settings:  settings,
		log:       log,
		box:       make(chan event, boxSize),
		tracker:   informer.Tracker,
		informer:  informer,
		view:      view,
		leavers:   make(map[units.Upstream][]leaver),
		confirmed: make(map[units.Upstream]units.Incarnation),
		snapshot:  snapshot,
		inForce:   new(atomic.Uint64),
		source:    new(atomic.Pointer[distributor.Source]),
	}
}

// run takes events until ctx ends.
func (c *coordinator) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.tickMembership()
		case e := <-c.box:
			c.take(e)
		}
	}
}

func (c *coordinator) take(e event) {
	switch e := e.(type) {
	case cached:
		c.cache(e.events)
	case configured:
		c.configure(e.update)
	case dumped:
		e.reply <- c.dump()
	default:
		c.takeMembership(e)
	}
}

// refresh publishes what has changed.
//
// Announcements only refresh what is known, many times a second each; a
// snapshot for each of them would cost more the more engines there are. What
// left must get no new call, and does not wait.
func (c *coordinator) refresh(left bool) {
	if left || c.stale && time.Since(c.published) >= tickInterval {
		c.publish()
	}
}

func (c *coordinator) configure(update *messages.ConfigurationUpdate) {
	// Answers of control can overtake each other; without this check an older
	// one would undo a change that the operator was told is in force.
	if update.GetVersion() <= c.inForce.Load() {
		return
	}
	document, err := distributor.Apply(units.Version(c.inForce.Load()), c.document, update)
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
	c.inForce.Store(uint64(configuration.Version))
	c.source.Store(c.source.Load().With(configuration.Version, document))
	if c.changed != nil {
		c.changed()
	}
	c.log.Info().
		Uint64("version", uint64(configuration.Version)).
		Msg("configuration-in-force")
}

func (c *coordinator) publish() {
	if c.configuration == nil {
		return
	}
	c.published = time.Now()
	c.stale = false
	c.snapshot.Store(indexer.Build(c.configuration, c.tracker.Usable()))
}
