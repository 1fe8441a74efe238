package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	streamEvents = 60
	streamPause  = 100 * time.Millisecond
	// streamLimit is the time limit of the clients of streams.
	streamLimit = 12 * time.Second
	// streamPath is on a route whose streams may run once and are not resumed.
	streamPath = "/query/x"
)

// streams are the streams that clients have begun.
type streams struct {
	deployment *deployment
	answers    []*answer
	group      sync.WaitGroup
}

// startStreams begins streams at an entry, a few milliseconds apart.
func (d *deployment) startStreams(entry *member, count int) *streams {
	s := &streams{
		deployment: d,
		answers:    make([]*answer, count),
	}
	for i := range count {
		s.group.Add(1)
		go func() {
			defer s.group.Done()
			s.answers[i] = d.call(entry)
		}()
		time.Sleep(2 * time.Millisecond) // Clients do not begin at the same moment.
	}
	return s
}

// check waits for the streams, records what was answered and run, and reports whether one that misses events ended as
// complete.
func (s *streams) check() (broken bool) {
	s.group.Wait()
	ranAt := make(map[string]string)
	for _, ran := range s.deployment.runs() {
		ranAt[ran.attempt] += " " + ran.engine
	}
	early := 0
	for _, a := range s.answers {
		s.deployment.record.line("stream %s sent at %.3f s ran at%s: status %d, signature %q, %d of %d events, ended as complete: %t, error: %v",
			a.attempt, a.sentAt.Sub(s.deployment.record.start).Seconds(), ranAt[a.attempt], a.status, a.signature, a.events(), streamEvents, a.complete, a.err)
		if a.status == http.StatusOK && a.complete && a.events() < streamEvents {
			early++
		}
	}
	s.deployment.record.line("%d of %d streams ended as complete before their last event", early, len(s.answers))
	return early > 0
}

// startLLM starts engines that answer streams with neither a length nor chunks.
func (d *deployment) startLLM(count int) ([]*engineProcess, error) {
	var engines []*engineProcess
	for i := range count {
		e, err := d.startEngine(engineOptions{
			id:       engineID(i),
			service:  serviceLLM,
			address:  d.engineAddress(i + 1),
			unframed: true,
			events:   streamEvents,
			pause:    streamPause,
		})
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	return engines, nil
}
