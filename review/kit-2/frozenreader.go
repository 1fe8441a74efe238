package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playFrozenReader freezes an entry that passes streams without a length on, and lets their engine crash and start again
// meanwhile.
func playFrozenReader(f *fleet, trouble bool) ([]string, error) {
	const engineCount, slots, streams = 4, 64, 12
	const before, crashAfter, crashFor, freezeFor = time.Second, 200 * time.Millisecond, 2 * time.Second, 3 * time.Second
	if err := f.startWith(2, engineCount, slots, func(e *engine) { e.unframed = e.service == llmService }); err != nil {
		return nil, err
	}
	var llm []*engine
	for _, e := range f.engines {
		if e.service == llmService {
			llm = append(llm, e)
		}
	}
	time.Sleep(contact)
	frozen := f.entries[0]
	answers := make([]answer, streams)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() {
			answers[i] = f.send(frozen, request{path: draftPath, timeLimit: 12 * time.Second, stream: true})
		})
	}
	time.Sleep(before)
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(crashAfter)
		crashed := busiest(llm)
		crashed.end()
		time.Sleep(crashFor)
		if err := crashed.begin(); err != nil {
			return nil, err
		}
		time.Sleep(freezeFor - crashAfter - crashFor)
		frozen.signal(syscall.SIGCONT)
	}
	group.Wait()
	var breaks []string
	for _, a := range answers {
		if a.status == http.StatusOK && a.signed && a.complete && a.events < eventCount {
			breaks = append(breaks, fmt.Sprintf("ORDER: the stream %s ended as complete after %d of %d events", a.attempt, a.events, eventCount))
		}
	}
	return breaks, nil
}

// busiest returns the engine that has begun the most requests.
func busiest(engines []*engine) *engine {
	best, most := engines[0], -1
	for _, e := range engines {
		e.mu.Lock()
		if len(e.conns) > most {
			best, most = e, len(e.conns)
		}
		e.mu.Unlock()
	}
	return best
}
