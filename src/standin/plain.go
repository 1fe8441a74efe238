package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"
)

// Plain is a plain service: an appointment diary that numbers what it books.
type Plain struct {
	Ledger *Ledger
	// Work is how long a call takes.
	Work time.Duration
	// Leaving makes the service refuse new calls.
	Leaving atomic.Bool

	mu       sync.Mutex
	bookings []json.RawMessage
}

// Services returns the service's routes.
func (p *Plain) Services() []*restful.WebService {
	service := new(restful.WebService)
	service.Path("/")
	service.Route(service.GET("/bookings").To(p.guard(p.list)))
	service.Route(service.POST("/bookings").To(p.guard(p.book)))
	return []*restful.WebService{service}
}

// guard refuses calls while the service leaves, and counts the others.
func (p *Plain) guard(serve restful.RouteFunction) restful.RouteFunction {
	return func(request *restful.Request, response *restful.Response) {
		call := request.HeaderParameter(headerCall)
		response.AddHeader(headerCall, call)
		if p.Leaving.Load() {
			refuse(response, "this service is leaving")
			return
		}
		p.Ledger.Ran(call, request.HeaderParameter(headerReference))
		time.Sleep(p.Work)
		serve(request, response)
	}
}

func (p *Plain) list(_ *restful.Request, response *restful.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(response, p.bookings)
}

func (p *Plain) book(request *restful.Request, response *restful.Response) {
	content, err := io.ReadAll(request.Request.Body)
	if err != nil || !json.Valid(content) {
		http.Error(response, "the booking is not JSON", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.bookings = append(p.bookings, content)
	number := len(p.bookings)
	p.mu.Unlock()
	writeJSON(response, struct {
		Booking int             `json:"booking"`
		Content json.RawMessage `json:"content"`
	}{
		Booking: number,
		Content: content,
	})
}
