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

// Fault says how an upstream misbehaves; it is put to /faults as JSON.
type Fault struct {
	// Silence makes every connection that is open now silent for good; new ones work.
	Silence bool `json:"silence"`
	// CutAfter ends each stream after so many tokens without its final marker, 0 never.
	CutAfter int `json:"cut-after"`
	// Cross answers with another call's id.
	Cross bool `json:"cross"`
	// Truncate ends each whole answer half-way.
	Truncate bool `json:"truncate"`
	// DelayMS holds each answer back, in milliseconds.
	DelayMS int `json:"delay-ms"`
	// Refuse answers 503 and says that nothing ran.
	Refuse bool `json:"refuse"`
	// AcceptLeaving takes new calls after the notice, as an engine does that
	// leaves it to others to stop sending.
	AcceptLeaving bool `json:"accept-leaving"`
	// Fail answers 500 after the call ran.
	Fail bool `json:"fail"`
}

// Faults holds what an upstream was told to do wrong.
type Faults struct {
	mu          sync.Mutex
	current     Fault
	connections int
	silentUpTo  int
}

type connectionKey struct{}

// Number gives each connection its number; it is an http.Server's ConnContext.
func (f *Faults) Number(ctx context.Context, _ net.Conn) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connections++
	return context.WithValue(ctx, connectionKey{}, f.connections)
}

// Current returns the faults in force.
func (f *Faults) Current() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// hush blocks for good on a connection that has gone silent.
func (f *Faults) hush(ctx context.Context) {
	number, _ := ctx.Value(connectionKey{}).(int)
	f.mu.Lock()
	silent := number <= f.silentUpTo && number > 0
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
}

// delay holds an answer back where that is asked for.
func (f *Faults) delay(ctx context.Context) {
	_ = pause(ctx, time.Duration(f.Current().DelayMS)*time.Millisecond)
}

// answerID returns the id to answer a call with.
func (f *Faults) answerID(call string) string {
	if f.Current().Cross {
		return "crossed-" + call
	}
	return call
}

// Service returns the route that puts faults in force.
func (f *Faults) Service() *restful.WebService {
	service := new(restful.WebService)
	service.Path("/faults")
	service.Route(service.PUT("").To(f.set))
	return service
}

// set puts faults in force; the connection that asks keeps working once.
func (f *Faults) set(request *restful.Request, response *restful.Response) {
	next := Fault{}
	if err := json.NewDecoder(request.Request.Body).Decode(&next); err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	f.current = next
	if next.Silence {
		f.silentUpTo = f.connections
	}
	f.mu.Unlock()
	response.AddHeader("Connection", "close")
	response.WriteHeader(http.StatusNoContent)
}
