package loader

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	probeEvery   = 200 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// Balancer stands in for the platform's: it hands calls to the ready entries in turn.
type Balancer struct {
	// Entries are the base URLs of all entries.
	Entries []string

	mu    sync.Mutex
	ready map[string]bool
	next  int
}

// Run probes the entries until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for {
		var probes sync.WaitGroup
		for _, entry := range b.Entries {
			probes.Go(func() { b.mark(entry, probe(ctx, entry)) })
		}
		probes.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Pick returns the next ready entry, or the next of all where none is ready.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.Entries {
		b.next++
		entry := b.Entries[b.next%len(b.Entries)]
		if b.ready[entry] {
			return entry
		}
	}
	b.next++
	return b.Entries[b.next%len(b.Entries)]
}

func (b *Balancer) mark(entry string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ready == nil {
		b.ready = make(map[string]bool)
	}
	b.ready[entry] = ready
}

func probe(ctx context.Context, entry string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
