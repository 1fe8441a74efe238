package loader

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Kind is a kind of call.
type Kind string

// The kinds of call.
const (
	// Stream is a streamed model call.
	Stream Kind = "stream"
	// Whole is a model call with one whole answer.
	Whole Kind = "whole"
	// Read is a call to a plain service that may be repeated.
	Read Kind = "read"
	// Once is a call to a plain service that must not run twice.
	Once Kind = "once"
)

// Workload is a stream of similar calls from one client account.
type Workload struct {
	Name string
	Kind Kind
	// Host and Key identify brand and account.
	Host string
	Key  string
	// Rate is the mean of calls per second.
	Rate float64
	Path string
	// Model and the fields below it are for model calls.
	Model string
	// Prefixes is how many different beginnings the prompts share.
	Prefixes     int
	PrefixBytes  int
	PromptBytes  int
	OutputTokens int
	// Deadline is how long the caller goes on asking.
	Deadline time.Duration
}

// arrival is one call to be made.
type arrival struct {
	workload *Workload
	at       time.Duration
	sequence int
	prompt   string
}

// plan draws the arrivals of all workloads within a span, in the order of time.
func plan(workloads []*Workload, span time.Duration, seed uint64) []arrival {
	var arrivals []arrival
	for i, workload := range workloads {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		at := gap(random, workload.Rate)
		for at < span {
			arrivals = append(arrivals, arrival{
				workload: workload,
				at:       at,
				prompt:   workload.prompt(random),
			})
			at += gap(random, workload.Rate)
		}
	}
	return sortByTime(arrivals)
}

// gap draws the time to the next call of a Poisson process.
func gap(random *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// prompt draws a prompt that shares its beginning with others of the workload.
func (w *Workload) prompt(random *rand.Rand) string {
	if w.Kind != Stream && w.Kind != Whole {
		return ""
	}
	prefix := filler(fmt.Sprintf("%s-%d", w.Name, random.IntN(max(1, w.Prefixes))), w.PrefixBytes)
	return prefix + filler(strconv.FormatUint(random.Uint64(), 36), w.PromptBytes)
}

func (a *arrival) body() string {
	switch a.workload.Kind {
	case Once:
		return fmt.Sprintf(`{"number":%d}`, a.sequence)
	case Read:
		return ""
	case Stream, Whole:
	}
	return fmt.Sprintf(`{"model":%q,"stream":%t,"seed":%d,"max_tokens":%d,"prompt":%q}`,
		a.workload.Model, a.workload.Kind == Stream, a.sequence, a.workload.OutputTokens, a.prompt)
}

// filler returns size bytes of text that depend on word alone.
func filler(word string, size int) string {
	text := strings.Repeat(word+" ", size/(len(word)+1)+1)
	return text[:size]
}
