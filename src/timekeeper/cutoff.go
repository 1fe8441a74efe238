package timekeeper

import (
	"context"
	"sync"
)

// Cutoff ends contexts as if their deadlines had passed, at a moment that is not known when they are made. The zero value is
// ready for use, and nil ends none.
type Cutoff struct {
	mu       sync.Mutex
	hasEnded bool
	contexts map[*cutoffContext]bool
}

// Context returns a context that also ends with the cutoff; cancel must be called once it is no longer used.
func (c *Cutoff) Context(parent context.Context) (context.Context, context.CancelFunc) {
	if c == nil {
		return context.WithCancel(parent)
	}
	child := &cutoffContext{
		Context: parent,
		done:    make(chan struct{}),
	}
	stop := context.AfterFunc(parent, func() { child.end(parent.Err()) })
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasEnded {
		child.end(context.DeadlineExceeded)
	}
	if c.contexts == nil {
		c.contexts = make(map[*cutoffContext]bool)
	}
	c.contexts[child] = true
	return child, func() {
		stop()
		child.end(context.Canceled)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.contexts, child)
	}
}

// End ends all contexts, and those that are made later.
func (c *Cutoff) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasEnded = true
	for child := range c.contexts {
		child.end(context.DeadlineExceeded)
	}
}

// cutoffContext is a context of a Cutoff.
type cutoffContext struct {
	// Context is the parent; values and the deadline are its own.
	context.Context
	done chan struct{}

	mu sync.Mutex
	// err is why it has ended, nil before.
	err error
	// afterwards are called once it has ended.
	afterwards map[*func()]bool
}

// end ends the context unless it has ended already.
func (c *cutoffContext) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	close(c.done)
	for f := range c.afterwards {
		go (*f)()
	}
	c.afterwards = nil
}

// Done returns a channel that is closed once the context has ended.
func (c *cutoffContext) Done() <-chan struct{} { return c.done }

// Err returns why the context has ended, nil before.
func (c *cutoffContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// AfterFunc calls f once the context has ended. Package context uses it for contexts that are derived from this one, each
// of which would need a goroutine otherwise.
func (c *cutoffContext) AfterFunc(f func()) (stop func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		go f()
		return func() bool { return false }
	}
	if c.afterwards == nil {
		c.afterwards = make(map[*func()]bool)
	}
	c.afterwards[&f] = true
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		waiting := c.afterwards[&f]
		delete(c.afterwards, &f)
		return waiting
	}
}
