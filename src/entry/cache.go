package entry

import (
	"io"
	"net/http"

	"github.com/emicklei/go-restful/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// cached is what an engine tells of its prefix cache.
type cached struct {
	events *messages.CacheEvents
}

func (cached) event() {}

// tellCache takes an engine's cache events. They are only hints, so that none is
// answered for: one that finds the box full is a gap like any other.
func (r *receptionist) tellCache(request *restful.Request, response *restful.Response) {
	content, err := io.ReadAll(http.MaxBytesReader(response, request.Request.Body, maxAnnouncement))
	if err != nil {
		_ = response.WriteError(http.StatusRequestEntityTooLarge, err)
		return
	}
	events := &messages.CacheEvents{}
	if err := protojson.Unmarshal(content, events); err != nil {
		_ = response.WriteError(http.StatusBadRequest, err)
		return
	}
	if err := r.authorize(request.Request, events); err != nil {
		_ = response.WriteError(http.StatusForbidden, err)
		return
	}
	select {
	case r.coordinator.box <- cached{events: events}:
	default:
	}
	response.WriteHeader(http.StatusNoContent)
}

// cache hands cache events on, unless they are of an earlier life of the engine.
func (c *coordinator) cache(events *messages.CacheEvents) {
	upstream := c.tracker.Find(units.Upstream(events.GetUpstream()))
	if upstream == nil || upstream.Incarnation != units.Incarnation(events.GetIncarnation()) || c.cacheChanged == nil {
		return
	}
	c.cacheChanged(upstream, events)
}
