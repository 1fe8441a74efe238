package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/capper"
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
	// PickRelease returns an upstream of one software version, nil if there is none.
	PickRelease(call *dispatcher.Call, release units.Release, tried []units.Upstream) (upstream *tracker.Upstream, gone bool)
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
func (s *StreamMigrator) OnLeaving(upstream *tracker.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	event := mover.NoticeReceived{
		Notice: mover.Notice{
			Upstream:       incarnationOf(upstream),
			LeavesAt:       upstream.LeavesAt,
			Step:           upstream.Step,
			BytesPerToken:  upstream.KV.BytesPerToken,
			BytesPerSecond: upstream.KV.BytesPerSecond,
		},
	}
	for _, e := range s.exchanges {
		if incarnationOf(e.upstream) == incarnationOf(upstream) {
			event.Streams = append(event.Streams, e.moverStream())
		}
	}
	s.Log.Info().
		Str("upstream", string(upstream.Name)).
		Int("streams", len(event.Streams)).
		Dur("notice-ms", time.Until(upstream.LeavesAt)).
		Msg("reclaim-noticed")
	s.step(event)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// register registers a running exchange.
func (s *StreamMigrator) register(e *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exchanges == nil {
		s.exchanges = make(map[mover.StreamID]*exchange)
	}
	s.lastID++
	e.streamID = s.lastID
	e.progress.Store(int64(e.stream.Offset()))
	s.exchanges[e.streamID] = e
	s.step(mover.StreamStarted{
		Upstream: incarnationOf(e.upstream),
		Stream:   e.moverStream(),
	})
}

// deregister removes an exchange that has ended.
func (s *StreamMigrator) deregister(e *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, e.streamID)
	s.step(mover.StreamEnded{
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
func (s *StreamMigrator) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
			s.tickWhileActive(ctx)
		}
	}
}

// tickWhileActive ticks until no upstream is leaving any more.
func (s *StreamMigrator) tickWhileActive(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for s.isActive() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, e := range s.tick() {
			go s.export(ctx, e)
		}
	}
}

func (s *StreamMigrator) isActive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.Active()
}

// tick reports the streams' progress to the mover and returns the exchanges whose KV
// caches are to be exported.
func (s *StreamMigrator) tick() []*exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.exchanges {
		if s.planner.IsLeaving(incarnationOf(e.upstream)) {
			s.step(mover.StreamProgressed{
				Upstream: incarnationOf(e.upstream),
				Stream:   e.moverStream(),
			})
		}
	}
	s.step(mover.Ticked{})
	due := s.pendingExports
	s.pendingExports = nil
	return due
}

// step passes an event to the mover and carries out its actions; the lock must be held.
func (s *StreamMigrator) step(event mover.Event) {
	for _, action := range s.planner.Step(time.Now(), event) {
		switch a := action.(type) {
		case mover.Export:
			if e := s.exchanges[a.Stream]; e != nil {
				s.pendingExports = append(s.pendingExports, e)
			}
		case mover.Recompute:
			if e := s.exchanges[a.Stream]; e != nil {
				s.log(e, "stream-recomputed-elsewhere", nil)
				e.move(nil)
			}
		}
	}
}

// export transfers a stream's KV cache to another upstream and moves the stream there.
// The stream continues at its old upstream in the meantime; only the tokens generated
// after the export began are computed again.
func (s *StreamMigrator) export(ctx context.Context, e *exchange) {
	startedAt := time.Now()
	target, _ := s.Router.PickRelease(e.call, e.upstream.Release, []units.Upstream{e.upstream.Name})
	var tokens units.Tokens
	err := errMoved
	if target != nil {
		tokens, err = s.transfer(ctx, e, target)
	}
	if err != nil {
		s.log(e, "stream-export-failed", err)
	} else {
		s.log(e, "stream-moved", nil)
		e.move(target)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(mover.ExportEnded{
		Upstream: incarnationOf(e.upstream),
		Stream:   e.streamID,
		Tokens:   tokens,
		Duration: time.Since(startedAt),
		Failed:   err != nil,
	})
}

// transfer asks the target to fetch the KV cache from the stream's upstream.
func (s *StreamMigrator) transfer(ctx context.Context, e *exchange, target *tracker.Upstream) (units.Tokens, error) {
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
	response, err := s.Pools.Client(target.Address).Do(request)
	if err != nil {
		return 0, fmt.Errorf("send the import request to %s: %w", target.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := capper.ReadAll(capper.Source{
		Body:   response.Body,
		Kind:   capper.Body,
		Length: response.ContentLength,
		Limit:  maxReplyBytes,
	}, nil)
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

func (s *StreamMigrator) log(e *exchange, name string, err error) {
	s.Log.Info().
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
