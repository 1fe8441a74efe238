package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// engineOptions is how a stand-in engine is started.
type engineOptions struct {
	id, service, address string
	controls             string
	// runs is the file to which each request that runs is appended.
	runs string
	// unframed answers streams with neither a length nor chunks.
	unframed bool
	// born lets the engine state when it was started.
	born bool
	// events is how many events a stream has, and pause the time between two.
	events int
	pause  time.Duration
}

// plainTime is how long a request of a plain service takes.
const plainTime = 30 * time.Millisecond

// engine is a stand-in of an engine or plain service, as PROTOCOL.md describes it. It runs as a process of its own.
type engine struct {
	engineOptions
	log      *os.File
	bornMs   int64
	sequence atomic.Uint64
	running  atomic.Int64
}

// runEngine runs an engine until it is killed.
func runEngine(arguments []string) error {
	e := &engine{}
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	flags.StringVar(&e.id, "id", "", "the id")
	flags.StringVar(&e.service, "service", "", "the service")
	flags.StringVar(&e.address, "address", "", "the address")
	flags.StringVar(&e.controls, "controls", "", "the addresses of control")
	flags.StringVar(&e.runs, "runs", "", "the file of the runs")
	flags.BoolVar(&e.unframed, "unframed", false, "answer streams without a length or chunks")
	flags.BoolVar(&e.born, "born", false, "state when it was started")
	flags.IntVar(&e.events, "events", 42, "the events of a stream")
	flags.DurationVar(&e.pause, "pause", 100*time.Millisecond, "the time between events")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	log, err := os.OpenFile(e.runs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.log = log
	if e.born {
		e.bornMs = time.Now().UnixMilli()
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	go e.sendHeartbeats()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", e.report)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", e.id) })
	mux.HandleFunc("/", e.serve)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	return server.Serve(listener)
}

// heartbeat is the body of a heartbeat.
type heartbeat struct {
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	ColdRemainingMs int    `json:"cold_remaining_ms"`
	Sequence        uint64 `json:"sequence"`
	Born            int64  `json:"born,omitempty"`
}

// nextHeartbeat returns the body of the next heartbeat.
func (e *engine) nextHeartbeat() []byte {
	body, _ := json.Marshal(heartbeat{
		Service:  e.service,
		Address:  e.address,
		Zone:     "zone-a",
		Version:  "v1",
		Slots:    slots,
		State:    "ready",
		Sequence: e.sequence.Add(1),
		Born:     e.bornMs,
	})
	return body
}

// slots is how many requests an engine runs at once.
const slots = 64

// sendHeartbeats calls one control process after the other until one acknowledges.
func (e *engine) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	controls := strings.Split(e.controls, ",")
	for {
		body := e.nextHeartbeat()
		first := rand.IntN(len(controls))
		for i := range controlCount {
			address := controls[(first+i)%len(controls)]
			if status, err := post(client, address, "/v1/instances/"+e.id+"/heartbeat", body); err == nil && status/100 == 2 {
				break
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if e.born {
		_, _ = fmt.Fprintf(w, `{"born":%d,"stage":"combined","models":[],"busy":false,"sequence":0}`, e.bornMs)
		return
	}
	_, _ = fmt.Fprintf(w, `{"stage":"combined","models":[],"busy":false,"sequence":0,"queued_requests":0,"running_requests":%d,"kv_cache_used":0,"kv_cache_total":634464,"handles":0}`, e.running.Load())
}

// serve runs one request.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if attempt == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	_, _ = fmt.Fprintf(e.log, "%d %s %s %s\n", time.Now().UnixNano(), attempt, e.id, r.RequestURI)
	w.Header().Set("X-Engine-Signature", "proof-"+attempt)
	w.Header().Set("X-Engine-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), slots))
	if e.service == serviceLLM {
		e.stream(w, r, attempt)
		return
	}
	time.Sleep(plainTime)
	_, _ = io.WriteString(w, strings.Repeat("x", 800))
}

// stream answers with events.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	write, end, err := e.begin(w)
	if err != nil {
		return
	}
	defer end()
	for i := first; i < e.events; i++ {
		if err := write(fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, attempt, i)); err != nil {
			return
		}
		time.Sleep(e.pause)
	}
}

// begin sends the head of a stream, and returns how its events are written and how it is ended.
func (e *engine) begin(w http.ResponseWriter) (write func(string) error, end func(), err error) {
	if !e.unframed {
		controller := http.NewResponseController(w)
		return func(event string) error {
			if _, err := io.WriteString(w, event); err != nil {
				return err
			}
			return controller.Flush()
		}, func() {}, nil
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil, err
	}
	if err := writeHead(buffered.Writer, w.Header()); err != nil {
		return nil, nil, err
	}
	return func(event string) error {
		_, err := io.WriteString(conn, event)
		return err
	}, func() { _ = conn.Close() }, nil
}

func writeHead(w *bufio.Writer, header http.Header) error {
	if _, err := w.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n"); err != nil {
		return err
	}
	if err := header.Write(w); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	return w.Flush()
}

// run is one run of a request at an engine.
type run struct {
	at              time.Time
	attempt, engine string
}

// engineAddress returns the address of an engine by its number, from 1.
func (d *deployment) engineAddress(number int) string {
	return fmt.Sprintf("127.0.3.%d:%d", number, d.firstPort+portEngine)
}

// engineProcess is an engine that runs as a process.
type engineProcess struct {
	engineOptions
	cmd *exec.Cmd
}

// kill crashes the engine and waits for its end.
func (e *engineProcess) kill() {
	_ = e.cmd.Process.Kill()
	// A killed process returns an error.
	_ = e.cmd.Wait()
}

// engineID returns the id of an engine by its number.
func engineID(number int) string { return "i-" + strconv.Itoa(number) }

// startEngine starts an engine as a process.
func (d *deployment) startEngine(o engineOptions) (*engineProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	arguments := []string{
		"engine", "-id", o.id, "-service", o.service, "-address", o.address, "-controls", strings.Join(d.controlAddresses(), ","),
		"-runs", d.runsFile(), "-unframed=" + strconv.FormatBool(o.unframed), "-born=" + strconv.FormatBool(o.born), "-events", strconv.Itoa(o.events), "-pause", o.pause.String(),
	}
	cmd := exec.Command(self, arguments...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	e := &engineProcess{
		engineOptions: o,
		cmd:           cmd,
	}
	d.engines = append(d.engines, e)
	return e, nil
}

func (d *deployment) runsFile() string { return filepath.Join(d.folder, "runs") }

// runs returns all runs so far, in the order in which they were recorded.
func (d *deployment) runs() []run {
	content, _ := os.ReadFile(d.runsFile())
	var all []run
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) < 3 {
			continue
		}
		ns, _ := strconv.ParseInt(fields[0], 10, 64)
		all = append(all, run{
			at:      time.Unix(0, ns),
			attempt: fields[1],
			engine:  fields[2],
		})
	}
	return all
}
