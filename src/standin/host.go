package standin

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	announceEvery   = 200 * time.Millisecond
	announceTimeout = 500 * time.Millisecond
	headerTimeout   = 5 * time.Second
	// idleTicks is how many announcements long a leaving upstream must have
	// been idle to stop before its time.
	idleTicks = 3
)

// Host runs one upstream: its HTTP server, its announcements and its leaving.
type Host struct {
	Listener net.Listener
	// Source is the certificate to serve and announce with; nil for plain connections.
	Source *certifier.Source
	// Entries are the base URLs that take announcements.
	Entries []string
	// About is the announcement's constant part.
	About    *messages.Announcement
	Services []*restful.WebService
	Ledger   *Ledger
	Faults   *Faults
	// CacheEvents returns what to tell entries of the prefix cache; it may be nil.
	CacheEvents func() *messages.CacheEvents
	// Describe adds what changes to the announcement; it may be nil.
	Describe func(*messages.Announcement)
	// Load returns the load to announce; it may be nil.
	Load func() *messages.Load
	// Leave makes the upstream refuse new calls.
	Leave func()
	// Notice is the time between the notice and the stop.
	Notice time.Duration

	sequence uint64
	active   atomic.Int64
	leavesAt time.Time
	client   *http.Client
}

// Run serves until ctx ends, which is the platform's notice, and then until the notice has passed.
func (h *Host) Run(ctx context.Context) error {
	container := restful.NewContainer()
	own := new(restful.WebService)
	own.Path("/ledger")
	own.Route(own.GET("").To(func(_ *restful.Request, response *restful.Response) {
		writeJSON(response, h.Ledger.Runs())
	}))
	container.Add(own)
	container.Add(h.Faults.Service())
	container.DoNotRecover(true)
	container.Filter(h.count)
	for _, service := range h.Services {
		container.Add(service)
	}
	server := &http.Server{
		Handler:           container,
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       h.Faults.Number,
	}
	listener := h.Listener
	h.client = http.DefaultClient
	if h.Source != nil {
		listener = tls.NewListener(listener, h.Source.ServerConfig(tls.RequireAndVerifyClientCert))
		h.client = &http.Client{
			Transport: &http.Transport{
				TLSClientConfig: h.Source.ClientConfig(certifier.Entry),
			},
		}
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	h.announceUntil(ctx)
	select {
	case err := <-served:
		return err
	default:
	}
	h.Ledger.Journal.Write(Line{Happening: LeavingBegan})
	h.Leave()
	h.leave(context.WithoutCancel(ctx))
	return server.Close()
}

// leave serves on until the notice has passed or nothing runs here any more:
// what runs is read, and its KV cache fetched, over new connections too.
func (h *Host) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.Notice)
	defer cancel()
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for idle := 0; idle < idleTicks; idle++ {
		h.announce(ctx, true)
		if h.active.Load() > 0 {
			idle = 0
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// count counts the requests under way.
func (h *Host) count(request *restful.Request, response *restful.Response, chain *restful.FilterChain) {
	h.active.Add(1)
	defer h.active.Add(-1)
	chain.ProcessFilter(request, response)
}

func (h *Host) announceUntil(ctx context.Context) {
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		h.announce(ctx, false)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *Host) announce(ctx context.Context, leaving bool) {
	h.sequence++
	next := proto.CloneOf(h.About)
	next.Sequence = h.sequence
	next.Leaving = leaving
	if h.Describe != nil {
		h.Describe(next)
	}
	if leaving && h.leavesAt.IsZero() {
		h.leavesAt = time.Now().Add(h.Notice)
	}
	if leaving {
		next.LeavingWithinMs = time.Until(h.leavesAt).Milliseconds()
	}
	if h.Load != nil {
		next.Load = h.Load()
	}
	content, err := protojson.Marshal(next)
	if err != nil {
		return
	}
	for _, entry := range h.Entries {
		h.send(ctx, entry+"/v1/announcements", content)
	}
	h.tellCache(ctx)
}

func (h *Host) tellCache(ctx context.Context) {
	if h.CacheEvents == nil {
		return
	}
	events := h.CacheEvents()
	if events == nil {
		return
	}
	events.Upstream = h.About.GetUpstream()
	events.Incarnation = h.About.GetIncarnation()
	content, err := protojson.Marshal(events)
	if err != nil {
		return
	}
	for _, entry := range h.Entries {
		h.send(ctx, entry+"/v1/cache-events", content)
	}
}

func (h *Host) send(ctx context.Context, url string, content []byte) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}
