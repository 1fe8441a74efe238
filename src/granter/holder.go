package granter

import (
	"context"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	// MaxResponseAge is the age of a poll after which its entry no longer applies a response to it.
	MaxResponseAge = time.Second
	// contactTimeout is the time without a response after which no call waits for a grant.
	contactTimeout = 400 * time.Millisecond
)

// Holder keeps what one entry may admit; it is safe for concurrent use.
type Holder struct {
	// Lease is for how long after the poll a grant may be used, Window the time by which limits are judged.
	Lease  time.Duration
	Window time.Duration
	// Prompt asks for the next poll soon; it must not block.
	Prompt func()

	mu sync.Mutex
	// enforced is set while the leader grants ceilings.
	enforced bool
	holdings map[units.Account]*holding
	// leadership and stamp are those of the last response, to a poll sent at respondedTo.
	leadership  Leadership
	stamp       int64
	respondedTo time.Time
	// contactAt is when the last poll was sent to which a leader has responded.
	contactAt time.Time
	// unanswered is set while the last poll has no response.
	unanswered bool
	// updated is closed with the next response, nil while nothing waits.
	updated chan struct{}
}

// holding is what the entry may admit of one account.
type holding struct {
	use        Use
	validUntil time.Time
	// reported is the use in the last poll.
	reported Use
}

// expire gives up what the entry may admit once the grant has ended.
func (h *holding) expire(now time.Time) {
	if !now.Before(h.validUntil) {
		h.use.Ceiling = min(h.use.Ceiling, h.use.Admitted)
	}
}

func (h *Holder) holding(account units.Account) *holding {
	if h.holdings == nil {
		h.holdings = make(map[units.Account]*holding)
	}
	held := h.holdings[account]
	if held == nil {
		held = &holding{}
		h.holdings[account] = held
	}
	return held
}

// Take admits a call of size tokens if the account's grant has room for it.
func (h *Holder) Take(now time.Time, account units.Account, size float64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.take(now, account, size)
}

func (h *Holder) take(now time.Time, account units.Account, size float64) bool {
	held := h.holding(account)
	held.expire(now)
	if h.enforced && held.use.Admitted+size > held.use.Ceiling {
		return false
	}
	held.use.Admitted += size
	return true
}

// Await admits a call as Take does, once a response has brought room for it; it gives up after atMost, or at once
// without contact to the leader.
func (h *Holder) Await(ctx context.Context, now func() time.Time, account units.Account, size float64, atMost time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, atMost)
	defer cancel()
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.holding(account)
	if h.take(now(), account, size) {
		return true
	}
	held.use.Wanted += size
	defer func() { held.use.Wanted = max(0, held.use.Wanted-size) }()
	for now().Sub(h.contactAt) <= contactTimeout {
		if h.updated == nil {
			h.updated = make(chan struct{})
		}
		updated := h.updated
		h.mu.Unlock()
		h.Prompt()
		select {
		case <-updated:
		case <-ctx.Done():
		}
		h.mu.Lock()
		if h.take(now(), account, size) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// Refund returns what a call has taken that did not run. It is available again once the leader grants it; a call that
// was admitted too long ago may have left the leader's window, and is not refunded.
func (h *Holder) Refund(now time.Time, account units.Account, size float64, takenAt time.Time) {
	if now.Sub(takenAt) > time.Duration(maxRefundAge*float64(h.Window)) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holding(account).use.Refunded += size
}

// Usage is what a poll reports: the uses of all accounts if the leader may not know them, which Complete states, else of
// those that have changed.
type Usage struct {
	Uses     map[units.Account]Use
	Complete bool
	// Stamp is that of the leadership's last response, 0 for none.
	Stamp int64
}

// Report returns what the next poll reports, where leadership is the last one that the entry has heard of.
func (h *Holder) Report(now time.Time, leadership Leadership) Usage {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := h.unanswered || h.leadership == 0 || leadership != h.leadership || now.Sub(h.respondedTo) > h.Lease
	h.unanswered = true
	uses := make(map[units.Account]Use)
	for account, held := range h.holdings {
		held.expire(now)
		if all || held.use != held.reported {
			uses[account] = held.use
		}
		held.reported = held.use
	}
	usage := Usage{
		Uses:     uses,
		Complete: all,
	}
	if leadership == h.leadership {
		usage.Stamp = h.stamp
	}
	return usage
}

// Response is what a leader grants in response to a poll.
type Response struct {
	// Leadership is the one of the leader, and Grants is set if it has recorded the poll's report, at the time Stamp
	// of its clock.
	Leadership Leadership
	Grants     bool
	Stamp      int64
	// Ceilings are those that differ from the reported ones.
	Ceilings map[units.Account]float64
}

// Apply applies the leader's response to the last poll, which was sent at sentAt.
func (h *Holder) Apply(now, sentAt time.Time, r Response) {
	if now.Sub(sentAt) > MaxResponseAge {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enforced = true
	h.contactAt = sentAt
	if h.updated != nil {
		close(h.updated)
		h.updated = nil
	}
	if !r.Grants {
		return
	}
	h.unanswered = false
	h.leadership, h.stamp, h.respondedTo = r.Leadership, r.Stamp, sentAt
	for account, ceiling := range r.Ceilings {
		h.holding(account).use.Ceiling = ceiling
		h.holding(account).validUntil = sentAt.Add(h.Lease)
	}
	for _, held := range h.holdings {
		held.expire(now)
		held.validUntil = sentAt.Add(h.Lease)
	}
}

// Lift stops enforcing ceilings under a leader that grants none.
func (h *Holder) Lift() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enforced = false
}
