package releaser

import (
	"fmt"
	"math"
	"slices"
)

const (
	// falseAlarm is the chance at which a good version may be found bad on one route.
	falseAlarm = 3e-5
	// leastFailures is the part of failing answers that is expected of any version.
	leastFailures = 0.004
	// roughness is by how many standard errors the other version may fail more than seen.
	roughness = 1.5
	// sureness is by how many standard errors a version must be slower than slowed times
	// the other one. An upstream that is slow for reasons of its own stays below that.
	sureness = 3.5
	slowed   = 1.5
	// slowedFirst holds for the first byte of streams instead: upstreams that have just
	// started have kept no prompt and read all of it.
	slowedFirst = 2.6
	// leastSlow is how many answers a version needs before its speed is judged.
	leastSlow = 20
)

// excess holds the parts of failing answers beyond the usual that a bad version may have.
var excess = [...]float64{0.03, 0.1, 0.4}

// worse returns why the target's answers on a route are worse than the other version's,
// "" where they do not show it.
func worse(target, other *Sample) string {
	evidence := failureEvidence(target, other)
	if slices.Max(evidence[:]) > -math.Log(falseAlarm) {
		return fmt.Sprintf("%.0f of %.0f answers failed, %.0f of %.0f at the other version",
			target.Failures, target.Answers, other.Failures, other.Answers)
	}
	first := slowed
	if target.Pace.Count > 0 {
		first = slowedFirst
	}
	if slower(target.First, other.First, first) {
		return fmt.Sprintf("the first byte takes %.1f times as long", ratio(target.First, other.First))
	}
	if slower(target.Pace, other.Pace, slowed) {
		return fmt.Sprintf("events take %.1f times as long", ratio(target.Pace, other.Pace))
	}
	return ""
}

// failureEvidence returns the logarithms of how much likelier the target's failures are with
// each excess than without one.
func failureEvidence(target, other *Sample) [len(excess)]float64 {
	// What is known of the other version is rough while it has few answers.
	p := (other.Failures + 1) / (other.Answers + 2)
	usual := max(leastFailures, p+roughness*math.Sqrt(p*(1-p)/(other.Answers+2)))
	var evidence [len(excess)]float64
	for i, e := range excess {
		bad := min(usual+e, (usual+1)/2)
		evidence[i] = target.Failures*math.Log(bad/usual) + (target.Answers-target.Failures)*math.Log((1-bad)/(1-usual))
	}
	return evidence
}

// slower reports whether a version surely takes times as long as another.
func slower(target, other Moments, times float64) bool {
	if target.Count < leastSlow || other.Count < leastSlow {
		return false
	}
	margin := sureness * math.Sqrt(target.variance()+other.variance())
	return target.mean()-other.mean()-margin > math.Log(times)
}

func ratio(target, other Moments) float64 { return math.Exp(target.mean() - other.mean()) }
