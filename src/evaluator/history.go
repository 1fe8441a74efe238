package evaluator

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// bucketLength is the resolution of the windows.
	bucketLength = 250 * time.Millisecond
	// bucketCount buckets are the longest window, 8 s.
	bucketCount = 32
	// maxFailing bounds the entries whose failures are told apart in one bucket. They are those with the most, so that one
	// entry's fault is noticed. The failures of others count as well; none of them reports more than each of these.
	maxFailing = 8
	// maxOutcomes bounds the calls that one report counts: an entry has far fewer at one upstream
	// between two polls.
	maxOutcomes = 1024
)

// windowBuckets are the lengths of the windows, in buckets: the shortest finds an upstream that fails
// nearly all calls, the longest one that fails a part of few calls.
var windowBuckets = [...]int{4, 12, bucketCount}

// bucketNumber numbers the buckets since an arbitrary moment.
type bucketNumber int64

func bucketOf(now time.Time) bucketNumber {
	return bucketNumber(now.UnixNano() / int64(bucketLength))
}

// bucket holds the outcomes of one upstream in a short period.
type bucket struct {
	number bucketNumber
	sample sample
	// caller is one entry that has called the upstream, and several is set if there are more.
	caller  units.Instance
	several bool
	// failing are the failures by entry.
	failing []entryFailures
}

type entryFailures struct {
	entry    units.Instance
	failures int
}

// history holds the outcomes of one upstream in the last seconds.
type history struct {
	buckets [bucketCount]bucket
}

// record adds what an entry reports.
func (h *history) record(now time.Time, entry units.Instance, outcomes sample) {
	if outcomes.calls == 0 {
		return
	}
	number := bucketOf(now)
	b := &h.buckets[int(number%bucketCount)]
	if b.number != number {
		*b = bucket{
			number:  number,
			caller:  entry,
			failing: b.failing[:0],
		}
	}
	b.sample = b.sample.plus(outcomes)
	b.several = b.several || b.caller != entry
	if outcomes.failures == 0 {
		return
	}
	for i := range b.failing {
		if b.failing[i].entry == entry {
			b.failing[i].failures += outcomes.failures
			return
		}
	}
	reported := entryFailures{
		entry:    entry,
		failures: outcomes.failures,
	}
	if len(b.failing) < maxFailing {
		b.failing = append(b.failing, reported)
		return
	}
	least := 0
	for i := range b.failing {
		if b.failing[i].failures < b.failing[least].failures {
			least = i
		}
	}
	if b.failing[least].failures < reported.failures {
		b.failing[least] = reported
	}
}

// windows returns the outcomes in each window.
func (h *history) windows(now time.Time) (sums [len(windowBuckets)]sample) {
	current := bucketOf(now)
	for i := range h.buckets {
		b := &h.buckets[i]
		if b.sample.calls == 0 {
			continue
		}
		for w, length := range windowBuckets {
			if current-b.number < bucketNumber(length) {
				sums[w] = sums[w].plus(b.sample)
			}
		}
	}
	return sums
}

func (h *history) isWithin(now time.Time, index, buckets int) bool {
	b := &h.buckets[index]
	return b.sample.calls > 0 && bucketOf(now)-b.number < bucketNumber(buckets)
}

// witnesses are the entries behind the outcomes of a window.
type witnesses struct {
	// failing is how many entries reported failures, most how many failures the one with most did, and
	// second those of the one with the next most.
	failing int
	most    int
	second  int
	// several is set if more than one entry has called the upstream in the longest window.
	several bool
}

func (h *history) witnesses(now time.Time, buckets int) witnesses {
	var w witnesses
	var caller units.Instance
	byEntry := make(map[units.Instance]int)
	for i := range h.buckets {
		// In a short window with few calls, one entry is often the only one.
		if !h.isWithin(now, i, bucketCount) {
			continue
		}
		b := &h.buckets[i]
		w.several = w.several || b.several || caller != "" && b.caller != caller
		caller = b.caller
		if !h.isWithin(now, i, buckets) {
			continue
		}
		for _, f := range b.failing {
			byEntry[f.entry] += f.failures
		}
	}
	w.failing = len(byEntry)
	for _, failures := range byEntry {
		w.second = max(w.second, min(w.most, failures))
		w.most = max(w.most, failures)
	}
	return w
}

// evidence returns the part of an upstream's outcomes that does not rest on one entry alone, unless that is the
// only one that calls the upstream.
func (w witnesses) evidence(own sample) sample {
	if !w.several {
		return own
	}
	if w.failing < 2 {
		return sample{calls: own.calls - own.failures}
	}
	excess := max(0, w.most-max(w.second, minEntryFailures))
	return sample{
		calls:    own.calls - excess,
		failures: own.failures - excess,
	}
}
