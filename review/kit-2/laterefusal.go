package main

import (
	"fmt"
	"net/http"
	"time"
)

// playLateRefusal lets bytes that belong to no request arrive late on connections to engines, after complete answers to
// bookings.
func playLateRefusal(f *fleet, trouble bool) ([]string, error) {
	const engineCount, faulty, spoilOne = 4, 2, 33
	const clientCount, pause, before, during, after = 6, 70 * time.Millisecond, 3 * time.Second, 5 * time.Second, 2 * time.Second
	if err := f.startWith(engineCount, func(e *engine) { e.spoilOne = spoilOne }); err != nil {
		return nil, err
	}
	stop := f.bookSteadily(clientCount, pause)
	time.Sleep(before)
	for _, e := range f.engines[:faulty] {
		e.setSpoiling(trouble)
	}
	time.Sleep(during)
	for _, e := range f.engines[:faulty] {
		e.setSpoiling(false)
	}
	time.Sleep(after)
	return judgeOnce(f, stop()), nil
}

// judgeOnce returns which bookings ran more than once, or have run though their refusal promises that they have not.
func judgeOnce(f *fleet, answers []answer) []string {
	ran := make(map[string][]string)
	for _, r := range f.allRuns() {
		ran[r.attempt] = append(ran[r.attempt], r.engine)
	}
	var breaks []string
	served := 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
		engines := ran[a.attempt]
		if len(engines) > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: the booking %s ran at %v", a.attempt, engines))
		}
		if refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests; refused && len(engines) > 0 {
			breaks = append(breaks, fmt.Sprintf("REFUSED: the booking %s was answered %d and ran at %v", a.attempt, a.status, engines))
		}
	}
	f.record.add("%d bookings, %d served", len(answers), served)
	return breaks
}

// startWith starts the processes, engines for bookings and engines for streams, and waits until all entries serve.
func (f *fleet) startWith(appEngines int, change func(e *engine)) error {
	if err := f.start(); err != nil {
		return err
	}
	const appSlots, llmEngines, llmSlots = 6, 2, 64
	for range appEngines {
		if err := f.addEngine(appService, appSlots, change); err != nil {
			return err
		}
	}
	for range llmEngines {
		if err := f.addEngine(llmService, llmSlots, change); err != nil {
			return err
		}
	}
	if err := f.declare(1); err != nil {
		return err
	}
	return f.awaitServing()
}
