package parser

import (
	"fmt"
	"net/url"

	"github.com/rosecroft/rosecroft/src/units"
)

// Fleet is what the platform offers and what may be used of it.
type Fleet struct {
	// Cloud is the base URL of the platform's cloud API; empty buys nothing.
	Cloud          string         `yaml:"cloud"`
	WeightStore    WeightStore    `yaml:"weight-store"`
	DataCentres    []DataCentre   `yaml:"data-centres"`
	MachineClasses []MachineClass `yaml:"machine-classes"`
	ModelVersions  []Weights      `yaml:"model-versions"`
}

// WeightStore bounds what upstreams are told to load.
type WeightStore struct {
	// BytesPerSecond is the rate that all loads share; 0 means no limit.
	BytesPerSecond int64 `yaml:"bytes-per-second"`
	LoadsAtOnce    int   `yaml:"loads-at-once"`
}

// DataCentre is one data centre with what it sells.
type DataCentre struct {
	Name   units.DataCentre `yaml:"name"`
	Region units.Region     `yaml:"region"`
	Offers []Offer          `yaml:"offers"`
}

// Offer is a machine class at its price in one data centre.
type Offer struct {
	Class    units.MachineClass `yaml:"class"`
	Price    units.Price        `yaml:"price"`
	OnDemand bool               `yaml:"on-demand"`
	// ReclaimsPerHour is how often an instance is taken back on average.
	ReclaimsPerHour float64 `yaml:"reclaims-per-hour"`
}

// MachineClass is one kind of machine.
type MachineClass struct {
	Name units.MachineClass `yaml:"name"`
	// Slots is how many sequences a machine runs at once at the latency target.
	Slots int `yaml:"slots"`
}

// Weights is one version's size in the weight store.
type Weights struct {
	Version units.ModelVersion `yaml:"version"`
	Bytes   int64              `yaml:"bytes"`
}

// ServiceFleet says what control may do with a service's upstreams.
type ServiceFleet struct {
	// Orders lets control tell upstreams what to load.
	Orders   bool     `yaml:"orders"`
	Adapters []string `yaml:"adapters"`
	Role     string   `yaml:"role"`
	// Floor is how many upstreams must stay in service during a change.
	Floor int `yaml:"floor"`
	// Slots is the least capacity to hold after the loss of any one data centre.
	Slots int `yaml:"slots"`
	// OnDemand is the least capacity on instances that are not reclaimed.
	OnDemand int `yaml:"on-demand"`
	// Most is how many instances may be bought; 0 buys none.
	Most int `yaml:"most"`
}

// defaultLoadsAtOnce is for a configuration that names no weight store.
const defaultLoadsAtOnce = 1

// WantedVersion is the version that a service's upstreams shall load.
func (s *Service) WantedVersion() units.ModelVersion {
	if s.NextVersion != "" {
		return s.NextVersion
	}
	return s.ModelVersion
}

// Accepts reports whether a service may use upstreams of a version: of the one
// it names or, during a change, of the next.
func (s *Service) Accepts(version units.ModelVersion) bool {
	return s.ModelVersion == "" || version == s.ModelVersion || (s.NextVersion != "" && version == s.NextVersion)
}

// Bytes returns a version's size, 0 where the configuration does not tell.
func (f *Fleet) Bytes(version units.ModelVersion) int64 {
	for _, weights := range f.ModelVersions {
		if weights.Version == version {
			return weights.Bytes
		}
	}
	return 0
}

// Slots returns a machine class's capacity, 0 where it is not known.
func (f *Fleet) Slots(class units.MachineClass) int {
	for _, known := range f.MachineClasses {
		if known.Name == class {
			return known.Slots
		}
	}
	return 0
}

func (d *document) validateFleet(c *Configuration) {
	f := &c.Fleet
	if f.Cloud != "" {
		address, err := url.Parse(f.Cloud)
		if err != nil || address.Host == "" || address.Path != "" {
			d.report("fleet.cloud", f.Cloud, "a base URL without a path", "write it like http://127.0.0.1:9300")
		}
	}
	classes := make(map[units.MachineClass]bool)
	for i, class := range f.MachineClasses {
		at := fmt.Sprintf("fleet.machine-classes[%d]", i)
		checkName(d, at+".name", string(class.Name), classes[class.Name])
		classes[class.Name] = true
		if class.Slots == 0 {
			d.report(at+".slots", "0", "a whole number from 1", "count the sequences that a machine runs at the latency target")
		}
	}
	d.validateOffers(f, classes)
	d.validateServiceFleets(c)
}

func (d *document) validateOffers(f *Fleet, classes map[units.MachineClass]bool) {
	names := make(map[units.DataCentre]bool)
	for i, dataCentre := range f.DataCentres {
		at := fmt.Sprintf("fleet.data-centres[%d]", i)
		checkName(d, at+".name", string(dataCentre.Name), names[dataCentre.Name])
		names[dataCentre.Name] = true
		for j, offer := range dataCentre.Offers {
			place := fmt.Sprintf("%s.offers[%d]", at, j)
			if !classes[offer.Class] {
				d.report(place+".class", string(offer.Class), "a class listed under machine-classes", "correct the name or add the class")
			}
			if offer.Price == 0 {
				d.report(place+".price", "0", "a number above 0", "write the price per hour")
			}
		}
	}
}

func (d *document) validateServiceFleets(c *Configuration) {
	for i := range c.Services {
		s := &c.Services[i]
		at := fmt.Sprintf("services[%d]", i)
		if s.Kind != ModelService && (s.Fleet.Orders || s.Fleet.Most > 0) {
			d.report(at+".fleet", string(s.Kind), "orders and purchases for model services alone", "remove them")
		}
		if s.NextVersion != "" && s.ModelVersion == "" {
			d.report(at+".next-version", string(s.NextVersion), "a next version beside a model-version", "name the version in service too")
		}
		if s.Fleet.Orders && s.ModelVersion == "" {
			d.report(at+".model-version", "", "a version, since orders are allowed", "name the version that upstreams shall load")
		}
		if s.Fleet.Most > 0 && (!s.Fleet.Orders || len(c.Fleet.DataCentres) == 0) {
			d.report(at+".fleet.most", fmt.Sprint(s.Fleet.Most), "purchases with orders and with offers", "allow orders and list the data centres under fleet")
		}
	}
}
