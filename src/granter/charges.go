package granter

import (
	"slices"
	"time"
)

// charge is a number of tokens that counts until a time.
type charge struct {
	tokens float64
	until  time.Time
}

// charges are sorted by the time until which they count.
type charges struct {
	entries []charge
	total   float64
}

// add adds tokens that count until a time.
func (c *charges) add(tokens float64, until time.Time) {
	c.total += tokens
	i := len(c.entries)
	for i > 0 && c.entries[i-1].until.After(until) {
		i--
	}
	if i > 0 && c.entries[i-1].until.Equal(until) {
		c.entries[i-1].tokens += tokens
		return
	}
	c.entries = slices.Insert(c.entries, i, charge{
		tokens: tokens,
		until:  until,
	})
}

// sum returns the tokens that count now.
func (c *charges) sum(now time.Time) float64 {
	ended := 0
	for ended < len(c.entries) && now.After(c.entries[ended].until) {
		c.total -= c.entries[ended].tokens
		ended++
	}
	if ended > 0 {
		c.entries = append(c.entries[:0], c.entries[ended:]...)
	}
	if len(c.entries) == 0 {
		c.total = 0
	}
	return c.total
}

// remove takes tokens out of the charges that end first: what remains counts no less at any time than if those of one
// call had been taken out.
func (c *charges) remove(now time.Time, tokens float64) {
	c.sum(now)
	for i := range c.entries {
		if tokens <= 0 {
			return
		}
		removed := min(tokens, c.entries[i].tokens)
		c.entries[i].tokens -= removed
		c.total -= removed
		tokens -= removed
	}
}
