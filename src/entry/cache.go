package entry

import (
	"net/http"

	"github.com/emicklei/go-restful/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosecroft/rosecroft/src/admitter"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// cacheEventsReceived carries what an engine reported of its prefix cache.
type cacheEventsReceived struct {
	events *messages.CacheEvents
}

func (cacheEventsReceived) event() {}

// handleCacheEvents receives an engine's cache events. They are only hints, so the response does
// not confirm them: events that find the coordinator's queue full are dropped, which is a gap
// like any other.
func (s *announcementServer) handleCacheEvents(request *restful.Request, response *restful.Response) {
	content, err := admitter.ReadBody(request.Request, maxAnnouncementBytes)
	if err != nil {
		admitter.CloseUnread(response, request.Request)
		_ = response.WriteError(admitter.StatusOf(err), err)
		return
	}
	events := &messages.CacheEvents{}
	if err := protojson.Unmarshal(content, events); err != nil {
		_ = response.WriteError(http.StatusBadRequest, err)
		return
	}
	if err := s.authorize(request.Request, events); err != nil {
		_ = response.WriteError(http.StatusForbidden, err)
		return
	}
	select {
	case s.coordinator.events <- cacheEventsReceived{events: events}:
	default:
	}
	response.WriteHeader(http.StatusNoContent)
}

// handleCacheEvents passes cache events on unless they are from an earlier incarnation of the
// engine.
func (c *coordinator) handleCacheEvents(events *messages.CacheEvents) {
	upstream := c.tracker.Find(units.Upstream(events.GetUpstream()))
	if upstream == nil || upstream.Incarnation != units.Incarnation(events.GetIncarnation()) || c.onCacheEvents == nil {
		return
	}
	c.onCacheEvents(upstream, events)
}
