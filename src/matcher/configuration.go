package matcher

import (
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// Kind determines whether the calls on a route may be repeated.
type Kind int

// The kinds of route.
const (
	// Idempotent routes have calls that may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce routes have calls that may run at most once for each attempt of the caller.
	AtMostOnce
	// Streaming routes have calls that are answered with a stream of events.
	Streaming
)

// Configuration is one complete configuration. Of several, the one with the highest version
// applies.
type Configuration struct {
	Version  units.Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts is empty where calls need no API key.
	Accounts []Account
}

// Route directs the calls to one host and path prefix to its services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a call may take.
	Timeout time.Duration
	// Target is the target time to the answer, or to a stream's first event.
	Target time.Duration
	// EventGap is the target for the longest pause between a stream's events, 0 for none.
	EventGap time.Duration
	// Urgency ranks the route; 0 is the most urgent.
	Urgency     int
	Splits      []Split
	MaxAttempts int
	// AllowsAnonymous is set where calls need no API key.
	AllowsAnonymous bool
	// PrefixAffinity is set where the calls have prompt prefixes in common, so that calls with
	// the same prefixes should go to the same upstream.
	PrefixAffinity bool
	// Resumable is set where streams may resume at another upstream.
	Resumable bool
}

// Split is the fraction of a route's calls that goes to a service: its weight in
// proportion to the sum of the route's weights.
type Split struct {
	Service units.Service
	Weight  int
}

// Service is a service to which routes direct calls.
type Service struct {
	Name       units.Service
	HealthPath string
	// MaxConnections is the maximum that one upstream accepts from all callers together.
	MaxConnections int
	// Engine is nil for a service without model engines.
	Engine *Engine
	// Scaling is nil for a service of fixed size.
	Scaling *Scaling
}

// Engine describes a service's model engines.
type Engine struct {
	Slots int
	// CacheTokens is the size of the KV cache.
	CacheTokens units.Tokens
	// CacheBytesPerToken is the size of one token in the KV cache.
	CacheBytesPerToken int64
	Moves              bool
	Backups            bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// MaxCacheWatchers is the maximum number of callers that may wait for an engine's cache
	// events.
	MaxCacheWatchers int
}

// Scaling bounds the number of a service's upstreams in each data centre and holds what
// is needed to plan orders.
type Scaling struct {
	Min int
	Max int
	// BootTime is the time from the order of an upstream to its first call.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream as a fraction of the full
	// price.
	ReclaimablePrice float64
	Prices           map[units.DataCentre]float64
}

// Limits bounds what a caller may send and how long its connection may be idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Account is one client account.
type Account struct {
	Name units.Account
	Keys []string
	// Urgency overrides the route's urgency where HasUrgency is set.
	Urgency    int
	HasUrgency bool
	// CountsTokens is set where Rate, Burst and DefaultTokens count tokens instead of calls.
	CountsTokens bool
	// DefaultTokens is what a call that states no tokens counts as.
	DefaultTokens float64
	// Rate is the limit per second, 0 for none.
	Rate  float64
	Burst float64
}
