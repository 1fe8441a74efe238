package governor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/scaler"
	"github.com/rosecroft/rosecroft/src/units"
)

// The methods that control instances call on each other and entries call on control.
const (
	MethodLog             connector.Method = "log/message"
	MethodPoll            connector.Method = "registry/poll"
	MethodUpstreamBatch   connector.Method = "registry/spread"
	MethodDeclare         connector.Method = "registry/declare"
	MethodReadDeclaration connector.Method = "registry/read"
	// MethodStartRollout and MethodReadRollout forward an operator's calls to the leader.
	MethodStartRollout connector.Method = "registry/rollout"
	MethodReadRollout  connector.Method = "registry/read-rollout"
	MethodFindStream   connector.Method = "registry/find-stream"
	// MethodDepart forwards an upstream's departure to the leader.
	MethodDepart connector.Method = "registry/depart"
)

// event is an input of the coordinator.
type event interface{ event() }

// ticked is sent once per tick interval.
type ticked struct{}

// logMessageReceived carries a message of the replicated log from another voter.
type logMessageReceived struct {
	message *messages.LogMessage
}

// declareRequested requests that a configuration be committed.
type declareRequested struct {
	declaration *messages.Declaration
	reply       chan<- declareReply
}

// declareReply is the outcome of a proposal; leader is set where this instance does not lead.
type declareReply struct {
	accepted bool
	leader   string
}

// readRequested requests the newest configuration.
type readRequested struct {
	reply chan<- readReply
}

type readReply struct {
	authoritative bool
	leader        string
	declaration   *messages.Declaration
}

// pollReceived carries an entry's poll.
type pollReceived struct {
	poll       *messages.EntryPoll
	receivedAt time.Time
	reply      chan<- *messages.EntryPollResponse
}

// findStreamRequested asks where a stream began.
type findStreamRequested struct {
	request *messages.FindStream
	reply   chan<- *messages.FindStreamResponse
}

// announcementReceived is a heartbeat, or the departure of an upstream that has deregistered.
type announcementReceived struct {
	registration enroller.Registration
	reply        chan<- announceReply
}

// announceReply states what has to happen before a heartbeat may be acknowledged.
// leaderReached is set where this instance leads.
type announceReply struct {
	leader        string
	leaderReached bool
	// leaderSeenRecently says that a leader was known within the last heartbeat interval.
	leaderSeenRecently bool
	// unrecorded says that the table has not taken the announcement.
	unrecorded bool
	// departs is what the log must hold before the acknowledgement, nil for nothing. committed receives the outcome of
	// the commit, and is nil where the leader has to commit it.
	departs   *messages.RegisteredUpstream
	committed <-chan declareReply
}

// upstreamBatchReceived carries a batch of upstreams from another control instance.
type upstreamBatchReceived struct {
	batch *messages.UpstreamBatch
	reply chan<- *messages.UpstreamBatchResponse
}

// rolloutRequested orders a roll-out.
type rolloutRequested struct {
	order RolloutOrder
	reply chan<- rolloutReply
}

// rolloutReply is the outcome of an order; leader is set where this instance does not lead.
type rolloutReply struct {
	outcome messages.RolloutOutcome
	leader  string
	detail  string
	// committed is set while the order is not committed yet, and receives the outcome of the
	// commit.
	committed <-chan declareReply
}

// rolloutReadRequested requests a service's last roll-out.
type rolloutReadRequested struct {
	service units.Service
	reply   chan<- rolloutReadReply
}

type rolloutReadReply struct {
	authoritative bool
	leader        string
	rollout       *messages.Rollout
}

// usageReportEnded carries the result of a usage report to the platform.
type usageReportEnded struct {
	term   units.Term
	window aggregator.Window
	err    error
}

// orderEnded carries the result of an order to the platform.
type orderEnded struct {
	term      units.Term
	order     Order
	placement placement
	err       error
}

// placement is when an order was placed, and how many upstreams of its pool then took calls.
type placement struct {
	at    time.Time
	ready int
}

// settingsReloaded carries new settings, of which only the seeds are applied.
type settingsReloaded struct {
	settings *parser.PlatformSettings
}

// dumpRequested requests a dump of the state.
type dumpRequested struct {
	reply chan<- *Dump
}

func (ticked) event()                {}
func (logMessageReceived) event()    {}
func (declareRequested) event()      {}
func (readRequested) event()         {}
func (pollReceived) event()          {}
func (announcementReceived) event()  {}
func (upstreamBatchReceived) event() {}
func (findStreamRequested) event()   {}
func (rolloutRequested) event()      {}
func (rolloutReadRequested) event()  {}
func (usageReportEnded) event()      {}
func (orderEnded) event()            {}
func (settingsReloaded) event()      {}
func (dumpRequested) event()         {}

// Order asks the platform for a number of upstreams of one kind for a service.
type Order struct {
	Service units.Service
	scaler.Order
}

// DutyHolder identifies the instance that holds the duties, and carries its fencing token.
type DutyHolder struct {
	Name units.Instance
	// FencingToken is the fencing token, which increases with each new holder.
	FencingToken units.Term
}

// FencedError is returned where a holder with a higher fencing token has acted.
type FencedError struct{}

// Error states the cause and the remedy.
func (e *FencedError) Error() string {
	return "another instance with a higher fencing token has acted; this one rests until it leads again"
}

// retryDelay is how long after a failed call to the platform the next attempt is made.
const retryDelay = 500 * time.Millisecond
