package matcher

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Kind says what may be repeated on a route.
type Kind int

// The kinds of route.
const (
	// Idempotent calls may run more than once.
	Idempotent Kind = iota + 1
	// Once calls may run at most once for each attempt of the caller.
	Once
	// Streaming calls answer with a series of events.
	Streaming
)

// Declaration is one whole configuration in which the highest version wins.
type Declaration struct {
	Version  units.Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts is empty where calls need no key.
	Accounts []Account
}

// Route brings the calls to one host and path prefix to its services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a call is kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event, that callers want.
	Target time.Duration
	// Gap is the longest pause between events that callers want, 0 for none.
	Gap time.Duration
	// Urgency ranks the route, 0 first.
	Urgency  int
	Splits   []Split
	Attempts int
	// Anonymous calls need no key.
	Anonymous bool
	// Prompts says that the calls carry prompts whose parts are worth keeping together.
	Prompts bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// Split is a service's part of a route's calls.
type Split struct {
	Service units.Service
	Weight  int
}

// Service is one service that routes lead to.
type Service struct {
	Name       units.Service
	HealthPath string
	// Connections is the most that one upstream takes from all callers together.
	Connections int
	// Engine is nil for a service that generates nothing.
	Engine *Engine
	// Scaling is nil for a service of a fixed size.
	Scaling *Scaling
}

// Engine describes a service's model engines.
type Engine struct {
	Slots  int
	Memory units.Tokens
	// TokenBytes is the size of one token's memory.
	TokenBytes int64
	Moves      bool
	Backups    bool
	// EventTokens is how many tokens an event of a stream holds.
	EventTokens int
	// Watchers is how many callers may wait for an engine's cache events.
	Watchers int
}

// Scaling bounds what may be ordered of a service, in each data centre.
type Scaling struct {
	Least int
	Most  int
	// Boot is the time from the order to the first call.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream over that of another.
	ReclaimablePrice float64
	Prices           map[units.DataCentre]float64
}

// Limits bound what a caller may send and how long it may idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is one client account.
type Account struct {
	Name units.Account
	Keys []string
	// Urgency goes before that of the route where HasUrgency is set.
	Urgency    int
	HasUrgency bool
	// ByTokens says that Rate, Burst and Plain count tokens and not calls.
	ByTokens bool
	// Plain is what a call that states no tokens counts for.
	Plain float64
	// Rate is the limit a second, 0 for none.
	Rate  float64
	Burst float64
}
