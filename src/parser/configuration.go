package parser

import (
	"strings"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// ServiceKind tells how the system talks to a service's upstreams.
type ServiceKind string

// The kinds of service.
const (
	// ModelService is a pool of language model engines.
	ModelService ServiceKind = "model"
	// PlainService is an application that answers HTTP requests.
	PlainService ServiceKind = "plain"
)

// Policy names a way to choose an upstream.
type Policy string

// The policies that a service can name.
const (
	PrefixCost  Policy = "prefix-cost"
	RoundRobin  Policy = "round-robin"
	LeastLoaded Policy = "least-loaded"
)

// Configuration is one whole configuration as operators submit it.
type Configuration struct {
	Version        units.Version   `yaml:"version"`
	Brands         []Brand         `yaml:"brands"`
	ClientAccounts []ClientAccount `yaml:"client-accounts"`
	Services       []Service       `yaml:"services"`
	Record         Record          `yaml:"record"`
	Fleet          Fleet           `yaml:"fleet"`
}

// Brand is one name that the service is resold under.
type Brand struct {
	Name   units.Brand `yaml:"name"`
	Hosts  []string    `yaml:"hosts"`
	Limits Limits      `yaml:"limits"`
}

// ClientAccount is one customer of a brand.
type ClientAccount struct {
	Name  units.Account `yaml:"name"`
	Brand units.Brand   `yaml:"brand"`
	Keys  []Key         `yaml:"keys"`
	// Weight is the account's part under contention, 1 where left out.
	Weight float64 `yaml:"weight"`
	// Priority 0 is shed last.
	Priority int    `yaml:"priority"`
	Limits   Limits `yaml:"limits"`
}

// Key is one API key, "ID.SECRET", of which only a salted hash is known.
type Key struct {
	ID string `yaml:"id"`
	// Salt and SHA256 are in hexadecimal.
	Salt   string `yaml:"salt"`
	SHA256 string `yaml:"sha256"`
}

// Limits bounds what is admitted over all entries; 0 means no limit.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests-per-second"`
	TokensPerSecond   float64 `yaml:"tokens-per-second"`
	Concurrency       int     `yaml:"concurrency"`
}

// Service is one model pool or application.
type Service struct {
	Name   units.Service `yaml:"name"`
	Kind   ServiceKind   `yaml:"kind"`
	Brands []units.Brand `yaml:"brands"`
	// Models are the names that callers write; for model services only.
	Models []units.Model `yaml:"models"`
	// ModelVersion is the version that engines must serve; empty takes any.
	ModelVersion units.ModelVersion `yaml:"model-version"`
	// NextVersion is loaded step by step while both are in service.
	NextVersion units.ModelVersion `yaml:"next-version"`
	Fleet       ServiceFleet       `yaml:"fleet"`
	// Route is the path prefix of a plain service.
	Route     string        `yaml:"route"`
	Upstreams UpstreamRule  `yaml:"upstreams"`
	Policy    Policy        `yaml:"policy"`
	Deadline  time.Duration `yaml:"deadline"`
	// Calls are the exceptions to what a call's method says about repeating it.
	Calls  []CallRule `yaml:"calls"`
	Limits Limits     `yaml:"limits"`
	Target Target     `yaml:"target"`
}

// UpstreamRule says which announced upstreams a service may use; an empty list takes all.
type UpstreamRule struct {
	DataCentres    []units.DataCentre   `yaml:"data-centres"`
	MachineClasses []units.MachineClass `yaml:"machine-classes"`
	// Names are shell patterns over the upstreams' names.
	Names []string `yaml:"names"`
}

// CallRule says whether calls of one method below one path may be repeated.
type CallRule struct {
	Method     string `yaml:"method"`
	Path       string `yaml:"path"`
	Repeatable bool   `yaml:"repeatable"`
}

// Target is the latency that 95 of 100 calls should see.
type Target struct {
	FirstToken    time.Duration `yaml:"first-token"`
	BetweenTokens time.Duration `yaml:"between-tokens"`
}

// Record bounds what is kept of answered calls for resends.
type Record struct {
	KeepFor   time.Duration `yaml:"keep-for"`
	KeepBytes int64         `yaml:"keep-bytes"`
}

// Defaults for what a configuration leaves out.
const (
	defaultDeadline      = 60 * time.Second
	defaultFirstToken    = time.Second
	defaultBetweenTokens = 27 * time.Millisecond
	defaultKeepFor       = 10 * time.Minute
	defaultKeepBytes     = 64 << 20
)

// ParseConfiguration returns a whole valid configuration, or Problems.
func ParseConfiguration(file string, content []byte) (*Configuration, error) {
	c := &Configuration{}
	d := decode(file, content, c)
	if !d.unreadable {
		d.validate(c)
	}
	if err := d.problems.err(); err != nil {
		return nil, err
	}
	c.fillDefaults()
	return c, nil
}

func (c *Configuration) fillDefaults() {
	c.Fleet.WeightStore.LoadsAtOnce = orDefault(c.Fleet.WeightStore.LoadsAtOnce, defaultLoadsAtOnce)
	c.Record.KeepFor = orDefault(c.Record.KeepFor, defaultKeepFor)
	c.Record.KeepBytes = orDefault(c.Record.KeepBytes, defaultKeepBytes)
	for i := range c.ClientAccounts {
		c.ClientAccounts[i].Weight = orDefault(c.ClientAccounts[i].Weight, 1)
	}
	for i := range c.Services {
		s := &c.Services[i]
		s.Policy = orDefault(s.Policy, PrefixCost)
		s.Deadline = orDefault(s.Deadline, defaultDeadline)
		s.Target.FirstToken = orDefault(s.Target.FirstToken, defaultFirstToken)
		s.Target.BetweenTokens = orDefault(s.Target.BetweenTokens, defaultBetweenTokens)
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Repeatable says whether a call may run more than once: by its longest
// matching rule, else by its method, and for model services always.
func (s *Service) Repeatable(method, path string) bool {
	longest := -1
	repeatable := s.Kind == ModelService || method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE"
	for _, rule := range s.Calls {
		if rule.Method == method && strings.HasPrefix(path, rule.Path) && len(rule.Path) > longest {
			longest = len(rule.Path)
			repeatable = rule.Repeatable
		}
	}
	return repeatable
}
