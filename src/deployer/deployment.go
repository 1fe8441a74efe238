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
	controlCount = 3
	applyWait    = 20 * time.Second
	// callDeadline is how long a caller retries a call.
	callDeadline = 60 * time.Second
)

// Deployment describes the fleet of one example and the calls of its callers.
type Deployment struct {
	Name          string
	DataCentres   []units.DataCentre
	Configuration string
	Entries       int
	Controls      int
	Pools         []Pool
	// Host is the Host header of calls; Keys has one API key per client account.
	Host string
	Keys []string
	// OncePath is the path of calls to the plain service that must run at most once;
	// ReadPath is that of calls that read.
	OncePath string
	ReadPath string
	Model    string
}

// Pool is a group of equal upstreams of one service.
type Pool struct {
	Service units.Service
	// UpstreamKind is "engine" or "plain".
	UpstreamKind string
	Name         string
	Count        int
	// Arguments are additional command line arguments of the stand-in.
	Arguments []string
	// Offers are assigned to the upstreams in turn.
	Offers []Offer
}

// Offer is a machine class at its price per instance and hour.
type Offer struct {
	Class    units.MachineClass
	Price    units.Price
	OnDemand bool
}

// offers are the prices per hour that both examples assume: reclaimable instances
// cost about a third of the on-demand price, with differences between data centres.
var offers = []Offer{
	{Class: "reclaimable-small", Price: 0.30},
	{Class: "reclaimable-small", Price: 0.34},
	{Class: "reclaimable-large", Price: 0.42},
	{Class: "on-demand", Price: 1.00, OnDemand: true},
}

// Hearthline returns the deployment of the Hearthline Sweeps Consortium; root is the
// root folder of the repository, which contains its configuration.
func Hearthline(root string) *Deployment {
	return &Deployment{
		Name:          "hearthline",
		DataCentres:   []units.DataCentre{"scot-central-a", "scot-central-b", "scot-central-c", "scot-central-d"},
		Configuration: filepath.Join(root, "examples", "hearthline.yaml"),
		Entries:       9,
		Controls:      controlCount,
		Pools: []Pool{
			{
				Service:      "ember-llm",
				UpstreamKind: "engine",
				Name:         "ember",
				Count:        18,
				Arguments:    []string{"--model", "ember-1", "--step", "2ms"},
				Offers:       offers,
			},
			{
				Service:      "diary-app",
				UpstreamKind: "plain",
				Name:         "diary",
				Count:        4,
				Offers:       offers,
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
// Automotriz del Maule; root is the root folder of the repository.
func Cooperativa(root string) *Deployment {
	return &Deployment{
		Name:          "cooperativa",
		DataCentres:   []units.DataCentre{"talca-a", "talca-b", "curico", "linares"},
		Configuration: filepath.Join(root, "examples", "cooperativa.yaml"),
		Entries:       8,
		Controls:      controlCount,
		Pools: []Pool{
			{
				Service:      "redactor",
				UpstreamKind: "engine",
				Name:         "redactor",
				Count:        12,
				Arguments:    []string{"--model", "redactor-1", "--step", "3ms"},
				Offers:       offers,
			},
			{
				Service:      "registro",
				UpstreamKind: "plain",
				Name:         "registro",
				Count:        4,
				Offers:       offers,
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

// Fleet is a deployment running on a cluster.
type Fleet struct {
	*Deployment
	Cluster *stager.Cluster
	// Journals is the folder with the upstreams' journals.
	Journals  string
	Upstreams []*Member
}

// Member is one upstream of a fleet with its launch parameters.
type Member struct {
	*stager.Upstream
	Name       string
	Pool       *Pool
	Offer      Offer
	DataCentre units.DataCentre
	Started    time.Time
	// Stopped is zero while the instance is in use.
	Stopped time.Time
}

// Start starts the whole deployment and waits until its configuration is in force.
func (d *Deployment) Start(ctx context.Context, cluster *stager.Cluster) (*Fleet, error) {
	fleet := &Fleet{
		Deployment: d,
		Cluster:    cluster,
		Journals:   cluster.Folder,
	}
	if err := cluster.StartFleet(d.Controls, d.Entries, d.DataCentres); err != nil {
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
	if err := cluster.AwaitHealthy(ctx); err != nil {
		return nil, err
	}
	if err := fleet.Apply(ctx, d.Configuration); err != nil {
		return nil, err
	}
	return fleet, cluster.AwaitReady(ctx)
}

// Launch starts one additional upstream of a pool.
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
	upstream, err := f.Cluster.StartUpstream(pool.UpstreamKind, name, append(arguments, pool.Arguments...)...)
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

// Apply submits a configuration file and waits until it is in force everywhere.
func (f *Fleet) Apply(ctx context.Context, file string) error {
	apply := exec.CommandContext(ctx, f.Cluster.Program, "apply", file,
		"--control", f.Cluster.ControlURLs(), "--wait", applyWait.String())
	output, err := apply.CombinedOutput()
	if err != nil {
		return fmt.Errorf("apply %s: %w: %s", file, err, output)
	}
	return nil
}

// EntryURLs returns the entries' base URLs for callers.
func (f *Fleet) EntryURLs() []string {
	urls := make([]string, 0, len(f.Cluster.Entries))
	for _, entry := range f.Cluster.Entries {
		urls = append(urls, entry.CallerURL())
	}
	return urls
}

// Rates is the number of calls of each kind per second in a mixed load.
type Rates struct {
	Stream        float64
	Whole         float64
	NonRepeatable float64
	Read          float64
}

// MixedWorkloads returns workloads of every kind, spread evenly over the client accounts.
func (d *Deployment) MixedWorkloads(rates Rates) []*loader.Workload {
	var workloads []*loader.Workload
	share := 1 / float64(len(d.Keys))
	for i, key := range d.Keys {
		suffix := strconv.Itoa(i + 1)
		workloads = append(workloads,
			d.modelWorkload("stream-"+suffix, loader.Stream, key, rates.Stream*share),
			d.modelWorkload("whole-"+suffix, loader.NonStreaming, key, rates.Whole*share),
			d.plainWorkload("once-"+suffix, loader.NonRepeatable, key, d.OncePath, rates.NonRepeatable*share),
			d.plainWorkload("read-"+suffix, loader.Read, key, d.ReadPath, rates.Read*share),
		)
	}
	return workloads
}

// Sizes of the model calls in a mixed load, modelled on bulletins and diaries: their
// prompts share long prefixes, and their answers take some hundred decoding steps.
const (
	mixedPrefixes     = 12
	mixedPrefixBytes  = 6144
	mixedPromptBytes  = 512
	mixedOutputTokens = 160
)

func (d *Deployment) modelWorkload(name string, kind loader.Kind, key string, rate float64) *loader.Workload {
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

func (d *Deployment) plainWorkload(name string, kind loader.Kind, key, path string, rate float64) *loader.Workload {
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
