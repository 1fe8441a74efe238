package retrier

import (
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// retryFraction is the fraction of the bound that retries of calls may use. The rest is for
	// streams in progress, whose callers have received part of an answer.
	retryFraction = 0.75
	// resumeFraction is the fraction that retries and resumed streams together may use. The
	// rest covers attempts that arrive late.
	resumeFraction = 0.9
	// bucketsPerWindow is how many buckets the window is divided into. One more bucket is
	// kept, since the oldest one is only partly within the window.
	bucketsPerWindow = 20
	bucketCount      = bucketsPerWindow + 1
	// maxContactTimeout is longer than an election of a leader and its first response.
	maxContactTimeout = 2 * time.Second
)

// Budget counts the calls and the further attempts of each service in a sliding window. It
// is safe for concurrent use.
type Budget struct {
	// Window, Ratio and Slack define the bound on all entries together: in any Window, the
	// number of further attempts is at most Ratio times the number of calls, plus Slack.
	Window time.Duration
	Ratio  float64
	Slack  float64
	// Lease is how long the leader counts an entry after its last poll.
	Lease time.Duration
	// FirstStart is set if all entries start for the first time, so that none has spent anything before.
	FirstStart bool
	Now        func() time.Time

	mu       sync.Mutex
	members  membership
	services map[units.Service]*counts
}

// counts holds the calls of each bucket and the further attempts, as extra. firstBucket is the
// number of the oldest bucket since the Unix epoch.
type counts struct {
	firstBucket int64
	calls       [bucketCount]float64
	extra       [bucketCount]float64
	// allowed and refused count the further attempts since the last report.
	allowed, refused int64
}

// RecordContact records a response of the leader to a poll that was sent at the given time, and how many
// entries the leader counts. An entry that is stopping is not counted, and must not call it.
func (b *Budget) RecordContact(sentAt time.Time, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members.record(sentAt, entries, b.contactTimeout(), b.membershipTime())
}

// contactTimeout is how long this entry counts itself among the entries after its last contact.
func (b *Budget) contactTimeout() time.Duration { return min(maxContactTimeout, b.Lease) }

// membershipTime is for how long an entry counts in the parts of the others: a window, in which what it has spent
// still counts, and the time until all entries that use their parts have been told of another one.
func (b *Budget) membershipTime() time.Duration { return b.Window + 2*b.contactTimeout() }

// entryTime is how long an entry must have been in contact before it uses its part of the slack, which may have been
// used by its earlier life or by another entry.
func (b *Budget) entryTime() time.Duration {
	if b.FirstStart {
		return b.contactTimeout()
	}
	return b.membershipTime()
}

// RecordCall records a call's first attempt.
func (b *Budget) RecordCall(service units.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, bucket := b.counts(service)
	c.calls[bucket]++
}

// RecordAnswer does nothing: calls are counted when they start.
func (b *Budget) RecordAnswer(units.Service) {}

// AllowRetry reports whether a call may be retried, and counts the retry if so.
func (b *Budget) AllowRetry(service units.Service) bool { return b.spend(service, retryFraction) }

// AllowResume reports whether a stream in progress may continue at another upstream, and counts the
// attempt if so.
//
// When half of the upstreams of a fully used fleet are reclaimed at once, each with some tens
// of streams, the remaining ones refuse most of these streams. Without a bound, each stream
// would try all of them several times, and the upstreams would have that much less time for the
// calls that they have accepted.
func (b *Budget) AllowResume(service units.Service) bool { return b.spend(service, resumeFraction) }

// spend counts a further attempt if it stays within a fraction of the bound.
func (b *Budget) spend(service units.Service, fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, bucket := b.counts(service)
	calls, extra := 0.0, 0.0
	for i := range bucketCount {
		calls += c.calls[i]
		extra += c.extra[i]
	}
	if extra+1 > fraction*(b.Ratio*calls+b.slackShare()) {
		c.refused++
		return false
	}
	c.extra[bucket]++
	c.allowed++
	return true
}

// slackShare returns the part of the slack that this entry may use.
func (b *Budget) slackShare() float64 {
	now := b.Now()
	if !b.members.isMember(now, b.contactTimeout(), b.entryTime()) {
		return 0
	}
	return b.Slack / float64(max(1, b.members.most(now, b.membershipTime())))
}

// Report is what one service has used of the budget.
type Report struct {
	Service units.Service
	// Calls and Attempts are the numbers of calls and of further attempts in the window, and
	// Bound is the number of further attempts that its calls and the slack allow.
	Calls    float64
	Attempts float64
	Bound    float64
	// SlackShare is the part of the slack that the entry may use, 0 if it has not been in contact with the
	// leader for long enough, and Entries the number of entries among which the slack is divided.
	SlackShare float64
	Entries    int
	// Allowed and Refused count the further attempts since the last report.
	Allowed int64
	Refused int64
}

// Reports returns a report on each service that has asked for further attempts since the last one.
func (b *Budget) Reports() []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports []Report
	for service := range b.services {
		c, _ := b.counts(service)
		if c.allowed+c.refused == 0 {
			continue
		}
		report := Report{
			Service:    service,
			SlackShare: b.slackShare(),
			Entries:    b.members.most(b.Now(), b.membershipTime()),
			Allowed:    c.allowed,
			Refused:    c.refused,
		}
		for i := range bucketCount {
			report.Calls += c.calls[i]
			report.Attempts += c.extra[i]
		}
		report.Bound = b.Ratio*report.Calls + report.SlackShare
		c.allowed, c.refused = 0, 0
		reports = append(reports, report)
	}
	return reports
}

// counts returns a service's counts, with expired buckets cleared, and the index of the current
// bucket.
func (b *Budget) counts(service units.Service) (c *counts, bucket int) {
	if b.services == nil {
		b.services = make(map[units.Service]*counts)
	}
	current := b.Now().UnixNano() / (b.Window.Nanoseconds() / bucketsPerWindow)
	c = b.services[service]
	if c == nil {
		c = &counts{firstBucket: current - bucketCount + 1}
		b.services[service] = c
	}
	for c.firstBucket+bucketCount <= current {
		if c.firstBucket+2*bucketCount <= current {
			*c = counts{
				firstBucket: current - bucketCount + 1,
				allowed:     c.allowed,
				refused:     c.refused,
			}
			break
		}
		old := c.firstBucket % bucketCount
		c.calls[old], c.extra[old] = 0, 0
		c.firstBucket++
	}
	return c, int(current % bucketCount)
}
