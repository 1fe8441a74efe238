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
	announceInterval = 200 * time.Millisecond
	announceTimeout  = 500 * time.Millisecond
	headerTimeout    = 5 * time.Second
	// idleAnnouncements is the number of consecutive announcements without an active
	// request after which a leaving upstream stops before its notice has passed.
	idleAnnouncements = 3
)

// Host runs one upstream: its HTTP server, its announcements and its shutdown.
type Host struct {
	Listener net.Listener
	// Source is the certificate used for serving and announcing; nil for plain connections.
	Source *certifier.Source
	// Entries are the base URLs to which announcements are sent.
	Entries []string
	// Announcement holds the constant fields of each announcement.
	Announcement *messages.Announcement
	Services     []*restful.WebService
	Ledger       *Ledger
	Faults       *Faults
	// CacheEvents returns the prefix cache events to send to the entries, or nil
	// where there are none; it may be nil.
	CacheEvents func() *messages.CacheEvents
	// UpdateAnnouncement sets the variable fields of an announcement; it may be nil.
	UpdateAnnouncement func(*messages.Announcement)
	// Load returns the load to announce; it may be nil.
	Load func() *messages.Load
	// StopAccepting makes the upstream refuse new calls.
	StopAccepting func()
	// NoticePeriod is the time between the notice and the stop.
	NoticePeriod time.Duration

	sequence       uint64
	activeRequests atomic.Int64
	leavesAt       time.Time
	client         *http.Client
}

// Run serves until ctx ends, which is the platform's notice, and then drains.
func (h *Host) Run(ctx context.Context) error {
	container := restful.NewContainer()
	ledger := new(restful.WebService)
	ledger.Path("/ledger")
	ledger.Route(ledger.GET("").To(func(_ *restful.Request, response *restful.Response) {
		writeJSON(response, h.Ledger.Runs())
	}))
	container.Add(ledger)
	container.Add(h.Faults.Service())
	container.DoNotRecover(true)
	container.Filter(h.countActive)
	for _, service := range h.Services {
		container.Add(service)
	}
	server := &http.Server{
		Handler:           container,
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       h.Faults.NumberConnection,
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
	h.Ledger.Journal.Write(JournalEvent{Kind: NoticeReceived})
	h.StopAccepting()
	h.drain(context.WithoutCancel(ctx))
	return server.Close()
}

// drain continues to serve until the notice has passed or the upstream is idle.
// New connections are still accepted, since running streams may be resumed and
// their KV cache fetched over them.
func (h *Host) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.NoticePeriod)
	defer cancel()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for idle := 0; idle < idleAnnouncements; idle++ {
		h.announce(ctx, true)
		if h.activeRequests.Load() > 0 {
			idle = 0
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// countActive is a filter that counts the requests in progress.
func (h *Host) countActive(request *restful.Request, response *restful.Response, chain *restful.FilterChain) {
	h.activeRequests.Add(1)
	defer h.activeRequests.Add(-1)
	chain.ProcessFilter(request, response)
}

func (h *Host) announceUntil(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
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
	announcement := proto.CloneOf(h.Announcement)
	announcement.Sequence = h.sequence
	announcement.Leaving = leaving
	if h.UpdateAnnouncement != nil {
		h.UpdateAnnouncement(announcement)
	}
	if leaving && h.leavesAt.IsZero() {
		h.leavesAt = time.Now().Add(h.NoticePeriod)
	}
	if leaving {
		announcement.LeavingWithinMs = time.Until(h.leavesAt).Milliseconds()
	}
	if h.Load != nil {
		announcement.Load = h.Load()
	}
	content, err := protojson.Marshal(announcement)
	if err != nil {
		return
	}
	for _, entry := range h.Entries {
		h.post(ctx, entry+"/v1/announcements", content)
	}
	h.sendCacheEvents(ctx)
}

func (h *Host) sendCacheEvents(ctx context.Context) {
	if h.CacheEvents == nil {
		return
	}
	events := h.CacheEvents()
	if events == nil {
		return
	}
	events.Upstream = h.Announcement.GetUpstream()
	events.Incarnation = h.Announcement.GetIncarnation()
	content, err := protojson.Marshal(events)
	if err != nil {
		return
	}
	for _, entry := range h.Entries {
		h.post(ctx, entry+"/v1/cache-events", content)
	}
}

func (h *Host) post(ctx context.Context, url string, content []byte) {
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
