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

// PlainService is a plain service: an appointment diary that numbers its bookings.
type PlainService struct {
	Ledger *Ledger
	Faults *Faults
	// CallDuration is how long a call takes.
	CallDuration time.Duration
	// Leaving makes the service refuse new calls.
	Leaving atomic.Bool

	mu       sync.Mutex
	bookings []json.RawMessage
}

// Services returns the service's routes.
func (p *PlainService) Services() []*restful.WebService {
	service := new(restful.WebService)
	service.Path("/")
	service.Filter(p.handleCall)
	service.Route(service.GET("/bookings").To(p.handleList))
	service.Route(service.POST("/bookings").To(p.handleBook))
	return []*restful.WebService{service}
}

// handleCall is a filter that refuses calls while the service leaves, records the
// others and applies the faults.
func (p *PlainService) handleCall(request *restful.Request, response *restful.Response, chain *restful.FilterChain) {
	call := request.HeaderParameter(headerCall)
	fault := p.Faults.Current()
	response.AddHeader(headerCall, p.Faults.answerID(call))
	if p.Leaving.Load() || fault.Refuse {
		refuse(response, "this service takes no calls now")
		return
	}
	p.Ledger.RecordRun(call, request.HeaderParameter(headerReference))
	time.Sleep(p.CallDuration)
	ctx := request.Request.Context()
	p.Faults.blockIfSilent(ctx)
	p.Faults.delay(ctx)
	switch {
	case fault.Fail:
		http.Error(response, "this service was told to fail", http.StatusInternalServerError)
	case fault.Truncate:
		writeTruncated(response)
	default:
		chain.ProcessFilter(request, response)
	}
}

func (p *PlainService) handleList(_ *restful.Request, response *restful.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(response, p.bookings)
}

func (p *PlainService) handleBook(request *restful.Request, response *restful.Response) {
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

// writeTruncated sends less than its Content-Length and aborts the connection.
func writeTruncated(response *restful.Response) {
	response.AddHeader("Content-Length", "64")
	_, _ = response.Write([]byte(`{"booking":`))
	response.Flush()
	panic(http.ErrAbortHandler)
}
