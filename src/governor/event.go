package governor

import (
	"time"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/scaler"
	"github.com/rosecroft/rosecroft/src/tallier"
	"github.com/rosecroft/rosecroft/src/units"
)

// The methods between control instances, and from entries.
const (
	MethodLog     connector.Method = "log/message"
	MethodPoll    connector.Method = "registry/poll"
	MethodSpread  connector.Method = "registry/spread"
	MethodDeclare connector.Method = "registry/declare"
	MethodRead    connector.Method = "registry/read"
	// MethodRollout and MethodReadRollout hand an operator's calls to the leader.
	MethodRollout     connector.Method = "registry/rollout"
	MethodReadRollout connector.Method = "registry/read-rollout"
)

// event is something the coordinator takes from its box.
type event interface{ event() }

// ticked says that time has passed.
type ticked struct{}

// arrived is a log message from another voter.
type arrived struct {
	message *messages.LogMessage
}

// declared asks for a configuration to be committed.
type declared struct {
	declaration *messages.Declaration
	reply       chan<- declareReply
}

// declareReply says what became of it; leader is set where this instance does not lead.
type declareReply struct {
	accepted bool
	leader   string
}

// asked asks for the newest configuration.
type asked struct {
	reply chan<- readReply
}

type readReply struct {
	sure        bool
	leader      string
	declaration *messages.Declaration
}

// polled is an entry's poll.
type polled struct {
	poll *messages.EntryPoll
	// at is when it arrived.
	at    time.Time
	reply chan<- *messages.EntryPollResponse
}

// announced is a heartbeat, or a goodbye where left is set.
type announced struct {
	registration enroller.Registration
	left         units.Upstream
	reply        chan<- announceReply
}

// announceReply says whether the news must reach the leader before it counts.
type announceReply struct {
	leader string
	leads  bool
	// recent says that there was a leader a moment ago.
	recent bool
	// urgent is what must be known elsewhere before it is acknowledged, nil for
	// nothing, and others the control instances to tell.
	urgent *messages.RegisteredUpstream
	others []string
}

// spread is a batch from another control instance.
type spread struct {
	batch *messages.UpstreamBatch
	reply chan<- *messages.UpstreamBatchResponse
}

// rolloutAsked orders a roll-out.
type rolloutAsked struct {
	order RolloutOrder
	reply chan<- rolloutReply
}

// rolloutReply says what became of an order; leader is set where this instance does not
// lead.
type rolloutReply struct {
	outcome messages.RolloutOutcome
	leader  string
	detail  string
	// committed is set while a majority does not hold the order yet, and says once it does.
	committed <-chan declareReply
}

// rolloutRead asks for a service's last roll-out.
type rolloutRead struct {
	service units.Service
	reply   chan<- rolloutState
}

type rolloutState struct {
	sure    bool
	leader  string
	rollout *messages.Rollout
}

// reportEnded says what the platform made of a usage report.
type reportEnded struct {
	term   units.Term
	window tallier.Window
	err    error
}

// orderEnded says what the platform made of an order.
type orderEnded struct {
	term  units.Term
	order Order
	err   error
}

// reloaded brings new settings, of which the seeds count.
type reloaded struct {
	settings *parser.Deployment
}

// dumpAsked asks for the state.
type dumpAsked struct {
	reply chan<- *Dump
}

func (ticked) event()       {}
func (arrived) event()      {}
func (declared) event()     {}
func (asked) event()        {}
func (polled) event()       {}
func (announced) event()    {}
func (spread) event()       {}
func (rolloutAsked) event() {}
func (rolloutRead) event()  {}
func (reportEnded) event()  {}
func (orderEnded) event()   {}
func (reloaded) event()     {}
func (dumpAsked) event()    {}

// Order asks for a number of upstreams of one kind of a service.
type Order struct {
	Service units.Service
	scaler.Order
}

// Holder proves who acts for the system.
type Holder struct {
	Name units.Instance
	// Fence rises with each new holder.
	Fence units.Term
}

// FencedError says that a holder with a higher fencing token has acted.
type FencedError struct{}

// Error names the remedy.
func (e *FencedError) Error() string {
	return "another instance with a higher fencing token has acted; this one rests until it leads again"
}

// retryPause is how long a failed call to the platform waits for its next try.
const retryPause = 500 * time.Millisecond
