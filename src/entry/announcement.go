package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/rosecroft/rosecroft/src/admitter"
	"github.com/rosecroft/rosecroft/src/certifier"
)

const (
	maxAnnouncementBytes = 64 << 10
	announcementTimeout  = 2 * time.Second
)

// announcementServer receives the upstreams' announcements over HTTP.
type announcementServer struct {
	listener net.Listener
	// tls is nil only if the settings allow plain HTTP on the loopback interface.
	tls         *tls.Config
	coordinator *coordinator
	protect     func(*http.Server)
}

// run serves until ctx ends.
func (s *announcementServer) run(ctx context.Context) error {
	container := restful.NewContainer()
	service := new(restful.WebService)
	service.Path("/v1")
	service.Route(service.POST("/announcements").Consumes("application/json").To(s.handleAnnouncement))
	service.Route(service.POST("/cache-events").Consumes("application/json").To(s.handleCacheEvents))
	container.Add(service)
	server := &http.Server{
		Handler:           container,
		ReadHeaderTimeout: announcementTimeout,
		ReadTimeout:       announcementTimeout,
		WriteTimeout:      announcementTimeout,
		MaxHeaderBytes:    maxAnnouncementBytes,
	}
	s.protect(server)
	listener := s.listener
	if s.tls != nil {
		listener = tls.NewListener(listener, s.tls)
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve announcements: %w", err)
	}
	return nil
}

func (s *announcementServer) handleAnnouncement(request *restful.Request, response *restful.Response) {
	content, err := admitter.ReadBody(request.Request, maxAnnouncementBytes)
	if err != nil {
		admitter.CloseUnread(response, request.Request)
		_ = response.WriteError(admitter.StatusOf(err), err)
		return
	}
	announcement, err := parseAnnouncement(content)
	if err != nil {
		_ = response.WriteError(http.StatusBadRequest, err)
		return
	}
	if err := s.authorize(request.Request, announcement); err != nil {
		_ = response.WriteError(http.StatusForbidden, err)
		return
	}
	reply := make(chan error, 1)
	s.coordinator.events <- announcementReceived{
		announcement: announcement,
		reply:        reply,
	}
	if err := <-reply; err != nil {
		_ = response.WriteError(statusOf(err), err)
		return
	}
	response.WriteHeader(http.StatusNoContent)
}

// authorize rejects an announcement in another upstream's name, which would divert that
// upstream's calls to the sender or mark that upstream as leaving.
func (s *announcementServer) authorize(request *http.Request, announcement interface{ GetUpstream() string }) error {
	identity, err := certifier.RequireRequest(request, s.tls != nil, certifier.Upstream)
	if err != nil || s.tls == nil {
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
