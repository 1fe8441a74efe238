package loader

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// Balancer simulates the platform's load balancer: it distributes calls over the
// ready entries by round-robin.
type Balancer struct {
	// Entries are the base URLs of all entries.
	Entries []string

	mu         sync.Mutex
	ready      map[string]bool
	lastPicked int
}

// Run probes the readiness of the entries until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		var probes sync.WaitGroup
		for _, entry := range b.Entries {
			probes.Go(func() { b.setReady(entry, probe(ctx, entry)) })
		}
		probes.Wait()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Pick returns the next ready entry, or the next entry if none is ready.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.Entries {
		b.lastPicked++
		entry := b.Entries[b.lastPicked%len(b.Entries)]
		if b.ready[entry] {
			return entry
		}
	}
	b.lastPicked++
	return b.Entries[b.lastPicked%len(b.Entries)]
}

func (b *Balancer) setReady(entry string, ready bool) {
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
