package aggregator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Window numbers consecutive windows of true time since the start of 1970.
type Window int64

// WindowAt returns the window that contains a moment of true time.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / length.Nanoseconds())
}

// End returns the end of a window, in true time.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*length.Nanoseconds())
}

// maxWindows is how many windows an entry reports, so that a leader elected meanwhile
// receives their counts too.
const maxWindows = 4

// Counter counts the calls at one entry. It is safe for concurrent use.
type Counter struct {
	WindowLength time.Duration

	mu     sync.Mutex
	counts map[key]int64
}

type key struct {
	window  Window
	account units.Account
}

// Count is one account's calls in one window at one entry.
type Count struct {
	Window  Window
	Account units.Account
	Calls   int64
}

// Add counts a call that began at a moment of true time.
func (c *Counter) Add(at time.Time, account units.Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[key]int64)
	}
	c.counts[key{
		window:  WindowAt(at, c.WindowLength),
		account: account,
	}]++
}

// Counts returns the counts of the last windows, sorted by window and account.
func (c *Counter) Counts(at time.Time) []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := WindowAt(at, c.WindowLength)
	var counts []Count
	for k, calls := range c.counts {
		if k.window <= current-maxWindows {
			delete(c.counts, k)
			continue
		}
		counts = append(counts, Count{
			Window:  k.window,
			Account: k.account,
			Calls:   calls,
		})
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Account, b.Account))
	})
	return counts
}
