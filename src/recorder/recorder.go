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

	boxSize      = 4096
	tickInterval = 20 * time.Millisecond
	askTimeout   = 500 * time.Millisecond
	fillTimeout  = 2 * time.Second
)

// Caller calls the other entries.
type Caller interface {
	Call(ctx context.Context, address string, method connector.Method, request, response proto.Message) error
}

// Recorder runs one entry's part of the record of calls; its fields are set before Run.
type Recorder struct {
	Self   Identity
	Client Caller
	Scope  tally.Scope
	// EntryView returns the newest committed view, nil before the first.
	EntryView func() *messages.EntryView
	// Bounds returns how long and how many bytes of ended calls are kept.
	Bounds func() (time.Duration, int64)

	once     sync.Once
	box      chan OwnerEvent
	inspect  chan chan Dump
	view     atomic.Pointer[View]
	sessions sync.Map
	// storing counts the ends of calls that are still being stored.
	storing sync.WaitGroup
	silent  silence
}

func (r *Recorder) prepare() {
	r.once.Do(func() {
		r.box = make(chan OwnerEvent, boxSize)
		r.inspect = make(chan chan Dump)
	})
}

// Handle registers the methods that other entries call.
func (r *Recorder) Handle(server *connector.Server) {
	r.prepare()
	connector.Handle(server, MethodAsk, func(ctx context.Context, peer connector.Peer, request *messages.RecordRequest) (*messages.RecordResponse, error) {
		if err := peer.Plays(certifier.Entry); err != nil {
			return nil, err
		}
		return r.askHere(ctx, request)
	})
	connector.Handle(server, MethodFill, func(ctx context.Context, peer connector.Peer, request *messages.FillRequest) (*messages.FillResponse, error) {
		if err := peer.Plays(certifier.Entry); err != nil {
			return nil, err
		}
		return post(ctx, r.box, func(reply chan *messages.FillResponse) OwnerEvent {
			return FillAsked{
				Token:   reply,
				Request: request,
			}
		})
	})
}

// Run owns the records until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	r.prepare()
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
		case event := <-r.box:
			r.step(ctx, owner, event)
		case reply := <-r.inspect:
			reply <- r.dump(owner)
		}
	}
}

// Ready reports whether this entry's life is in the view that it knows. Before,
// the others would take its calls for those of an entry that is gone, and tell
// resends "unknown" while they run.
func (r *Recorder) Ready() bool {
	view := r.view.Load()
	return view != nil && view.Has(r.Self)
}

func (r *Recorder) tick(ctx context.Context, owner *Owner) {
	if committed := r.EntryView(); committed.GetNumber() > owner.ViewNumber() {
		r.step(ctx, owner, Viewed{View: NewView(committed, SlotCount)})
	}
	keepFor, keepBytes := r.Bounds()
	if keepFor > 0 {
		r.step(ctx, owner, Bounded{
			KeepFor:   keepFor,
			KeepBytes: keepBytes,
		})
	}
	r.step(ctx, owner, OwnerTicked{})
	r.gauge(owner)
}

func (r *Recorder) step(ctx context.Context, owner *Owner, event OwnerEvent) {
	actions := owner.Step(time.Now(), event)
	// Proposers must know a view no later than the first owner that serves it.
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
			go r.fill(ctx, a)
		}
	}
}

func (r *Recorder) fill(ctx context.Context, ask AskFill) {
	ctx, cancel := context.WithTimeout(ctx, fillTimeout)
	defer cancel()
	response := &messages.FillResponse{}
	if err := r.Client.Call(ctx, ask.To.Address, MethodFill, ask.Request, response); err != nil {
		r.silent.note(ask.To.Identity, time.Now())
		return
	}
	select {
	case r.box <- FillAnswered{Asked: ask, Response: response}:
	case <-ctx.Done():
	}
}

// askHere puts a request to this entry's own owner.
func (r *Recorder) askHere(ctx context.Context, request *messages.RecordRequest) (*messages.RecordResponse, error) {
	return post(ctx, r.box, func(reply chan *messages.RecordResponse) OwnerEvent {
		return Asked{
			Token:   reply,
			Request: request,
		}
	})
}

// post puts an event into the box and waits for its reply.
func post[Response any](ctx context.Context, box chan<- OwnerEvent, event func(chan Response) OwnerEvent) (Response, error) {
	reply := make(chan Response, 1)
	var none Response
	select {
	case box <- event(reply):
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

// ask carries a question to one owner; it returns nil where no answer came.
func (r *Recorder) ask(ctx context.Context, question AskOwner) *messages.RecordResponse {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if question.To.Identity == r.Self {
		response, _ := r.askHere(ctx, question.Request)
		return response
	}
	response := &messages.RecordResponse{}
	if err := r.Client.Call(ctx, question.To.Address, MethodAsk, question.Request, response); err != nil {
		r.silent.note(question.To.Identity, time.Now())
		return nil
	}
	return response
}

// newProposer returns the proposer of one call.
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

// Drain waits until the ends of calls are stored, or ctx ends.
func (r *Recorder) Drain(ctx context.Context) {
	stored := make(chan struct{})
	go func() {
		r.storing.Wait()
		close(stored)
	}()
	select {
	case <-stored:
	case <-ctx.Done():
	}
}

func (r *Recorder) gauge(owner *Owner) {
	r.Scope.Gauge("record-count").Update(float64(len(owner.store.records)))
	r.Scope.Gauge("record-bytes").Update(float64(owner.store.bytes))
	r.Scope.Gauge("record-unfilled-slots").Update(float64(owner.unfilled()))
}

func (r *Recorder) observe(name string, began time.Time) {
	r.Scope.Histogram(name, meter.LatencyBuckets).RecordDuration(time.Since(began))
}
