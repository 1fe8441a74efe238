package releaser

import (
	"fmt"
	"math"
	"slices"
)

const (
	// falsePositiveRate is the probability with which a good version may be judged bad on one
	// route.
	falsePositiveRate = 3e-5
	// minFailureRate is the failure rate that is expected of any version.
	minFailureRate = 0.004
	// baselineStdErrs is by how many standard errors the other version's failure rate may
	// exceed its observed value.
	baselineStdErrs = 1.5
	// slowStdErrs is by how many standard errors a version must be slower than slowRatio times
	// the other one. An upstream that is slow for reasons of its own stays below that.
	slowStdErrs = 3.5
	slowRatio   = 1.5
	// slowFirstByteRatio applies to the first byte of streams instead: upstreams that have just
	// started have no cached prefixes and read the whole prompt.
	slowFirstByteRatio = 2.6
	// minTimedAnswers is the minimum number of answers before a version's speed is judged.
	minTimedAnswers = 20
)

// excessFailureRates are the failure rates above the baseline that a bad version is tested for.
var excessFailureRates = [...]float64{0.03, 0.1, 0.4}

// regression returns why the target's answers on a route are worse than the other version's, ""
// if they are not shown to be.
func regression(target, other *Sample) string {
	ratios := logLikelihoodRatios(target, other)
	if slices.Max(ratios[:]) > -math.Log(falsePositiveRate) {
		return fmt.Sprintf("%.0f of %.0f answers failed, %.0f of %.0f at the other version",
			target.Failures, target.Answers, other.Failures, other.Answers)
	}
	firstRatio := slowRatio
	if target.EventInterval.Count > 0 {
		firstRatio = slowFirstByteRatio
	}
	if isSlower(target.FirstByte, other.FirstByte, firstRatio) {
		return fmt.Sprintf("the first byte takes %.1f times as long", meanRatio(target.FirstByte, other.FirstByte))
	}
	if isSlower(target.EventInterval, other.EventInterval, slowRatio) {
		return fmt.Sprintf("events take %.1f times as long", meanRatio(target.EventInterval, other.EventInterval))
	}
	return ""
}

// logLikelihoodRatios returns, for each excess failure rate, the log-likelihood ratio of the
// target's failures with it against the baseline without it.
func logLikelihoodRatios(target, other *Sample) [len(excessFailureRates)]float64 {
	baseline := max(minFailureRate, baselineRate(other))
	var ratios [len(excessFailureRates)]float64
	for i, excess := range excessFailureRates {
		alternative := alternativeRate(baseline, excess)
		ratios[i] = target.Failures*math.Log(alternative/baseline) + (target.Answers-target.Failures)*math.Log((1-alternative)/(1-baseline))
	}
	return ratios
}

// baselineRate returns the failure rate that the other version may have at most: its observed
// one is uncertain while it has few answers.
func baselineRate(other *Sample) float64 {
	rate := (other.Failures + 1) / (other.Answers + 2)
	return rate + baselineStdErrs*math.Sqrt(rate*(1-rate)/(other.Answers+2))
}

// alternativeRate returns the failure rate of a bad version.
func alternativeRate(baseline, excess float64) float64 {
	return min(baseline+excess, (baseline+1)/2)
}

// isSlower reports whether a version takes at least minRatio times as long as another, by
// slowStdErrs standard errors.
func isSlower(target, other Moments, minRatio float64) bool {
	if target.Count < minTimedAnswers || other.Count < minTimedAnswers {
		return false
	}
	margin := slowStdErrs * math.Sqrt(target.varianceOfMean()+other.varianceOfMean())
	return target.mean()-other.mean()-margin > math.Log(minRatio)
}

func meanRatio(target, other Moments) float64 { return math.Exp(target.mean() - other.mean()) }
