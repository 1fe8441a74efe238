package recorder

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/meter"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// MethodAsk carries a proposer's request to an owner.
	MethodAsk connector.Method = "record/ask"
	// MethodFill carries an owner's request to an earlier owner.
	MethodFill connector.Method = "record/fill"

	eventQueueSize = 4096
	tickInterval   = 20 * time.Millisecond
	askTimeout     = 500 * time.Millisecond
	fillTimeout    = 2 * time.Second
)

// Caller sends requests to the other entries.
type Caller interface {
	Call(ctx context.Context, address string, method connector.Method, request, response proto.Message) error
}

// Recorder runs one entry's owner and proposers; its fields must be set before Run.
type Recorder struct {
	Self   Identity
	Client Caller
	Scope  tally.Scope
	// EntryView returns the latest committed view, nil before the first.
	EntryView func() *messages.EntryView
	// Retention returns how long records of ended calls are kept, and in how many bytes.
	Retention func() (time.Duration, int64)

	once         sync.Once
	events       chan OwnerEvent
	dumpRequests chan chan Dump
	// view is the owner's latest view, for the proposers.
	view atomic.Pointer[View]
	// sessions holds the *session of each call that has begun and not finished, by call id.
	sessions sync.Map
	// pendingWrites waits for the ends of calls that are being stored in the background.
	pendingWrites sync.WaitGroup
	unresponsive  unresponsivePeers
}

func (r *Recorder) initialize() {
	r.once.Do(func() {
		r.events = make(chan OwnerEvent, eventQueueSize)
		r.dumpRequests = make(chan chan Dump)
	})
}

// Handle registers the methods that serve requests of other entries.
func (r *Recorder) Handle(server *connector.Server) {
	r.initialize()
	connector.Handle(server, MethodAsk, func(ctx context.Context, peer connector.Peer, request *messages.RecordRequest) (*messages.RecordResponse, error) {
		if err := peer.RequireRole(certifier.Entry); err != nil {
			return nil, err
		}
		return r.askLocal(ctx, request)
	})
	connector.Handle(server, MethodFill, func(ctx context.Context, peer connector.Peer, request *messages.FillRequest) (*messages.FillResponse, error) {
		if err := peer.RequireRole(certifier.Entry); err != nil {
			return nil, err
		}
		return post(ctx, r.events, func(reply chan *messages.FillResponse) OwnerEvent {
			return FillRequested{
				Token:   reply,
				Request: request,
			}
		})
	})
}

// Run serves the records that this entry owns until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	r.initialize()
	owner := &Owner{
		Self:  r.Self,
		Slots: SlotCount,
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.tick(ctx, owner)
		case event := <-r.events:
			r.step(ctx, owner, event)
		case reply := <-r.dumpRequests:
			reply <- r.dump(owner)
		}
	}
}

// Ready reports whether this incarnation of the entry is in the latest view that it has.
// Until then, the other entries would treat its calls as those of a lost entry and
// answer resends with "unknown" while the calls still run.
func (r *Recorder) Ready() bool {
	view := r.view.Load()
	return view != nil && view.Has(r.Self)
}

func (r *Recorder) tick(ctx context.Context, owner *Owner) {
	if committed := r.EntryView(); committed.GetNumber() > owner.ViewNumber() {
		r.step(ctx, owner, ViewCommitted{View: NewView(committed, SlotCount)})
	}
	keepFor, keepBytes := r.Retention()
	if keepFor > 0 {
		r.step(ctx, owner, RetentionChanged{
			KeepFor:   keepFor,
			KeepBytes: keepBytes,
		})
	}
	r.step(ctx, owner, OwnerTicked{})
	r.reportGauges(owner)
}

func (r *Recorder) step(ctx context.Context, owner *Owner, event OwnerEvent) {
	actions := owner.Step(time.Now(), event)
	// Proposers must have a new view before this owner's first response in it is sent.
	if owner.view != r.view.Load() {
		r.view.Store(owner.view)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case Reply:
			a.Token.(chan *messages.RecordResponse) <- a.Response
		case FillReply:
			a.Token.(chan *messages.FillResponse) <- a.Response
		case AskFill:
			go r.requestFill(ctx, a)
		}
	}
}

// requestFill sends a fill request to an earlier owner and passes the response to this
// entry's owner.
func (r *Recorder) requestFill(ctx context.Context, ask AskFill) {
	ctx, cancel := context.WithTimeout(ctx, fillTimeout)
	defer cancel()
	response := &messages.FillResponse{}
	if err := r.Client.Call(ctx, ask.To.Address, MethodFill, ask.Request, response); err != nil {
		r.unresponsive.record(ask.To.Identity, time.Now())
		return
	}
	select {
	case r.events <- FillResponded{Ask: ask, Response: response}:
	case <-ctx.Done():
	}
}

// askLocal sends a request to this entry's own owner.
func (r *Recorder) askLocal(ctx context.Context, request *messages.RecordRequest) (*messages.RecordResponse, error) {
	return post(ctx, r.events, func(reply chan *messages.RecordResponse) OwnerEvent {
		return RequestReceived{
			Token:   reply,
			Request: request,
		}
	})
}

// post queues an event for the owner and waits for the reply.
func post[Response any](ctx context.Context, events chan<- OwnerEvent, event func(chan Response) OwnerEvent) (Response, error) {
	reply := make(chan Response, 1)
	var none Response
	select {
	case events <- event(reply):
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case response := <-reply:
		return response, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// askOwner sends a proposer's request to one owner; it returns nil if there is no response.
func (r *Recorder) askOwner(ctx context.Context, ask AskOwner) *messages.RecordResponse {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if ask.To.Identity == r.Self {
		response, _ := r.askLocal(ctx, ask.Request)
		return response
	}
	response := &messages.RecordResponse{}
	if err := r.Client.Call(ctx, ask.To.Address, MethodAsk, ask.Request, response); err != nil {
		r.unresponsive.record(ask.To.Identity, time.Now())
		return nil
	}
	return response
}

// newProposer returns the proposer for one call.
func (r *Recorder) newProposer(key, hash []byte, call units.CallID) *Proposer {
	return &Proposer{
		Self:        r.Self,
		Key:         key,
		ContentHash: hash,
		Call:        call,
		View:        r.view.Load(),
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Drain waits until the ends of all finished calls are stored, or ctx ends.
func (r *Recorder) Drain(ctx context.Context) {
	stored := make(chan struct{})
	go func() {
		r.pendingWrites.Wait()
		close(stored)
	}()
	select {
	case <-stored:
	case <-ctx.Done():
	}
}

func (r *Recorder) reportGauges(owner *Owner) {
	r.Scope.Gauge("record-count").Update(float64(len(owner.store.records)))
	r.Scope.Gauge("record-bytes").Update(float64(owner.store.bytes))
	r.Scope.Gauge("record-unfilled-slots").Update(float64(owner.unfilledSlots()))
}

func (r *Recorder) recordLatency(name string, began time.Time) {
	r.Scope.Histogram(name, meter.LatencyBuckets).RecordDuration(time.Since(began))
}
