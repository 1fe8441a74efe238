package parser

import (
	"fmt"
	"time"
)

// ClientLimits bounds what the clients of a process hold together; what is omitted has a default.
type ClientLimits struct {
	// MemoryMiB bounds what clients hold of requests, in MiB.
	MemoryMiB int `yaml:"memory"`
	// UntakenAnswersMiB bounds what clients hold of answers that they have stopped taking, in MiB.
	UntakenAnswersMiB int `yaml:"untaken-answers"`
	// Connections is the maximum number of connections of callers at an entry, of operators and upstreams at control.
	Connections int `yaml:"connections"`
	// RequestTimeout bounds reading a request, AnswerTimeout how long a client may take nothing of its answer.
	RequestTimeout time.Duration `yaml:"request-timeout"`
	AnswerTimeout  time.Duration `yaml:"answer-timeout"`
}

func (d *document) validateClientLimits(l ClientLimits) {
	for _, limit := range []struct {
		name  string
		value int64
	}{
		{name: "memory", value: int64(l.MemoryMiB)},
		{name: "untaken-answers", value: int64(l.UntakenAnswersMiB)},
		{name: "connections", value: int64(l.Connections)},
		{name: "request-timeout", value: int64(l.RequestTimeout)},
		{name: "answer-timeout", value: int64(l.AnswerTimeout)},
	} {
		if limit.value < 0 {
			d.report("client-limits."+limit.name, fmt.Sprint(limit.value), "a positive value", "leave it out for the default")
		}
	}
}
