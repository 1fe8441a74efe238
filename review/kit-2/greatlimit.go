package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playGreatLimit lets one engine state a limit of more requests a second than a 64-bit number counts. Control processes
// that end by themselves are started again, as the platform does.
func playGreatLimit(f *fleet, trouble bool) ([]string, error) {
	const engineCount, clientCount = 4, 6
	const limit = "100000000000000000000"
	const pause, before, during, after = 70 * time.Millisecond, 3 * time.Second, 20 * time.Second, 2 * time.Second
	if err := f.startWith(engineCount, nil); err != nil {
		return nil, err
	}
	restarter := f.restartEnded()
	stop := f.bookSteadily(clientCount, pause)
	time.Sleep(before)
	if trouble {
		f.engines[0].setLimit(limit)
	}
	time.Sleep(during)
	f.engines[0].setLimit("")
	time.Sleep(after)
	answers := stop()
	ends := restarter.stop()
	served := 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
	}
	f.record.add("%d bookings, %d served; control processes ended by themselves: %v", len(answers), served, ends)
	const often = 3
	var breaks []string
	for name, count := range ends {
		if count >= often {
			breaks = append(breaks, fmt.Sprintf("FAULT: %s ended by itself %d times", name, count))
		}
	}
	// The rule counts half of the core.
	if 2*len(breaks) < controlCount {
		return nil, nil
	}
	return breaks, nil
}

// restarter starts control processes again that have ended by themselves.
type restarter struct {
	stopping chan struct{}
	group    sync.WaitGroup

	mu   sync.Mutex
	ends map[string]int
}

// restartEnded begins to start control processes again.
func (f *fleet) restartEnded() *restarter {
	const delay = 300 * time.Millisecond
	r := &restarter{
		stopping: make(chan struct{}),
		ends:     make(map[string]int),
	}
	for _, p := range f.controls {
		r.group.Go(func() {
			for {
				select {
				case <-r.stopping:
					return
				case <-p.ended():
				}
				f.record.add("%s has ended by itself: %s", p.name, p.lastWords())
				r.mu.Lock()
				r.ends[p.name]++
				r.mu.Unlock()
				time.Sleep(delay)
				if err := p.start(false); err != nil {
					f.record.add("start %s again: %v", p.name, err)
					return
				}
			}
		})
	}
	return r
}

// stop ends that, and returns how often each process has ended by itself.
func (r *restarter) stop() map[string]int {
	close(r.stopping)
	r.group.Wait()
	return r.ends
}
