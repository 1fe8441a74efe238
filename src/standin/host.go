package standin

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
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
	// Load returns the load to announce; it may be nil.
	Load func() *messages.Load
	// Leave makes the upstream refuse new calls.
	Leave func()
	// Notice is the time between the notice and the stop.
	Notice time.Duration

	sequence uint64
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
	for _, service := range h.Services {
		container.Add(service)
	}
	server := &http.Server{
		Handler:           container,
		ReadHeaderTimeout: headerTimeout,
	}
	listener := h.Listener
	h.client = http.DefaultClient
	if h.Source != nil {
		listener = tls.NewListener(listener, h.Source.Server(tls.RequireAndVerifyClientCert))
		h.client = &http.Client{
			Transport: &http.Transport{
				TLSClientConfig: h.Source.Client(certifier.Entry),
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
	h.Ledger.Journal.Write(LeavingBegan, "", "")
	h.Leave()
	h.announce(context.WithoutCancel(ctx), true)
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.Notice)
	defer cancel()
	if err := server.Shutdown(ending); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stop serving: %w", err)
	}
	return nil
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
	next.LeavingWithinMs = h.Notice.Milliseconds()
	if h.Load != nil {
		next.Load = h.Load()
	}
	content, err := protojson.Marshal(next)
	if err != nil {
		return
	}
	for _, entry := range h.Entries {
		h.send(ctx, entry, content)
	}
}

func (h *Host) send(ctx context.Context, entry string, content []byte) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/announcements", bytes.NewReader(content))
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
