package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/rosecroft/rosecroft/src/certifier"
)

const (
	maxAnnouncement     = 64 << 10
	announcementTimeout = 2 * time.Second
)

// receptionist takes the upstreams' announcements over HTTP.
type receptionist struct {
	listener net.Listener
	// tls is nil only where the settings allow plain loopback.
	tls         *tls.Config
	coordinator *coordinator
}

// run serves until ctx ends.
func (r *receptionist) run(ctx context.Context) error {
	container := restful.NewContainer()
	service := new(restful.WebService)
	service.Path("/v1")
	service.Route(service.POST("/announcements").Consumes("application/json").To(r.announce))
	service.Route(service.POST("/cache-events").Consumes("application/json").To(r.tellCache))
	container.Add(service)
	server := &http.Server{
		Handler:           container,
		ReadHeaderTimeout: announcementTimeout,
		ReadTimeout:       announcementTimeout,
		WriteTimeout:      announcementTimeout,
		MaxHeaderBytes:    maxAnnouncement,
	}
	listener := r.listener
	if r.tls != nil {
		listener = tls.NewListener(listener, r.tls)
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve announcements: %w", err)
	}
	return nil
}

func (r *receptionist) announce(request *restful.Request, response *restful.Response) {
	content, err := io.ReadAll(http.MaxBytesReader(response, request.Request.Body, maxAnnouncement))
	if err != nil {
		_ = response.WriteError(http.StatusRequestEntityTooLarge, err)
		return
	}
	announcement, err := parseAnnouncement(content)
	if err != nil {
		_ = response.WriteError(http.StatusBadRequest, err)
		return
	}
	if err := r.authorize(request.Request, announcement); err != nil {
		_ = response.WriteError(http.StatusForbidden, err)
		return
	}
	reply := make(chan error, 1)
	r.coordinator.box <- announced{
		announcement: announcement,
		reply:        reply,
	}
	if err := <-reply; err != nil {
		_ = response.WriteError(statusOf(err), err)
		return
	}
	response.WriteHeader(http.StatusNoContent)
}

// authorize refuses an announcement in another upstream's name: it would draw
// that one's calls to itself, or take it out of use by a leaving mark.
func (r *receptionist) authorize(request *http.Request, announcement interface{ GetUpstream() string }) error {
	identity, err := certifier.RequireRequest(request, r.tls != nil, certifier.Upstream)
	if err != nil || r.tls == nil {
		return err
	}
	return identity.RequireName(certifier.Upstream, announcement.GetUpstream())
}

func statusOf(err error) int {
	var unconfirmed *UnconfirmedError
	if errors.As(err, &unconfirmed) {
		return http.StatusServiceUnavailable
	}
	return http.StatusUnprocessableEntity
}
