package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// largeEntries are the entries of the carm-recall sheet, and largeClients the clients, each on a kept connection.
	largeEntries = 7
	largeClients = 100
	// largeBody is the length of a body, max_body_bytes of the configuration.
	largeBody = 4 << 20
	// largeSenders is how many clients send at a time, and largeRate how fast all of them together, in bytes a second:
	// less than the 1,000 Mbit/s of an entry's link.
	largeSenders = 4
	largeRate    = 100 << 20
	largePiece   = 64 << 10
	// largePrefill is the time to the first event. Clients wait for 4 s.
	largePrefill  = 3 * time.Second
	largePatience = 4 * time.Second
	// memoryLimit is memory_mb of an entry, in MiB.
	memoryLimit = 284
	// maxUnanswered is how many requests the rule allows.
	maxUnanswered = 3
)

// largeBodies hands all clients to one entry, each of which then sends a request with a body of the greatest length.
func largeBodies(r *record, trouble bool) (bool, error) {
	d, err := startDeployment(r, largeEntries)
	defer d.close()
	if err != nil {
		return false, err
	}
	if err := d.declare(d.configuration()); err != nil {
		return false, err
	}
	if err := d.startSlowEngines(); err != nil {
		return false, err
	}
	if err := d.awaitServing(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var killed atomic.Int64
	go d.enforceMemory(ctx, &killed)
	clients := make([]*keptClient, largeClients)
	for i := range clients {
		entry := d.entries[0]
		if !trouble {
			entry = d.entries[i%len(d.entries)]
		}
		if clients[i], err = d.keepConnection(entry); err != nil {
			return false, err
		}
	}
	r.line("%d clients have a kept connection each, all to %s: %t", largeClients, d.entries[0].name, trouble)
	var group sync.WaitGroup
	senders := make(chan struct{}, largeSenders)
	for _, c := range clients {
		group.Go(func() { c.sendLarge(senders) })
	}
	group.Wait()
	return d.checkUnanswered(clients, int(killed.Load())), nil
}

// startSlowEngines starts engines whose streams begin late, and an instance of the plain service.
func (d *deployment) startSlowEngines() error {
	for i := range 4 {
		_, err := d.startEngine(engineOptions{
			id:      engineID(i),
			service: serviceLLM,
			address: d.engineAddress(i + 1),
			born:    true,
			prefill: largePrefill,
			events:  20,
			pause:   streamPause,
		})
		if err != nil {
			return err
		}
	}
	_, err := d.startEngine(engineOptions{
		id:      "p-0",
		service: servicePlain,
		address: d.engineAddress(9),
		born:    true,
	})
	return err
}

// enforceMemory kills each entry that uses more memory than it has, as the platform does.
func (d *deployment) enforceMemory(ctx context.Context, killed *atomic.Int64) {
	peak := make(map[string]int)
	for ctx.Err() == nil {
		for _, entry := range d.entries {
			used := entry.anonymousMemory()
			if used > peak[entry.name]+32 {
				peak[entry.name] = used
				d.record.line("%s uses %d MiB", entry.name, used)
			}
			if used > memoryLimit {
				d.record.line("%s uses %d of %d MiB, the platform kills it", entry.name, used, memoryLimit)
				entry.signal(syscall.SIGKILL)
				killed.Add(1)
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// anonymousMemory returns the memory of a process apart from what it has mapped from files, in MiB.
func (m *member) anonymousMemory() int {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	for line := range strings.Lines(string(content)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kib >> 10
		}
	}
	return 0
}

// keptClient is a client that has had an answer on its connection.
type keptClient struct {
	deployment *deployment
	entry      *member
	conn       net.Conn
	reader     *bufio.Reader
	attempt    string
	// received is how many bytes of an answer the client got for its large request, and err how that ended.
	received int64
	status   int
	err      error
}

// keepConnection opens a connection and sends a first, small request on it.
func (d *deployment) keepConnection(entry *member) (*keptClient, error) {
	conn, err := net.Dial("tcp", d.address(entry, portMain))
	if err != nil {
		return nil, err
	}
	c := &keptClient{
		deployment: d,
		entry:      entry,
		conn:       conn,
		reader:     bufio.NewReader(conn),
		attempt:    fmt.Sprintf("%016x", rand.Uint64()),
	}
	_, err = fmt.Fprintf(conn, "GET /status/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %016x\r\nX-Key: %s\r\nX-Deadline-Ms: 1500\r\n\r\n", callerHost, rand.Uint64(), d.keys[0])
	if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("the first request on a connection was answered %d", response.StatusCode)
	}
	return c, err
}

// sendLarge sends a request with a large body, at its share of the rate, and reads the answer.
func (c *keptClient) sendLarge(senders chan struct{}) {
	defer func() { _ = c.conn.Close() }()
	senders <- struct{}{}
	c.err = c.writeLarge()
	<-senders
	if c.err != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(largePatience))
	if _, c.err = c.reader.Peek(1); c.err != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(streamLimit))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.received, c.err = 1, err
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.status = response.StatusCode
	c.received, c.err = io.Copy(io.Discard, response.Body)
}

func (c *keptClient) writeLarge() error {
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		streamPath, callerHost, c.attempt, c.deployment.keys[0], streamLimit.Milliseconds(), largeBody)
	piece := make([]byte, largePiece)
	for sent := 0; sent < largeBody && err == nil; sent += largePiece {
		_, err = c.conn.Write(piece)
		time.Sleep(largePiece * largeSenders * time.Second / largeRate)
	}
	return err
}

// checkUnanswered records what became of the large requests, and reports whether too many were passed on to an engine and
// their connection closed without an answer.
func (d *deployment) checkUnanswered(clients []*keptClient, killed int) bool {
	ranAt := make(map[string]string)
	for _, ran := range d.runs() {
		ranAt[ran.attempt] = ran.engine
	}
	unanswered := 0
	for _, c := range clients {
		isUnanswered := ranAt[c.attempt] != "" && c.status == 0 && c.err != nil && !os.IsTimeout(c.err)
		if isUnanswered {
			unanswered++
		}
		d.record.line("request %s of %d bytes at %s, ran at %q: status %d, %d bytes, error: %v, closed without an answer: %t",
			c.attempt, largeBody, c.entry.name, ranAt[c.attempt], c.status, c.received, c.err, isUnanswered)
	}
	d.record.line("%d entries were killed; %d of %d requests were passed on to an engine and got no answer", killed, unanswered, len(clients))
	return unanswered > maxUnanswered
}
