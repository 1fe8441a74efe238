package releaser

import (
	"fmt"
	"math"
	"slices"
)

const (
	// smallestExcess is the index of the excess failure rate that a version must not show when
	// it is accepted.
	smallestExcess = 0
	// doubtStdErrs is by how many standard errors the evidence for smallestExcess may exceed
	// what an equally reliable version yields: one such version in ten is rolled back. A bad one
	// that gets all calls breaks the bound of exposure within a second.
	doubtStdErrs = 1.28
	// outlierRate is the probability with which an upstream like the others of its version may
	// be taken for one that fails for reasons of its own.
	outlierRate = 1e-3
)

// doubt returns why the target should not get all calls, "" if its answers are as reliable as
// the other version's. It decides on weaker evidence than verdict, once: the calls that the bound
// of exposure allows are too few to show a failure rate of a few percent beyond doubt.
func (ag *aggregate) doubt() string {
	judged := ag.withoutFailingOutliers()
	evidence, expected, variance := 0.0, 0.0, 0.0
	for _, r := range judged.routes {
		baseline := baselineRate(&r.other)
		alternative := alternativeRate(baseline, excessFailureRates[smallestExcess])
		failed, succeeded := math.Log(alternative/baseline), math.Log((1-alternative)/(1-baseline))
		evidence += r.target.Failures*failed + (r.target.Answers-r.target.Failures)*succeeded
		expected += r.target.Answers * (baseline*failed + (1-baseline)*succeeded)
		variance += r.target.Answers * baseline * (1 - baseline) * (failed - succeeded) * (failed - succeeded)
	}
	if evidence <= expected+doubtStdErrs*math.Sqrt(variance) {
		return ""
	}
	return fmt.Sprintf("%.0f of %.0f answers failed, too many to give it all calls", judged.target.Failures, judged.target.Answers)
}

// withoutFailingOutliers returns the aggregate without the target's upstreams that fail far more
// often than the others of the target.
func (ag *aggregate) withoutFailingOutliers() *aggregate {
	var outliers []UpstreamHash
	rest := ag.target
	for _, upstream := range ag.byBadness() {
		sample := ag.upstreamTotal(upstream)
		others := rest
		others.accumulate(&sample, -1)
		ratios := logLikelihoodRatios(&sample, &others)
		if slices.Max(ratios[:]) > -math.Log(outlierRate) {
			outliers = append(outliers, upstream)
			rest = others
		}
	}
	return ag.without(outliers)
}
