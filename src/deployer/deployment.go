package deployer

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/rosecroft/rosecroft/src/loader"
	"github.com/rosecroft/rosecroft/src/stager"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	controls  = 3
	applyWait = 20 * time.Second
	// callDeadline is how long a caller goes on asking.
	callDeadline = 60 * time.Second
)

// Deployment is one user's fleet.
type Deployment struct {
	Name          string
	DataCentres   []units.DataCentre
	Configuration string
	Entries       int
	Controls      int
	Pools         []Pool
	// Host and Keys are what callers send; a key for each client account.
	Host string
	Keys []string
	// OncePath and ReadPath are calls of the plain service.
	OncePath string
	ReadPath string
	Model    string
}

// Pool is the upstreams of one service.
type Pool struct {
	Service units.Service
	// Kind is "engine" or "plain".
	Kind  string
	Name  string
	Count int
	// Arguments are further options of the stand-in.
	Arguments []string
	// Offers are given to the upstreams in turn.
	Offers []Offer
}

// Offer is a machine class at its price.
type Offer struct {
	Class    units.MachineClass
	Price    units.Price
	OnDemand bool
}

// offers are the prices per hour that both examples assume: reclaimable
// instances at a third of the on-demand price, more or less by data centre.
var offers = []Offer{
	{Class: "reclaimable-small", Price: 0.30},
	{Class: "reclaimable-small", Price: 0.34},
	{Class: "reclaimable-large", Price: 0.42},
	{Class: "on-demand", Price: 1.00, OnDemand: true},
}

// Hearthline returns the deployment of the Hearthline Sweeps Consortium; files
// are found below root, the folder of the repository.
func Hearthline(root string) *Deployment {
	return &Deployment{
		Name:          "hearthline",
		DataCentres:   []units.DataCentre{"scot-central-a", "scot-central-b", "scot-central-c", "scot-central-d"},
		Configuration: filepath.Join(root, "examples", "hearthline.yaml"),
		Entries:       9,
		Controls:      controls,
		Pools: []Pool{
			{
				Service:   "ember-llm",
				Kind:      "engine",
				Name:      "ember",
				Count:     18,
				Arguments: []string{"--model", "ember-1", "--step", "2ms"},
				Offers:    offers,
			},
			{
				Service: "diary-app",
				Kind:    "plain",
				Name:    "diary",
				Count:   4,
				Offers:  offers,
			},
		},
		Host: "hearthline.example",
		Keys: []string{
			"strath-sweeps.example-secret", "forth-estates.example-secret",
			"clyde-lettings.example-secret", "croft-direct.example-secret",
		},
		OncePath: "/diary/bookings",
		ReadPath: "/diary/bookings",
		Model:    "ember-1",
	}
}

// Cooperativa returns the deployment of the Cooperativa de Avisos de Retiro
// Automotriz del Maule; files are found below root.
func Cooperativa(root string) *Deployment {
	return &Deployment{
		Name:          "cooperativa",
		DataCentres:   []units.DataCentre{"talca-a", "talca-b", "curico", "linares"},
		Configuration: filepath.Join(root, "examples", "cooperativa.yaml"),
		Entries:       8,
		Controls:      controls,
		Pools: []Pool{
			{
				Service:   "redactor",
				Kind:      "engine",
				Name:      "redactor",
				Count:     12,
				Arguments: []string{"--model", "redactor-1", "--step", "3ms"},
				Offers:    offers,
			},
			{
				Service: "registro",
				Kind:    "plain",
				Name:    "registro",
				Count:   4,
				Offers:  offers,
			},
		},
		Host: "avisos.example",
		Keys: []string{
			"andes-motors.example-secret", "pacifico-autos.example-secret",
			"dealers-curico.example-secret", "dealers-linares.example-secret",
		},
		OncePath: "/registro/bookings",
		ReadPath: "/registro/bookings",
		Model:    "redactor-1",
	}
}

// Fleet is a deployment that runs on a stage.
type Fleet struct {
	*Deployment
	Stage *stager.Stage
	// Journals is the folder of the upstreams' journals.
	Journals  string
	Upstreams []*Member
}

// Member is one upstream of a fleet with what it was started with.
type Member struct {
	*stager.Upstream
	Name       string
	Pool       *Pool
	Offer      Offer
	DataCentre units.DataCentre
	Started    time.Time
	// Stopped is zero while the instance is held.
	Stopped time.Time
}

// Start starts the whole deployment and waits until its configuration is in force.
func (d *Deployment) Start(ctx context.Context, stage *stager.Stage) (*Fleet, error) {
	fleet := &Fleet{
		Deployment: d,
		Stage:      stage,
		Journals:   stage.Folder,
	}
	if err := stage.StartFleet(d.Controls, d.Entries, d.DataCentres); err != nil {
		return nil, err
	}
	for i := range d.Pools {
		pool := &d.Pools[i]
		for number := range pool.Count {
			if _, err := fleet.Launch(pool, d.DataCentres[number%len(d.DataCentres)], pool.Offers[number%len(pool.Offers)]); err != nil {
				return nil, err
			}
		}
	}
	if err := stage.AwaitHealthy(ctx); err != nil {
		return nil, err
	}
	if err := fleet.Apply(ctx, d.Configuration); err != nil {
		return nil, err
	}
	return fleet, stage.AwaitReady(ctx)
}

// Launch starts one more upstream of a pool.
func (f *Fleet) Launch(pool *Pool, dataCentre units.DataCentre, offer Offer) (*Member, error) {
	name := fmt.Sprintf("%s-%d", pool.Name, len(f.Upstreams)+1)
	arguments := []string{
		"--service", string(pool.Service),
		"--data-centre", string(dataCentre),
		"--class", string(offer.Class),
		"--price", strconv.FormatFloat(float64(offer.Price), 'f', -1, 64),
		"--journal", filepath.Join(f.Journals, name+".journal"),
	}
	if offer.OnDemand {
		arguments = append(arguments, "--on-demand")
	}
	upstream, err := f.Stage.StartUpstream(pool.Kind, name, append(arguments, pool.Arguments...)...)
	if err != nil {
		return nil, err
	}
	member := &Member{
		Upstream:   upstream,
		Name:       name,
		Pool:       pool,
		Offer:      offer,
		DataCentre: dataCentre,
		Started:    time.Now(),
	}
	f.Upstreams = append(f.Upstreams, member)
	return member, nil
}

// Apply submits a configuration file and waits until it is in force.
func (f *Fleet) Apply(ctx context.Context, file string) error {
	apply := exec.CommandContext(ctx, f.Stage.Program, "apply", file,
		"--control", f.Stage.ControlURLs(), "--wait", applyWait.String())
	output, err := apply.CombinedOutput()
	if err != nil {
		return fmt.Errorf("apply %s: %w: %s", file, err, output)
	}
	return nil
}

// EntryURLs returns the entries' base URLs for callers.
func (f *Fleet) EntryURLs() []string {
	urls := make([]string, 0, len(f.Stage.Entries))
	for _, entry := range f.Stage.Entries {
		urls = append(urls, entry.CallerURL())
	}
	return urls
}

// Rates is how many calls of each kind a mixed load makes per second.
type Rates struct {
	Stream float64
	Whole  float64
	Once   float64
	Read   float64
}

// Mixed returns workloads of every kind, spread over the client accounts.
func (d *Deployment) Mixed(rates Rates) []*loader.Workload {
	var workloads []*loader.Workload
	share := 1 / float64(len(d.Keys))
	for i, key := range d.Keys {
		suffix := strconv.Itoa(i + 1)
		workloads = append(workloads,
			d.model("stream-"+suffix, loader.Stream, key, rates.Stream*share),
			d.model("whole-"+suffix, loader.Whole, key, rates.Whole*share),
			d.plain("once-"+suffix, loader.Once, key, d.OncePath, rates.Once*share),
			d.plain("read-"+suffix, loader.Read, key, d.ReadPath, rates.Read*share),
		)
	}
	return workloads
}

// Sizes of the model calls in a mixed load: bulletins and diaries share long
// beginnings, and answers run for some hundred steps.
const (
	mixedPrefixes     = 12
	mixedPrefixBytes  = 6144
	mixedPromptBytes  = 512
	mixedOutputTokens = 160
)

func (d *Deployment) model(name string, kind loader.Kind, key string, rate float64) *loader.Workload {
	return &loader.Workload{
		Name:         name,
		Kind:         kind,
		Host:         d.Host,
		Key:          key,
		Rate:         rate,
		Path:         "/v1/completions",
		Model:        d.Model,
		Prefixes:     mixedPrefixes,
		PrefixBytes:  mixedPrefixBytes,
		PromptBytes:  mixedPromptBytes,
		OutputTokens: mixedOutputTokens,
		Deadline:     callDeadline,
	}
}

func (d *Deployment) plain(name string, kind loader.Kind, key, path string, rate float64) *loader.Workload {
	return &loader.Workload{
		Name:     name,
		Kind:     kind,
		Host:     d.Host,
		Key:      key,
		Rate:     rate,
		Path:     path,
		Deadline: callDeadline,
	}
}
