package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/mover"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	tickInterval  = 5 * time.Millisecond
	exportTimeout = 30 * time.Second
	maxReplyBytes = 4 << 10
)

// Router chooses the upstream at which a stream resumes.
type Router interface {
	Pick(call *dispatcher.Call, tried []units.Upstream) *tracker.Upstream
}

// StreamMigrator carries out the mover's actions for the streams at leaving upstreams.
type StreamMigrator struct {
	Router Router
	Pools  *Pools
	Log    zerolog.Logger

	mu        sync.Mutex
	planner   mover.Mover
	lastID    mover.StreamID
	exchanges map[mover.StreamID]*exchange
	// pendingExports are the exchanges whose KV caches are to be exported at the
	// next tick.
	pendingExports []*exchange
	// wake wakes Run when an upstream is leaving.
	wake chan struct{}
}

// OnLeaving records that an upstream is leaving.
func (r *StreamMigrator) OnLeaving(upstream *tracker.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event := mover.Noticed{
		Notice: mover.Notice{
			Upstream:       incarnationOf(upstream),
			LeavesAt:       upstream.LeavesAt,
			Step:           upstream.Step,
			BytesPerToken:  upstream.KV.BytesPerToken,
			BytesPerSecond: upstream.KV.BytesPerSecond,
		},
	}
	for _, e := range r.exchanges {
		if incarnationOf(e.upstream) == incarnationOf(upstream) {
			event.Streams = append(event.Streams, e.moverStream())
		}
	}
	r.Log.Info().
		Str("upstream", string(upstream.Name)).
		Int("streams", len(event.Streams)).
		Dur("notice-ms", time.Until(upstream.LeavesAt)).
		Msg("reclaim-noticed")
	r.step(event)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// register registers a running exchange.
func (r *StreamMigrator) register(e *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exchanges == nil {
		r.exchanges = make(map[mover.StreamID]*exchange)
	}
	r.lastID++
	e.streamID = r.lastID
	e.progress.Store(int64(e.stream.Offset()))
	r.exchanges[e.streamID] = e
	r.step(mover.StreamStarted{
		Upstream: incarnationOf(e.upstream),
		Stream:   e.moverStream(),
	})
}

// deregister removes an exchange that has ended.
func (r *StreamMigrator) deregister(e *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.exchanges, e.streamID)
	r.step(mover.StreamEnded{
		Upstream: incarnationOf(e.upstream),
		Stream:   e.streamID,
	})
}

// NewStreamMigrator returns a StreamMigrator that knows of no leaving upstream.
func NewStreamMigrator(router Router, pools *Pools, log zerolog.Logger) *StreamMigrator {
	return &StreamMigrator{
		Router: router,
		Pools:  pools,
		Log:    log,
		wake:   make(chan struct{}, 1),
	}
}

// Run ticks the mover while any upstream is leaving and carries out its exports, until
// ctx ends.
func (r *StreamMigrator) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
			r.tickWhileActive(ctx)
		}
	}
}

// tickWhileActive ticks until no upstream is leaving any more.
func (r *StreamMigrator) tickWhileActive(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for r.isActive() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, e := range r.tick() {
			go r.export(ctx, e)
		}
	}
}

func (r *StreamMigrator) isActive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.Active()
}

// tick reports the streams' progress to the mover and returns the exchanges whose KV
// caches are to be exported.
func (r *StreamMigrator) tick() []*exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.exchanges {
		if r.planner.IsLeaving(incarnationOf(e.upstream)) {
			r.step(mover.StreamProgressed{
				Upstream: incarnationOf(e.upstream),
				Stream:   e.moverStream(),
			})
		}
	}
	r.step(mover.Ticked{})
	due := r.pendingExports
	r.pendingExports = nil
	return due
}

// step passes an event to the mover and carries out its actions; the lock must be held.
func (r *StreamMigrator) step(event mover.Event) {
	for _, action := range r.planner.Step(time.Now(), event) {
		switch a := action.(type) {
		case mover.Export:
			if e := r.exchanges[a.Stream]; e != nil {
				r.pendingExports = append(r.pendingExports, e)
			}
		case mover.Recompute:
			if e := r.exchanges[a.Stream]; e != nil {
				r.log(e, "stream-recomputed-elsewhere", nil)
				e.move(nil)
			}
		}
	}
}

// export transfers a stream's KV cache to another upstream and moves the stream there.
// The stream continues at its old upstream in the meantime; only the tokens generated
// after the export began are computed again.
func (r *StreamMigrator) export(ctx context.Context, e *exchange) {
	began := time.Now()
	target := r.Router.Pick(e.call, []units.Upstream{e.upstream.Name})
	var tokens units.Tokens
	err := errMoved
	if target != nil {
		tokens, err = r.transfer(ctx, e, target)
	}
	if err != nil {
		r.log(e, "stream-export-failed", err)
	} else {
		r.log(e, "stream-moved", nil)
		e.move(target)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(mover.ExportEnded{
		Upstream: incarnationOf(e.upstream),
		Stream:   e.streamID,
		Tokens:   tokens,
		Took:     time.Since(began),
		Failed:   err != nil,
	})
}

// transfer asks the target to fetch the KV cache from the stream's upstream.
func (r *StreamMigrator) transfer(ctx context.Context, e *exchange, target *tracker.Upstream) (units.Tokens, error) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	body, err := json.Marshal(struct {
		Call   units.CallID `json:"call"`
		Source string       `json:"source"`
	}{
		Call:   e.call.ID,
		Source: e.upstream.Address,
	})
	if err != nil {
		return 0, fmt.Errorf("encode the import request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.Address+"/v1/kv", bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("create the import request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := r.Pools.Client(target.Address).Do(request)
	if err != nil {
		return 0, fmt.Errorf("send the import request to %s: %w", target.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return 0, fmt.Errorf("read the answer to the import request: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s answered the import request with status %d: %s", target.Name, response.StatusCode, content)
	}
	var reply struct {
		Tokens units.Tokens `json:"tokens"`
	}
	return reply.Tokens, json.Unmarshal(content, &reply)
}

func (r *StreamMigrator) log(e *exchange, name string, err error) {
	r.Log.Info().
		Err(err).
		Str("call", string(e.call.ID)).
		Str("upstream", string(e.upstream.Name)).
		Int64("offset", e.progress.Load()).
		Msg(name)
}

// moverStream returns the stream's state for the mover.
func (e *exchange) moverStream() mover.Stream {
	offset := units.Tokens(e.progress.Load())
	return mover.Stream{
		ID:        e.streamID,
		Context:   e.call.PromptTokens + offset,
		Remaining: max(0, e.call.MaxOutput-offset),
	}
}

func incarnationOf(upstream *tracker.Upstream) mover.Upstream {
	return mover.Upstream{
		Name:        upstream.Name,
		Incarnation: upstream.Incarnation,
	}
}
