package parser

import (
	"fmt"
	"net/url"

	"github.com/rosecroft/rosecroft/src/units"
)

// Fleet is what the platform offers and how much of it may be used.
type Fleet struct {
	// Cloud is the base URL of the platform's cloud API; if it is empty, no instances are bought.
	Cloud          string           `yaml:"cloud"`
	WeightStore    WeightStore      `yaml:"weight-store"`
	DataCentres    []DataCentre     `yaml:"data-centres"`
	MachineClasses []MachineClass   `yaml:"machine-classes"`
	ModelVersions  []VersionWeights `yaml:"model-versions"`
}

// WeightStore bounds the concurrent loading of model weights by upstreams.
type WeightStore struct {
	// BytesPerSecond is the rate that all concurrent loads share; 0 means no limit.
	BytesPerSecond int64 `yaml:"bytes-per-second"`
	// MaxConcurrentLoads is the maximum number of concurrent loads.
	MaxConcurrentLoads int `yaml:"loads-at-once"`
}

// DataCentre is one data centre and the machine classes that it offers.
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
	// ReclaimsPerHour is the average rate at which the platform reclaims an instance.
	ReclaimsPerHour float64 `yaml:"reclaims-per-hour"`
}

// MachineClass is one kind of machine.
type MachineClass struct {
	Name units.MachineClass `yaml:"name"`
	// Slots is the number of sequences that a machine runs concurrently within the latency target.
	Slots int `yaml:"slots"`
}

// VersionWeights is a model version and the size of its weights.
type VersionWeights struct {
	Version units.ModelVersion `yaml:"version"`
	Bytes   int64              `yaml:"bytes"`
}

// ServiceFleet configures how control manages a service's upstreams.
type ServiceFleet struct {
	// AllowOrders allows control to order upstreams to load model versions.
	AllowOrders bool     `yaml:"orders"`
	Adapters    []string `yaml:"adapters"`
	Role        string   `yaml:"role"`
	// MinInService is the minimum number of upstreams in service during a version change.
	MinInService int `yaml:"floor"`
	// MinSlots is the minimum capacity that must remain after the loss of any one data centre.
	MinSlots int `yaml:"slots"`
	// MinOnDemand is the minimum capacity on instances that cannot be reclaimed.
	MinOnDemand int `yaml:"on-demand"`
	// MaxInstances is the maximum number of bought instances; 0 disables buying.
	MaxInstances int `yaml:"most"`
}

// defaultLoadsAtOnce applies where the configuration omits weight-store.loads-at-once.
const defaultLoadsAtOnce = 1

// WantedVersion returns the version that the service's upstreams should load.
func (s *Service) WantedVersion() units.ModelVersion {
	if s.NextVersion != "" {
		return s.NextVersion
	}
	return s.ModelVersion
}

// AcceptsVersion reports whether the service may use upstreams with a version: its model
// version or, during a change, the next version.
func (s *Service) AcceptsVersion(version units.ModelVersion) bool {
	return s.ModelVersion == "" || version == s.ModelVersion || (s.NextVersion != "" && version == s.NextVersion)
}

// WeightBytes returns the size of a version's weights, or 0 if the configuration does not state it.
func (f *Fleet) WeightBytes(version units.ModelVersion) int64 {
	for _, weights := range f.ModelVersions {
		if weights.Version == version {
			return weights.Bytes
		}
	}
	return 0
}

// SlotsOf returns the number of slots of a machine class, or 0 for an unknown class.
func (f *Fleet) SlotsOf(class units.MachineClass) int {
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
		classPath := fmt.Sprintf("fleet.machine-classes[%d]", i)
		checkName(d, classPath+".name", string(class.Name), classes[class.Name])
		classes[class.Name] = true
		if class.Slots == 0 {
			d.report(classPath+".slots", "0", "a whole number from 1", "count the sequences that a machine runs at the latency target")
		}
	}
	d.validateOffers(f, classes)
	d.validateServiceFleets(c)
}

func (d *document) validateOffers(f *Fleet, classes map[units.MachineClass]bool) {
	names := make(map[units.DataCentre]bool)
	for i, dataCentre := range f.DataCentres {
		dataCentrePath := fmt.Sprintf("fleet.data-centres[%d]", i)
		checkName(d, dataCentrePath+".name", string(dataCentre.Name), names[dataCentre.Name])
		names[dataCentre.Name] = true
		for j, offer := range dataCentre.Offers {
			offerPath := fmt.Sprintf("%s.offers[%d]", dataCentrePath, j)
			if !classes[offer.Class] {
				d.report(offerPath+".class", string(offer.Class), "a class listed under machine-classes", "correct the name or add the class")
			}
			if offer.Price == 0 {
				d.report(offerPath+".price", "0", "a number above 0", "write the price per hour")
			}
		}
	}
}

func (d *document) validateServiceFleets(c *Configuration) {
	for i := range c.Services {
		s := &c.Services[i]
		servicePath := fmt.Sprintf("services[%d]", i)
		if s.Kind != ModelService && (s.Fleet.AllowOrders || s.Fleet.MaxInstances > 0) {
			d.report(servicePath+".fleet", string(s.Kind), "orders and purchases for model services alone", "remove them")
		}
		if s.NextVersion != "" && s.ModelVersion == "" {
			d.report(servicePath+".next-version", string(s.NextVersion), "a next version beside a model-version", "name the version in service too")
		}
		if s.Fleet.AllowOrders && s.ModelVersion == "" {
			d.report(servicePath+".model-version", "", "a version, since orders are allowed", "name the version that upstreams shall load")
		}
		if s.Fleet.MaxInstances > 0 && (!s.Fleet.AllowOrders || len(c.Fleet.DataCentres) == 0) {
			d.report(servicePath+".fleet.most", fmt.Sprint(s.Fleet.MaxInstances), "purchases with orders and with offers", "allow orders and list the data centres under fleet")
		}
	}
}
