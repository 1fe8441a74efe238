package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerSignature = "X-Engine-Signature"
	headerAttempt   = "X-Attempt-Id"
	// eventPause is the time between two events of a stream, and eventCount how many it has.
	eventPause = 60 * time.Millisecond
	eventCount = 55
	bookTime   = 30 * time.Millisecond
	idleTime   = 5 * time.Second
)

// engine is an engine of one service at one address; it speaks PROTOCOL.md.
type engine struct {
	fleet   *fleet
	service string
	address string
	slots   int
	// spoilOne says of how many answers one is followed by late bytes that belong to no request, 0 for none.
	spoilOne int

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
	stop     chan struct{}
	answers  int
	spoiling bool
	// limit is what the engine states as its Server-Limit, "" for nothing.
	limit string
	// leaving is set once the engine has said that it leaves.
	leaving bool
	runs    []engineRun
}

// engineRun is a request that an engine has begun to run.
type engineRun struct {
	attempt string
	engine  string
	// account is what the request names as its client account first.
	account string
	at      time.Time
}

// addEngine starts an engine.
func (f *fleet) addEngine(service string, slots int, change func(e *engine)) error {
	f.mu.Lock()
	e := &engine{
		fleet:   f,
		service: service,
		address: fmt.Sprintf("%s:%d", f.addressOf(classEngine, len(f.engines)+1), f.firstPort+3),
		slots:   slots,
	}
	f.engines = append(f.engines, e)
	f.mu.Unlock()
	if change != nil {
		change(e)
	}
	return e.begin()
}

// begin starts a new lifetime of the engine, with a new id.
func (e *engine) begin() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id = fmt.Sprintf("i-%08x", rand.Uint32())
	e.born = time.Now().UnixMilli()
	e.sequence = 0
	e.listener = listener
	e.conns = make(map[net.Conn]bool)
	e.stop = make(chan struct{})
	e.fleet.record.add("engine %s of %s starts at %s", e.id, e.service, e.address)
	go e.accept(listener)
	go e.beat(e.stop)
	return nil
}

// end ends the engine's process: its connections are closed by the kernel, and it says nothing any more.
func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return
	}
	e.fleet.record.add("engine %s ends", e.id)
	close(e.stop)
	_ = e.listener.Close()
	e.listener = nil
	for conn := range e.conns {
		_ = conn.Close()
	}
}

func (e *engine) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

// beat sends heartbeats to control processes in turn, as one of them does not answer to the next.
func (e *engine) beat(stop chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if path, body := e.nextHeartbeat(); path != "" {
			e.call(path, body)
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// nextHeartbeat returns the next heartbeat, "" from an engine that has said that it leaves.
func (e *engine) nextHeartbeat() (path, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return "", ""
	}
	e.sequence++
	return "/v1/instances/" + e.id + "/heartbeat", e.heartbeat()
}

// deregister says that the engine leaves, and returns when that was acknowledged; the engine serves on.
func (e *engine) deregister() (time.Time, error) {
	e.mu.Lock()
	e.leaving = true
	id, body := e.id, fmt.Sprintf(`{"born":%d}`, e.born)
	e.mu.Unlock()
	if !e.call("/v1/instances/"+id+"/deregister", body) {
		return time.Time{}, fmt.Errorf("%s got no acknowledgement", id)
	}
	e.fleet.record.add("engine %s deregisters, acknowledged", id)
	return time.Now(), nil
}

// heartbeat returns the body of a heartbeat; the caller holds mu.
func (e *engine) heartbeat() string {
	model := ""
	if e.service == llmService {
		model = `"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],`
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"talca-a","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,%s"sequence":%d,"born":%d}`,
		e.service, e.address, e.slots, model, e.sequence, e.born)
}

// call calls one control process after the other until one acknowledges, and reports whether one did.
func (e *engine) call(path, body string) bool {
	controls := e.fleet.controls
	first := rand.IntN(len(controls))
	for i := range controls {
		if e.fleet.post(controls[(first+i)%len(controls)], path, body) == http.StatusOK {
			return true
		}
	}
	return false
}

// serve serves one connection, one request at a time.
func (e *engine) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	// late is what still arrives after the last answer.
	late := ""
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTime))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, request.Body)
		_ = conn.SetReadDeadline(time.Time{})
		if err != nil {
			return
		}
		if late != "" {
			e.fleet.record.add("engine %s: late bytes arrive after an earlier answer, before that to %s", e.id, request.Header.Get(headerAttempt))
			_, _ = io.WriteString(conn, late)
		}
		var goesOn bool
		if late, goesOn = e.answer(conn, request); !goesOn {
			return
		}
	}
}

// answer answers one request. It returns what will arrive late, and whether the connection stays open.
func (e *engine) answer(conn net.Conn, request *http.Request) (late string, goesOn bool) {
	if request.Method == http.MethodGet {
		return "", e.writeReport(conn, request.URL.Path)
	}
	attempt := request.Header.Get(headerAttempt)
	e.mu.Lock()
	id := e.id
	expected := request.Header.Get("X-Expected-Instance")
	if expected != "" && expected != id {
		e.mu.Unlock()
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", headerAttempt, attempt)
		return "", err == nil
	}
	account := request.Header.Get("X-Tenant")
	e.runs = append(e.runs, engineRun{attempt: attempt, engine: id, account: account, at: time.Now()})
	e.answers++
	spoils := e.spoiling && e.spoilOne > 0 && e.answers%e.spoilOne == 0
	limit, leaving := e.limit, e.leaving
	e.mu.Unlock()
	e.fleet.record.add("engine %s runs %s of %s", id, attempt, account)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3e1b.07.%s\r\n", headerAttempt, attempt, headerSignature, attempt)
	if leaving {
		head += "Server-Leaving: 1\r\n"
	}
	if limit != "" {
		head += "Server-Limit: " + limit + "\r\n"
	}
	if strings.HasPrefix(request.URL.Path, draftPath) {
		return "", e.stream(conn, request, head)
	}
	time.Sleep(bookTime)
	const body = "booked"
	_, err := fmt.Fprintf(conn, "%sContent-Type: text/plain\r\nKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s", head, int(idleTime.Seconds()), len(body), body)
	if spoils {
		late = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	return late, err == nil
}

// writeReport answers a probe or a question for the engine's report.
func (e *engine) writeReport(conn net.Conn, path string) bool {
	e.mu.Lock()
	id := e.id
	content := fmt.Sprintf(`{"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued_requests":0,`+
		`"running_requests":%d,"kv_cache_used":0,"kv_cache_total":634464,"handles":0,"born":%d}`, len(e.conns)/2, e.born)
	e.mu.Unlock()
	if path == "/health" {
		content = ""
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", id, len(content), content)
	return err == nil
}

// stream sends the events of a stream, after the one that the request names as its last.
func (e *engine) stream(conn net.Conn, request *http.Request, head string) bool {
	first := 0
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	head += "Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for n := first; n < eventCount; n++ {
		time.Sleep(eventPause)
		event := fmt.Sprintf("id: %d\ndata: %d/%d\n\n", n, n+1, eventCount)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// setSpoiling begins or ends the time in which the engine spoils answers.
func (e *engine) setSpoiling(spoiling bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spoiling = spoiling
}

// setLimit sets what the engine states as its limit, "" for nothing.
func (e *engine) setLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// allRuns returns what the engines have run.
func (f *fleet) allRuns() []engineRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []engineRun
	for _, e := range f.engines {
		e.mu.Lock()
		all = append(all, e.runs...)
		e.mu.Unlock()
	}
	return all
}
