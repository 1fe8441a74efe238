package dialer

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// options are the socket options that decide when a silent connection ends.
type options struct {
	idle, interval, userTimeout time.Duration
	probes                      int
}

// readOptions returns the options of a connection that the dialer opens.
func readOptions(t *testing.T, dialer *net.Dialer) options {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var o options
	get := func(fd uintptr, option int) int {
		value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	if err := raw.Control(func(fd uintptr) {
		o.idle = time.Duration(get(fd, unix.TCP_KEEPIDLE)) * time.Second
		o.interval = time.Duration(get(fd, unix.TCP_KEEPINTVL)) * time.Second
		o.userTimeout = time.Duration(get(fd, unix.TCP_USER_TIMEOUT)) * time.Millisecond
		o.probes = get(fd, unix.TCP_KEEPCNT)
	}); err != nil {
		t.Fatal(err)
	}
	return o
}

// survives returns the longest silence that ends no connection, and ends when a connection ends whose
// other end is gone, by the rules of tcp(7): with a user timeout, an idle connection ends at the first
// probe that is unanswered for an interval once that time has passed since it was last heard from.
func (o options) survives() (survives, ends time.Duration) {
	unanswered := 1
	if o.userTimeout == 0 {
		unanswered = o.probes
	}
	for o.userTimeout > 0 && o.idle+time.Duration(unanswered)*o.interval < o.userTimeout {
		unanswered++
	}
	survives = time.Duration(unanswered) * o.interval
	if o.userTimeout > 0 {
		survives = min(survives, o.userTimeout)
	}
	return survives, o.idle + time.Duration(unanswered)*o.interval
}

// Guards against connections to sound upstreams that end because they were silent for a second or so,
// and against calls that wait for an upstream that is gone.
func TestConnectionsSurviveASilentSecond(t *testing.T) {
	const leastSurvived, latestEnd = 1900 * time.Millisecond, 4 * time.Second
	o := readOptions(t, New())
	survives, ends := o.survives()
	if survives < leastSurvived {
		t.Errorf("silence that ends no connection: got %v, want at least %v (%+v)", survives, leastSurvived, o)
	}
	if ends > latestEnd || o.userTimeout == 0 || o.userTimeout > latestEnd {
		t.Errorf("end of a connection to an upstream that is gone: got %v idle and %v with calls, want at most %v", ends, o.userTimeout, latestEnd)
	}
}

// Guards against a model of the kernel's rules that accepts options under which half a second of
// silence ends a connection.
func TestModelOfSilentConnections(t *testing.T) {
	cases := map[string]struct {
		options  options
		survives time.Duration
		ends     time.Duration
	}{
		"user timeout below the idle time": {options: options{idle: 2 * time.Second, interval: 500 * time.Millisecond, probes: 3, userTimeout: 1200 * time.Millisecond}, survives: 500 * time.Millisecond, ends: 2500 * time.Millisecond},
		"no user timeout":                  {options: options{idle: 2 * time.Second, interval: 500 * time.Millisecond, probes: 3}, survives: 1500 * time.Millisecond, ends: 3500 * time.Millisecond},
		"two intervals to the timeout":     {options: options{idle: time.Second, interval: time.Second, probes: 1, userTimeout: 2500 * time.Millisecond}, survives: 2 * time.Second, ends: 3 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			survives, ends := c.options.survives()
			if survives != c.survives || ends != c.ends {
				t.Errorf("got survives %v and ends %v, want %v and %v", survives, ends, c.survives, c.ends)
			}
		})
	}
}
