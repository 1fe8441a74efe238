package acceptor

import "time"

const (
	// rateInterval is how often the rate is adapted.
	rateInterval = 50 * time.Millisecond
	// overloadTime is how long the instance must be overloaded before new connections are limited: a few
	// large requests fill a small link for a moment.
	overloadTime = 300 * time.Millisecond
	// initialFraction is the fraction of the connections, or of the requests that the overloaded instance has
	// read if these are fewer, at which a limit begins. The limit falls by fallPerSecond while the instance is
	// overloaded. It rises while it is not, by risePerSecond and, from kneeFraction of where it began to fall
	// last, by slowRisePerSecond.
	initialFraction   = 0.8
	fallPerSecond     = 0.9
	risePerSecond     = 0.4
	slowRisePerSecond = 0.08
	kneeFraction      = 0.8
	// minRate is the least number of new connections a second: callers must always find out that they can
	// come back, and the load balancer that the instance lives.
	minRate = 10
	// endTime is for how long a limit must not have refused a connection, nor the instance been overloaded,
	// before the limit ends.
	endTime = 2 * time.Second
	// meanTime is over how long the rates of accepted connections and of requests read are averaged.
	meanTime = time.Second
)

// rate adapts how many new connections a second are accepted. It is a state machine without a clock.
type rate struct {
	// perSecond is the limit, 0 while there is none.
	perSecond float64
	tokens    float64
	// overloadedFor is for how long the instance has been overloaded before there was a limit. calmFor is for
	// how long it has not been since, and no connection has been refused.
	overloadedFor time.Duration
	calmFor       time.Duration
	// wasOverloaded is set if the instance was overloaded in the last interval, refuses if the limit has
	// refused connections since.
	wasOverloaded bool
	refuses       bool
	// knee is the rate of connections that were accepted and read when the last overload began.
	knee float64
	// accepted counts the connections of the current interval. meanAccepted and meanRead are the rates of
	// accepted connections and of requests read.
	accepted     float64
	meanAccepted float64
	meanRead     float64
}

// isOpen reports whether a connection may be accepted.
func (r *rate) isOpen() bool { return r.perSecond == 0 || r.tokens >= 1 }

// accept counts an accepted connection.
func (r *rate) accept() {
	r.accepted++
	if r.perSecond > 0 {
		r.tokens--
		r.refuses = r.refuses || r.tokens < 1
	}
}

// step adapts the limit at the end of an interval, in which the instance has read some requests, and reports whether
// it has begun or ended. An instance without processor time has long intervals.
func (r *rate) step(interval time.Duration, overloaded bool, read int) (changed bool) {
	r.updateMeans(interval, float64(read))
	if !overloaded {
		r.overloadedFor = 0
	} else {
		r.overloadedFor += interval
	}
	if r.perSecond == 0 {
		if r.overloadedFor < overloadTime {
			return false
		}
		r.knee = min(r.meanRead, r.meanAccepted)
		r.perSecond = max(minRate, initialFraction*r.knee)
		r.tokens, r.overloadedFor, r.wasOverloaded = 0, 0, true
		return true
	}
	r.adapt(min(1, interval.Seconds()), overloaded)
	r.wasOverloaded = overloaded
	r.tokens = min(r.tokens+r.perSecond*interval.Seconds(), max(1, 2*r.perSecond*rateInterval.Seconds()))
	if overloaded || r.refuses {
		r.calmFor, r.refuses = 0, false
		return false
	}
	r.calmFor += interval
	if r.calmFor < endTime {
		return false
	}
	r.perSecond = 0
	return true
}

// adapt lowers or raises the limit.
func (r *rate) adapt(seconds float64, overloaded bool) {
	switch {
	case overloaded:
		if !r.wasOverloaded {
			r.knee = min(r.meanRead, r.meanAccepted)
		}
		r.perSecond = max(minRate, min(r.perSecond, max(minRate, r.knee))*(1-fallPerSecond*seconds))
	case r.perSecond < kneeFraction*r.knee:
		r.perSecond *= 1 + risePerSecond*seconds
	default:
		r.perSecond *= 1 + slowRisePerSecond*seconds
	}
}

// updateMeans updates the rates at the end of an interval.
func (r *rate) updateMeans(interval time.Duration, read float64) {
	weight := min(1, float64(interval)/float64(meanTime))
	r.meanAccepted += weight * (r.accepted/interval.Seconds() - r.meanAccepted)
	r.meanRead += weight * (read/interval.Seconds() - r.meanRead)
	r.accepted = 0
}
