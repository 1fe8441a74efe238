package evaluator

import "math"

// sample is a number of calls and how many of them failed.
type sample struct {
	calls    int
	failures int
}

func (s sample) plus(other sample) sample {
	return sample{
		calls:    s.calls + other.calls,
		failures: s.failures + other.failures,
	}
}

// rate returns the share of calls that failed, 0 without calls.
func (s sample) rate() float64 {
	if s.calls == 0 {
		return 0
	}
	return float64(s.failures) / float64(s.calls)
}

// tailProbability returns how probable it is that an upstream has at least as many failures as it has
// if the failures of all calls, its own and its peers', fall on calls at random (Fisher's exact test).
// The test needs no known rate, so it holds with few calls, and with peers that never fail.
func tailProbability(own, peers sample) float64 {
	all := own.plus(peers)
	highest := min(own.calls, all.failures)
	if own.failures > highest || peers.calls == 0 {
		return 1
	}
	term := math.Exp(logChoose(own.calls, own.failures) + logChoose(peers.calls, peers.failures) - logChoose(all.calls, all.failures))
	sum := 0.0
	for k := own.failures; k <= highest; k++ {
		sum += term
		// The ratio of two successive terms of the hypergeometric distribution.
		term *= float64(own.calls-k) * float64(all.failures-k) / (float64(k+1) * float64(peers.calls-all.failures+k+1))
	}
	return min(1, sum)
}

func logChoose(n, k int) float64 {
	total, _ := math.Lgamma(float64(n) + 1)
	chosen, _ := math.Lgamma(float64(k) + 1)
	rest, _ := math.Lgamma(float64(n-k) + 1)
	return total - chosen - rest
}
