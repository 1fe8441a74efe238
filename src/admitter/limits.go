package admitter

import (
	"cmp"
	"time"

	"github.com/rosecroft/rosecroft/src/parser"
)

// The fractions of a process's memory limit that its clients may hold together. At an entry, buffered answers, relayed
// calls and the process itself need the rest, at control messages of other processes.
const (
	EntryMemoryFraction   = 0.25
	ControlMemoryFraction = 0.15
)

// The fractions of a process's file descriptors that the clients of a listener may use.
const (
	CallerFraction   = 0.35
	OperatorFraction = 0.5
	PeerFraction     = 0.12
	// ControlPeerFraction is that of entries and voters at control, each of which keeps a connection.
	ControlPeerFraction = 0.42
	// UpstreamFraction is that of upstreams that announce themselves to an entry.
	UpstreamFraction = 0.12
	// ProbeFraction is that of load balancers' probes and of scrapers of metrics.
	ProbeFraction = 0.02
)

// The defaults of Limits.
const (
	DefaultBytes          = 64 << 20
	DefaultRequestTimeout = 30 * time.Second
	DefaultAnswerTimeout  = 30 * time.Second
)

const (
	// receiveBuffer and sendBuffer are the sizes of a connection's buffers in the kernel, largeReceiveBuffer that of
	// one on which a large body is sent. The kernel doubles what it is given, and allocates it on demand.
	receiveBuffer      = 16 << 10
	sendBuffer         = 32 << 10
	largeReceiveBuffer = 64 << 10
	// peerBuffer is the size of each buffer of a connection to another process of the system.
	peerBuffer = 256 << 10
	// connectionBytes is what a connection holds by itself: buffers, stacks and the server's state, and what its client
	// can have sent before it is read.
	connectionBytes = 16<<10 + 2*receiveBuffer
	// largeBytes is the size of a body from which its client may send more at once.
	largeBytes = 128 << 10
	// lineBytes is what a line of a head takes besides its bytes.
	lineBytes = 128
	// maxShare is the largest part of the room left by all others that one client may hold, so that small requests fit
	// beside large ones.
	maxShare = 0.75
	// overlap is the part, one in overlap, by which new connections may exceed a limit while others are being closed.
	overlap = 8
	// maxDescriptors bounds the number of descriptors of which fractions are taken.
	maxDescriptors = 1 << 20
	// minConnections is the least limit that a fraction of the descriptors results in.
	minConnections = 16

	// silentTime is how long a new connection may be silent, and stallTime how long a client may send nothing of a
	// request that it has begun, or take nothing of its answer, before it is closed where others need the room.
	silentTime = 250 * time.Millisecond
	stallTime  = time.Second
	// minRate is the rate in bytes a second below which a request counts as stalled, too.
	minRate = 16 << 10
	// roomTimeout bounds the wait for the room of connections that are being closed.
	roomTimeout = 500 * time.Millisecond
	// drainTime bounds how long what follows a refusal is read, so that the refusal is not lost with the connection, and
	// drainBytes how much.
	drainTime  = 300 * time.Millisecond
	drainBytes = 64 << 10
	// checkInterval is how often connections are checked for answers that are not taken, and for what waits in the
	// kernel.
	checkInterval = 250 * time.Millisecond
	// logInterval is the minimum time between two log lines about refusals of one kind.
	logInterval = time.Second
)

// Limits bounds what all clients of a process hold; a zero field stands for its default.
type Limits struct {
	// Bytes bounds what all clients hold of requests.
	Bytes int64
	// AnswerBytes bounds what clients hold of answers that they take nothing of for a second, by default half of Bytes.
	AnswerBytes int64
	// RequestTimeout bounds reading a request, from its first byte to the end of its body.
	RequestTimeout time.Duration
	// AnswerTimeout bounds how long a client may take nothing of its answer.
	AnswerTimeout time.Duration
}

// NewLimits returns the limits of a process's settings; bytes is the default of Bytes.
func NewLimits(settings parser.ClientLimits, bytes int64) Limits {
	return Limits{
		Bytes:          cmp.Or(int64(settings.MemoryMiB)<<20, bytes),
		AnswerBytes:    int64(settings.UntakenAnswersMiB) << 20,
		RequestTimeout: settings.RequestTimeout,
		AnswerTimeout:  settings.AnswerTimeout,
	}
}

func (l Limits) withDefaults() Limits {
	if l.Bytes == 0 {
		l.Bytes = DefaultBytes
	}
	if l.AnswerBytes == 0 {
		l.AnswerBytes = l.Bytes / 2
	}
	if l.RequestTimeout == 0 {
		l.RequestTimeout = DefaultRequestTimeout
	}
	if l.AnswerTimeout == 0 {
		l.AnswerTimeout = DefaultAnswerTimeout
	}
	return l
}
