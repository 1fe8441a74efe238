package parser

import (
	"strings"
	"time"

	"github.com/rosecroft/rosecroft/src/units"
)

// ServiceKind determines the protocol between the system and a service's upstreams.
type ServiceKind string

// The kinds of service.
const (
	// ModelService is a pool of engines that serve language models.
	ModelService ServiceKind = "model"
	// PlainService is an application that answers HTTP requests.
	PlainService ServiceKind = "plain"
)

// Policy names a load balancing policy, which selects the upstream for a call.
type Policy string

// The load balancing policies.
const (
	PrefixCost  Policy = "prefix-cost"
	RoundRobin  Policy = "round-robin"
	LeastLoaded Policy = "least-loaded"
)

// Configuration is one complete configuration as operators submit it.
type Configuration struct {
	Version        units.Version   `yaml:"version"`
	Brands         []Brand         `yaml:"brands"`
	ClientAccounts []ClientAccount `yaml:"client-accounts"`
	Services       []Service       `yaml:"services"`
	Record         RecordRetention `yaml:"record"`
	Fleet          Fleet           `yaml:"fleet"`
}

// Brand is one name under which the services are resold.
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
	// Weight is the account's relative share of capacity under contention; the default is 1.
	Weight float64 `yaml:"weight"`
	// Priority 0 is the highest: its calls are shed last.
	Priority int    `yaml:"priority"`
	Limits   Limits `yaml:"limits"`
}

// Key is one API key, "ID.SECRET". The configuration holds only a salted hash of the secret.
type Key struct {
	ID string `yaml:"id"`
	// Salt and SHA256 are hexadecimal.
	Salt   string `yaml:"salt"`
	SHA256 string `yaml:"sha256"`
}

// Limits bounds what all entries together admit; 0 means no limit.
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
	// Models are the model names in requests; for model services only.
	Models []units.Model `yaml:"models"`
	// ModelVersion is the version that engines must serve; empty allows any.
	ModelVersion units.ModelVersion `yaml:"model-version"`
	// NextVersion replaces ModelVersion gradually; meanwhile both versions are in service.
	NextVersion units.ModelVersion `yaml:"next-version"`
	Fleet       ServiceFleet       `yaml:"fleet"`
	// Route is the path prefix of a plain service.
	Route     string        `yaml:"route"`
	Upstreams UpstreamRule  `yaml:"upstreams"`
	Policy    Policy        `yaml:"policy"`
	Deadline  time.Duration `yaml:"deadline"`
	// CallRules override whether calls are repeatable, which their method decides otherwise.
	CallRules []CallRule    `yaml:"calls"`
	Limits    Limits        `yaml:"limits"`
	Target    LatencyTarget `yaml:"target"`
}

// UpstreamRule restricts which announced upstreams a service may use; an empty list allows all.
type UpstreamRule struct {
	DataCentres    []units.DataCentre   `yaml:"data-centres"`
	MachineClasses []units.MachineClass `yaml:"machine-classes"`
	// Names are shell patterns that upstream names must match.
	Names []string `yaml:"names"`
}

// CallRule states whether calls with a method and a path prefix are repeatable.
type CallRule struct {
	Method     string `yaml:"method"`
	Path       string `yaml:"path"`
	Repeatable bool   `yaml:"repeatable"`
}

// LatencyTarget is the latency target for the 95th percentile of calls.
type LatencyTarget struct {
	FirstToken    time.Duration `yaml:"first-token"`
	TokenInterval time.Duration `yaml:"between-tokens"`
}

// RecordRetention bounds the answers of completed calls that are retained for resent requests.
type RecordRetention struct {
	TTL      time.Duration `yaml:"keep-for"`
	MaxBytes int64         `yaml:"keep-bytes"`
}

// Defaults for omitted values of a configuration.
const (
	defaultDeadline      = 60 * time.Second
	defaultFirstToken    = time.Second
	defaultBetweenTokens = 27 * time.Millisecond
	defaultKeepFor       = 10 * time.Minute
	defaultKeepBytes     = 64 << 20
)

// ParseConfiguration returns a complete, valid configuration, or an error of type Problems.
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
	c.Fleet.WeightStore.MaxConcurrentLoads = orDefault(c.Fleet.WeightStore.MaxConcurrentLoads, defaultLoadsAtOnce)
	c.Record.TTL = orDefault(c.Record.TTL, defaultKeepFor)
	c.Record.MaxBytes = orDefault(c.Record.MaxBytes, defaultKeepBytes)
	for i := range c.ClientAccounts {
		c.ClientAccounts[i].Weight = orDefault(c.ClientAccounts[i].Weight, 1)
	}
	for i := range c.Services {
		s := &c.Services[i]
		s.Policy = orDefault(s.Policy, PrefixCost)
		s.Deadline = orDefault(s.Deadline, defaultDeadline)
		s.Target.FirstToken = orDefault(s.Target.FirstToken, defaultFirstToken)
		s.Target.TokenInterval = orDefault(s.Target.TokenInterval, defaultBetweenTokens)
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// IsRepeatable reports whether a call may run more than once. The rule with the
// longest matching path decides; without a match, all calls of model services and
// calls with an idempotent method are repeatable.
func (s *Service) IsRepeatable(method, path string) bool {
	longest := -1
	repeatable := s.Kind == ModelService || method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE"
	for _, rule := range s.CallRules {
		if rule.Method == method && strings.HasPrefix(path, rule.Path) && len(rule.Path) > longest {
			longest = len(rule.Path)
			repeatable = rule.Repeatable
		}
	}
	return repeatable
}
