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
	// NonStreaming is a model call that is not streamed.
	NonStreaming Kind = "whole"
	// Read is a repeatable call to a plain service.
	Read Kind = "read"
	// NonRepeatable is a call to a plain service that must not run more than once.
	NonRepeatable Kind = "once"
)

// Workload describes similar calls from one client account.
type Workload struct {
	Name string
	Kind Kind
	// Host and Key identify the brand and the client account.
	Host string
	Key  string
	// Rate is the mean number of calls per second.
	Rate float64
	Path string
	// Model and the fields up to OutputTokens apply to model calls only.
	Model string
	// Prefixes is the number of distinct prompt prefixes.
	Prefixes int
	// PrefixBytes is the size of a prompt prefix, and PromptBytes that of the unique
	// rest of a prompt.
	PrefixBytes  int
	PromptBytes  int
	OutputTokens int
	// Deadline is how long the caller waits and retries, counted from the scheduled time.
	Deadline time.Duration
}

// arrival is one scheduled call.
type arrival struct {
	workload *Workload
	// at is the scheduled time, counted from the start of the load.
	at       time.Duration
	sequence int
	prompt   string
}

// drawArrivals draws the arrivals of all workloads within a span and sorts them by time.
func drawArrivals(workloads []*Workload, span time.Duration, seed uint64) []arrival {
	var arrivals []arrival
	for i, workload := range workloads {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		at := interarrivalTime(random, workload.Rate)
		for at < span {
			arrivals = append(arrivals, arrival{
				workload: workload,
				at:       at,
				prompt:   workload.prompt(random),
			})
			at += interarrivalTime(random, workload.Rate)
		}
	}
	return sortAndNumber(arrivals)
}

// interarrivalTime draws the time until the next arrival of a Poisson process.
func interarrivalTime(random *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// prompt draws a prompt whose prefix other prompts of the workload share.
func (w *Workload) prompt(random *rand.Rand) string {
	if w.Kind != Stream && w.Kind != NonStreaming {
		return ""
	}
	prefix := fillerText(fmt.Sprintf("%s-%d", w.Name, random.IntN(max(1, w.Prefixes))), w.PrefixBytes)
	return prefix + fillerText(strconv.FormatUint(random.Uint64(), 36), w.PromptBytes)
}

func (a *arrival) body() string {
	switch a.workload.Kind {
	case NonRepeatable:
		return fmt.Sprintf(`{"number":%d}`, a.sequence)
	case Read:
		return ""
	case Stream, NonStreaming:
	}
	return fmt.Sprintf(`{"model":%q,"stream":%t,"seed":%d,"max_tokens":%d,"prompt":%q}`,
		a.workload.Model, a.workload.Kind == Stream, a.sequence, a.workload.OutputTokens, a.prompt)
}

// fillerText returns size bytes of text that depend only on word.
func fillerText(word string, size int) string {
	text := strings.Repeat(word+" ", size/(len(word)+1)+1)
	return text[:size]
}
