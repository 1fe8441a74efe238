package admitter

import "time"

// phase is the part of a request that a connection is at.
type phase int

const (
	// phaseSilent is a new connection on which nothing has been received.
	phaseSilent phase = iota
	// phaseIdle is a connection between two requests.
	phaseIdle
	phaseHead
	phaseBody
	// phaseRunning is a request that has been read whole.
	phaseRunning
	// phaseDraining is a connection after its answer, while what was not read of its request is skipped.
	phaseDraining
)

// String returns the phase's name in logs and metrics.
func (p phase) String() string {
	return [...]string{"silent", "idle", "head", "body", "running", "draining"}[p]
}

// holding is what decides which connection is closed to make room.
type holding struct {
	phase phase
	bytes int64
	// received is how much of the current request has been received since beganAt.
	received int64
	beganAt  time.Time
	// progressAt is when the client last sent or took something, or its connection became idle.
	progressAt time.Time
	// answering is set while something is being written to the client.
	answering bool
}

// rank orders connections that may be closed to make room; a higher one goes first.
type rank int

const (
	rankNever rank = iota
	rankLarge
	rankIdle
	rankStalled
)

// rank returns the connection's rank, and the kind of refusal if it is closed. needed is what the client that needs
// room would hold; only larger requests yield to it.
func (h *holding) rank(now time.Time, needed int64) (rank, Kind) {
	quiet := now.Sub(h.progressAt)
	switch h.phase {
	case phaseSilent:
		if quiet >= silentTime {
			return rankStalled, Silent
		}
	case phaseIdle:
		return rankIdle, Idle
	case phaseHead, phaseBody:
		patience := stallTime + time.Duration(float64(h.received)/minRate*float64(time.Second))
		if quiet >= stallTime || now.Sub(h.beganAt) >= patience {
			return rankStalled, Stalled
		}
		if h.bytes > needed {
			return rankLarge, Largest
		}
	case phaseRunning, phaseDraining:
		if h.answering && quiet >= stallTime {
			return rankStalled, Untaken
		}
	}
	return rankNever, ""
}

// goesBefore reports whether h is closed before other, both of the same rank: of idle connections the one that has been
// idle longest, of others the larger one, and the one without progress for longer where both hold the same.
func (h *holding) goesBefore(other *holding, r rank) bool {
	if r != rankIdle && h.bytes != other.bytes {
		return h.bytes > other.bytes
	}
	return h.progressAt.Before(other.progressAt)
}
