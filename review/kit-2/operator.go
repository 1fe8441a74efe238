package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// What the configuration names.
const (
	host       = "ficu95.example"
	bookPath   = "/pufi791/book"
	draftPath  = "/lohu930/2f"
	account    = "hule930"
	appService = "wuno96b"
	llmService = "huvo11a"
)

// configurationText is a configuration: bookings, which may run once, and streams, which may be resumed.
const configurationText = `{"version":%d,
"routes":[
{"name":"r-book","host":"ficu95.example","path_prefix":"/pufi791/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":1,
"service":"wuno96b","max_attempts":1,"allow_anonymous":false,"sticky_sessions":false,"resume_streams":false},
{"name":"r-draft","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":12000,"target_latency_ms":1000,"priority":1,
"service":"huvo11a","max_attempts":2,"allow_anonymous":false,"sticky_sessions":true,"resume_streams":true,"target_gap_ms":500}],
"services":[
{"name":"wuno96b","health_path":"/health","max_connections":100,"protocol":"h1","tls":false},
{"name":"huvo11a","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_cache_tokens":634464,
"kv_token_bytes":327680,"link_mbps":1500000.0,"moves":true,"backups":true,"stride":7,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["i9n73hh2b9wu3fexd9dn"],"priority":1},
{"name":"fida11","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

// declare sends a configuration until it is acknowledged.
func (f *fleet) declare(version int) error {
	const tries, pause = 60, 250 * time.Millisecond
	for i := range tries {
		target := f.controls[i%len(f.controls)]
		status := f.post(target, "/v1/configuration/replace", fmt.Sprintf(configurationText, version))
		if status == http.StatusOK {
			f.record.add("configuration %d acknowledged by %s", version, target.name)
			return nil
		}
		time.Sleep(pause)
	}
	return errors.New("the configuration was not acknowledged")
}

// post sends a call to a control process and returns the status of its answer, 0 for none.
func (f *fleet) post(target *process, path, body string) int {
	response, err := f.client.Post("http://"+target.outsideAddress()+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// awaitServing waits until each entry serves bookings and streams.
func (f *fleet) awaitServing() error {
	const patience, pause = 15 * time.Second, 100 * time.Millisecond
	until := time.Now().Add(patience)
	for _, e := range f.entries {
		for {
			booked := f.send(e, request{path: bookPath, timeLimit: 1500 * time.Millisecond})
			streamed := f.send(e, request{path: draftPath, timeLimit: 12 * time.Second, stream: true})
			if booked.status == http.StatusOK && streamed.status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s does not serve: %d and %d", e.name, booked.status, streamed.status)
			}
			time.Sleep(pause)
		}
	}
	return nil
}
