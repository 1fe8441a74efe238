package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"
)

// FaultSettings configures how an upstream misbehaves. Tests set it by a PUT of
// JSON to /faults.
type FaultSettings struct {
	// Silence permanently stops answers on every connection that is open now; new
	// connections work.
	Silence bool `json:"silence"`
	// CutAfter ends each stream after this many tokens without its final marker; 0
	// disables it.
	CutAfter int `json:"cut-after"`
	// Cross sends another call's id with each answer.
	Cross bool `json:"cross"`
	// Truncate ends each non-streamed answer half-way.
	Truncate bool `json:"truncate"`
	// DelayMS delays each answer, in milliseconds.
	DelayMS int `json:"delay-ms"`
	// Refuse answers 503 with the header that says that the call was not executed.
	Refuse bool `json:"refuse"`
	// AcceptLeaving accepts new calls after the notice, like an engine that relies
	// on its clients to stop sending.
	AcceptLeaving bool `json:"accept-leaving"`
	// Fail answers 500 after the call has run.
	Fail bool `json:"fail"`
}

// Faults holds the fault settings of one upstream.
type Faults struct {
	mu      sync.Mutex
	current FaultSettings
	// connections is the number given to the latest connection; connections up to
	// lastSilent get no answers.
	connections int
	lastSilent  int
}

type connectionKey struct{}

// NumberConnection stores a connection's number in its context; it serves as an
// http.Server's ConnContext.
func (f *Faults) NumberConnection(ctx context.Context, _ net.Conn) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connections++
	return context.WithValue(ctx, connectionKey{}, f.connections)
}

// Current returns the settings in force.
func (f *Faults) Current() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// blockIfSilent blocks until ctx ends where the connection has been silenced.
func (f *Faults) blockIfSilent(ctx context.Context) {
	number, _ := ctx.Value(connectionKey{}).(int)
	f.mu.Lock()
	silent := number <= f.lastSilent && number > 0
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
}

// delay waits for DelayMS.
func (f *Faults) delay(ctx context.Context) {
	_ = sleep(ctx, time.Duration(f.Current().DelayMS)*time.Millisecond)
}

// answerID returns the call id that the answer carries.
func (f *Faults) answerID(call string) string {
	if f.Current().Cross {
		return "crossed-" + call
	}
	return call
}

// Service returns the route that sets the faults.
func (f *Faults) Service() *restful.WebService {
	service := new(restful.WebService)
	service.Path("/faults")
	service.Route(service.PUT("").To(f.handlePut))
	return service
}

// handlePut sets the faults. Silence applies to the requesting connection too, so
// that the answer closes it.
func (f *Faults) handlePut(request *restful.Request, response *restful.Response) {
	next := FaultSettings{}
	if err := json.NewDecoder(request.Request.Body).Decode(&next); err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	f.current = next
	if next.Silence {
		f.lastSilent = f.connections
	}
	f.mu.Unlock()
	response.AddHeader("Connection", "close")
	response.WriteHeader(http.StatusNoContent)
}
