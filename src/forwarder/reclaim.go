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
	reclaimTick   = 5 * time.Millisecond
	exportTimeout = 30 * time.Second
	maxReply      = 4 << 10
)

// Router chooses where a stream goes on.
type Router interface {
	Pick(call *dispatcher.Call, tried []units.Upstream) *tracker.Upstream
}

// Reclaimer carries out what the mover decides for the streams at upstreams that
// leave.
type Reclaimer struct {
	Router Router
	Pools  *Pools
	Log    zerolog.Logger

	mu        sync.Mutex
	machine   mover.Mover
	lastID    mover.StreamID
	exchanges map[mover.StreamID]*exchange
	// exports are the exchanges whose export is due.
	exports []*exchange
	// woken wakes Run when an upstream leaves.
	woken chan struct{}
}

// Notice takes up that an upstream leaves.
func (r *Reclaimer) Notice(upstream *tracker.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event := mover.Noticed{
		Notice: mover.Notice{
			Upstream:       lifeOf(upstream),
			LeavesAt:       upstream.LeavesAt,
			Step:           upstream.Step,
			BytesPerToken:  upstream.KV.BytesPerToken,
			BytesPerSecond: upstream.KV.BytesPerSecond,
		},
	}
	for _, e := range r.exchanges {
		if lifeOf(e.upstream) == lifeOf(upstream) {
			event.Streams = append(event.Streams, e.state())
		}
	}
	r.Log.Info().
		Str("upstream", string(upstream.Name)).
		Int("streams", len(event.Streams)).
		Dur("notice-ms", time.Until(upstream.LeavesAt)).
		Msg("reclaim-noticed")
	r.step(event)
	select {
	case r.woken <- struct{}{}:
	default:
	}
}

// join registers a running exchange.
func (r *Reclaimer) join(e *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.exchanges == nil {
		r.exchanges = make(map[mover.StreamID]*exchange)
	}
	r.lastID++
	e.id = r.lastID
	e.progress.Store(int64(e.stream.Offset()))
	r.exchanges[e.id] = e
	r.step(mover.Joined{
		Upstream: lifeOf(e.upstream),
		Stream:   e.state(),
	})
}

// part takes an exchange away at its end.
func (r *Reclaimer) part(e *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.exchanges, e.id)
	r.step(mover.Ended{
		Upstream: lifeOf(e.upstream),
		Stream:   e.id,
	})
}

// NewReclaimer returns a reclaimer without any upstream that leaves.
func NewReclaimer(router Router, pools *Pools, log zerolog.Logger) *Reclaimer {
	return &Reclaimer{
		Router: router,
		Pools:  pools,
		Log:    log,
		woken:  make(chan struct{}, 1),
	}
}

// Run lets time pass for the machine and carries out its exports until ctx ends.
func (r *Reclaimer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.woken:
			r.follow(ctx)
		}
	}
}

// follow ticks while any upstream leaves.
func (r *Reclaimer) follow(ctx context.Context) {
	ticker := time.NewTicker(reclaimTick)
	defer ticker.Stop()
	for r.active() {
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

func (r *Reclaimer) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Active()
}

// tick returns the exchanges whose streams are to be exported.
func (r *Reclaimer) tick() []*exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.exchanges {
		if r.machine.Leaving(lifeOf(e.upstream)) {
			r.step(mover.Progressed{
				Upstream: lifeOf(e.upstream),
				Stream:   e.state(),
			})
		}
	}
	r.step(mover.Ticked{})
	due := r.exports
	r.exports = nil
	return due
}

// step drives the machine; the lock is held.
func (r *Reclaimer) step(event mover.Event) {
	for _, action := range r.machine.Step(time.Now(), event) {
		switch a := action.(type) {
		case mover.Export:
			if e := r.exchanges[a.Stream]; e != nil {
				r.exports = append(r.exports, e)
			}
		case mover.Recompute:
			if e := r.exchanges[a.Stream]; e != nil {
				r.log(e, "stream-recomputed-elsewhere", nil)
				e.move(nil)
			}
		}
	}
}

// export brings a stream's KV cache to another upstream and lets it go on there.
// The stream goes on where it is meanwhile; only the tokens that came after the
// export began are computed again.
func (r *Reclaimer) export(ctx context.Context, e *exchange) {
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
	r.step(mover.Exported{
		Upstream: lifeOf(e.upstream),
		Stream:   e.id,
		Tokens:   tokens,
		Took:     time.Since(began),
		Failed:   err != nil,
	})
}

// transfer asks the target to fetch the KV cache from the stream's upstream.
func (r *Reclaimer) transfer(ctx context.Context, e *exchange, target *tracker.Upstream) (units.Tokens, error) {
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
		return 0, fmt.Errorf("form the import: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.Address+"/v1/kv", bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("form the import: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := r.Pools.Client(target.Address).Do(request)
	if err != nil {
		return 0, fmt.Errorf("ask %s to import: %w", target.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return 0, fmt.Errorf("read the import's answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s answered %d to the import: %s", target.Name, response.StatusCode, content)
	}
	var reply struct {
		Tokens units.Tokens `json:"tokens"`
	}
	return reply.Tokens, json.Unmarshal(content, &reply)
}

func (r *Reclaimer) log(e *exchange, what string, err error) {
	r.Log.Info().
		Err(err).
		Str("call", string(e.call.ID)).
		Str("upstream", string(e.upstream.Name)).
		Int64("offset", e.progress.Load()).
		Msg(what)
}

// state returns what the mover needs to know of a stream.
func (e *exchange) state() mover.Stream {
	offset := units.Tokens(e.progress.Load())
	return mover.Stream{
		ID:      e.id,
		Context: e.call.Prompt + offset,
		Left:    max(0, e.call.MaxOutput-offset),
	}
}

func lifeOf(upstream *tracker.Upstream) mover.Upstream {
	return mover.Upstream{
		Name:        upstream.Name,
		Incarnation: upstream.Incarnation,
	}
}
