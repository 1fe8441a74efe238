package stager

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crowdDialTimeout bounds how long a client of a crowd tries to connect.
	crowdDialTimeout = 5 * time.Second
	usageInterval    = 25 * time.Millisecond
)

// Crowd is a number of clients that all connect to one address, send the same and stay connected until Leave; its
// exported fields are set before Start.
type Crowd struct {
	Address string
	Clients int
	// Send writes what one client sends; an error ends the client, which stays connected.
	Send func(conn *net.TCPConn) error

	mu      sync.Mutex
	conns   []*net.TCPConn
	left    bool
	senders sync.WaitGroup
}

// Start connects the clients and lets them send at the same time.
func (c *Crowd) Start() {
	for range c.Clients {
		c.senders.Go(c.runClient)
	}
}

func (c *Crowd) runClient() {
	conn, err := net.DialTimeout("tcp", c.Address, crowdDialTimeout)
	if err != nil {
		return
	}
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP || !c.add(tcp) {
		_ = conn.Close()
		return
	}
	// A server that refuses the client closes its connection.
	_ = c.Send(tcp)
}

// add adds a connection, or returns false once the clients have left.
func (c *Crowd) add(conn *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

// Await waits until all clients have sent everything, or have been refused, or a time has passed.
func (c *Crowd) Await(timeout time.Duration) {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		c.senders.Wait()
	}()
	select {
	case <-sent:
	case <-time.After(timeout):
	}
}

// Leave closes all connections and waits for the clients to end.
func (c *Crowd) Leave() {
	c.mu.Lock()
	c.left = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.senders.Wait()
}

// Usage is what a process uses.
type Usage struct {
	// Memory is the resident memory in bytes, with the bytes that wait in the kernel for the process or its peers;
	// PeakMemory is the most that was resident.
	Memory      int64
	PeakMemory  int64
	Descriptors int
}

// ReadUsage returns what a process uses whose connections have a local IPv4 address, or address and port.
func ReadUsage(pid int, address string) (Usage, error) {
	var u Usage
	status, err := os.ReadFile(procPath(pid, "status"))
	if err != nil {
		return u, fmt.Errorf("read the usage of a process: %w; it may have exited", err)
	}
	if u.PeakMemory, err = statusBytes(string(status), "VmHWM:"); err != nil {
		return u, err
	}
	if u.Memory, err = statusBytes(string(status), "VmRSS:"); err != nil {
		return u, err
	}
	descriptors, err := os.ReadDir(procPath(pid, "fd"))
	if err != nil {
		return u, fmt.Errorf("read the descriptors of a process: %w; it may have exited", err)
	}
	u.Descriptors = len(descriptors)
	sockets, err := os.ReadFile(procPath(pid, "net", "tcp"))
	if err != nil {
		return u, fmt.Errorf("read the connections of a process: %w; it may have exited", err)
	}
	u.Memory += queuedBytes(string(sockets), address)
	return u, nil
}

func procPath(pid int, name ...string) string {
	return filepath.Join(append([]string{"/proc", strconv.Itoa(pid)}, name...)...)
}

func statusBytes(status, name string) (int64, error) {
	for line := range strings.Lines(status) {
		text, found := strings.CutPrefix(line, name)
		if !found {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("decode %s of a process: %w", name, err)
		}
		return kib << 10, nil
	}
	return 0, fmt.Errorf("a process states no %s; it may have exited", name)
}

// queuedBytes returns how many bytes wait in the send and receive queues of the connections with a local address, by the
// kernel's table of them.
func queuedBytes(table, address string) int64 {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	ip := net.ParseIP(host).To4()
	if ip == nil {
		return 0
	}
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	if number, err := strconv.ParseUint(port, 10, 16); err == nil {
		local += fmt.Sprintf("%04X", number)
	}
	const localField, stateField, queueField, listening = 1, 3, 4, "0A"
	var sum int64
	for line := range strings.Lines(table) {
		fields := strings.Fields(line)
		if len(fields) <= queueField || !strings.HasPrefix(fields[localField], local) || fields[stateField] == listening {
			continue
		}
		sent, received, _ := strings.Cut(fields[queueField], ":")
		for _, queue := range []string{sent, received} {
			if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
				sum += n
			}
		}
	}
	return sum
}

// WatchUsage reads a process's usage until stop is called, which returns the highest values, and an error if the
// process has exited meanwhile.
func WatchUsage(pid int, address string) (stop func() (Usage, error)) {
	done := make(chan struct{})
	var highest Usage
	var failure error
	var watcher sync.WaitGroup
	read := func() {
		u, err := ReadUsage(pid, address)
		failure = errors.Join(failure, err)
		highest.Memory = max(highest.Memory, u.Memory)
		highest.PeakMemory = max(highest.PeakMemory, u.PeakMemory)
		highest.Descriptors = max(highest.Descriptors, u.Descriptors)
	}
	watcher.Go(func() {
		ticker := time.NewTicker(usageInterval)
		defer ticker.Stop()
		for failure == nil {
			select {
			case <-done:
				return
			case <-ticker.C:
				read()
			}
		}
	})
	return func() (Usage, error) {
		close(done)
		watcher.Wait()
		if failure == nil {
			read()
		}
		return highest, failure
	}
}
