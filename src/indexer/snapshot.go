package indexer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"path"
	"slices"
	"strings"

	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// Snapshot is an immutable index over a configuration and its usable upstreams. It resolves
// the brand, the client account and the service of a request.
type Snapshot struct {
	Configuration *parser.Configuration

	brands          map[string]units.Brand
	keys            map[string]*accountKey
	models          map[units.Model]*Service
	services        []*Service
	usableByService map[units.Service][]*tracker.Upstream
	totalKnown      int
}

// Service is one configured service with the upstreams that it may use, sorted by name.
type Service struct {
	parser.Service
	UsableUpstreams []*tracker.Upstream
}

type accountKey struct {
	account *parser.ClientAccount
	salt    []byte
	hash    []byte
}

// Build returns a snapshot of a configuration and the usable upstreams.
func Build(configuration *parser.Configuration, usable []*tracker.Upstream) *Snapshot {
	s := &Snapshot{
		Configuration:   configuration,
		brands:          make(map[string]units.Brand),
		keys:            make(map[string]*accountKey),
		models:          make(map[units.Model]*Service),
		usableByService: make(map[units.Service][]*tracker.Upstream),
		totalKnown:      len(usable),
	}
	for _, upstream := range usable {
		s.usableByService[upstream.Service] = append(s.usableByService[upstream.Service], upstream)
	}
	s.indexBrands()
	s.indexKeys()
	s.indexServices()
	return s
}

func (s *Snapshot) indexBrands() {
	for _, brand := range s.Configuration.Brands {
		for _, host := range brand.Hosts {
			s.brands[strings.ToLower(host)] = brand.Name
		}
	}
}

func (s *Snapshot) indexKeys() {
	for i := range s.Configuration.ClientAccounts {
		account := &s.Configuration.ClientAccounts[i]
		for _, key := range account.Keys {
			salt, _ := hex.DecodeString(key.Salt)
			hash, _ := hex.DecodeString(key.SHA256)
			s.keys[key.ID] = &accountKey{
				account: account,
				salt:    salt,
				hash:    hash,
			}
		}
	}
}

func (s *Snapshot) indexServices() {
	for _, configured := range s.Configuration.Services {
		service := &Service{
			Service: configured,
		}
		for _, upstream := range s.usableByService[configured.Name] {
			if isAllowed(&service.Service, upstream) {
				service.UsableUpstreams = append(service.UsableUpstreams, upstream)
			}
		}
		slices.SortFunc(service.UsableUpstreams, func(a, b *tracker.Upstream) int {
			return strings.Compare(string(a.Name), string(b.Name))
		})
		s.services = append(s.services, service)
		for _, model := range configured.Models {
			s.models[model] = service
		}
	}
}

func isAllowed(service *parser.Service, upstream *tracker.Upstream) bool {
	rule := service.Upstreams
	if len(rule.DataCentres) > 0 && !slices.Contains(rule.DataCentres, upstream.DataCentre) {
		return false
	}
	if len(rule.MachineClasses) > 0 && !slices.Contains(rule.MachineClasses, upstream.MachineClass) {
		return false
	}
	if !service.AcceptsVersion(upstream.ModelVersion) {
		return false
	}
	return len(rule.Names) == 0 || slices.ContainsFunc(rule.Names, func(pattern string) bool {
		matched, _ := path.Match(pattern, string(upstream.Name))
		return matched
	})
}

// Brand returns the brand to which a Host header belongs.
func (s *Snapshot) Brand(host string) (units.Brand, bool) {
	name, _, _ := strings.Cut(host, ":")
	brand, known := s.brands[strings.ToLower(name)]
	return brand, known
}

// Account returns the client account of any brand to which an API key "ID.SECRET" belongs.
func (s *Snapshot) Account(key string) (*parser.ClientAccount, bool) {
	id, secret, found := strings.Cut(key, ".")
	known, exists := s.keys[id]
	if !found || !exists {
		return nil, false
	}
	sum := HashKey(known.salt, secret)
	if subtle.ConstantTimeCompare(sum, known.hash) != 1 {
		return nil, false
	}
	return known.account, true
}

// HashKey returns the salted hash of a key's secret, as the configuration stores it.
func HashKey(salt []byte, secret string) []byte {
	sum := sha256.Sum256(append(slices.Clone(salt), secret...))
	return sum[:]
}

// ModelService returns the service that serves a model to a brand.
func (s *Snapshot) ModelService(brand units.Brand, model units.Model) (*Service, bool) {
	service, known := s.models[model]
	if !known || !slices.Contains(service.Brands, brand) {
		return nil, false
	}
	return service, true
}

// PlainService returns the plain service of a brand whose route is a prefix of a path.
func (s *Snapshot) PlainService(brand units.Brand, requestPath string) (*Service, bool) {
	for _, service := range s.services {
		if service.Kind != parser.PlainService || !slices.Contains(service.Brands, brand) {
			continue
		}
		if requestPath == service.Route || strings.HasPrefix(requestPath, service.Route+"/") {
			return service, true
		}
	}
	return nil, false
}

// Models returns the models that a brand may use, in the order of the configuration.
func (s *Snapshot) Models(brand units.Brand) []units.Model {
	var models []units.Model
	for _, service := range s.services {
		if slices.Contains(service.Brands, brand) {
			models = append(models, service.Models...)
		}
	}
	return models
}

// Services returns all services.
func (s *Snapshot) Services() []*Service { return s.services }

// Service returns a service by name.
func (s *Snapshot) Service(name units.Service) (*Service, bool) {
	for _, service := range s.services {
		if service.Name == name {
			return service, true
		}
	}
	return nil, false
}
