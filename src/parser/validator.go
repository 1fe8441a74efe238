package parser

import (
	"encoding/hex"
	"errors"
	"fmt"
	"path"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/rosecroft/rosecroft/src/units"
)

const (
	allowedName   = "letters, digits, '.', '_' and '-', 1 to 63 of them"
	maxNameLength = 63
	hashBytes     = 32
	minSaltBytes  = 8
)

func asSyntaxError(err error, target **yaml.SyntaxError) bool {
	return errors.As(err, target)
}

func (d *document) validate(c *Configuration) {
	if c.Version == 0 {
		d.report("version", "0", "a whole number from 1", "raise it with each change")
	}
	brands := d.validateBrands(c.Brands)
	d.validateAccounts(c.ClientAccounts, brands)
	d.validateServices(c.Services, brands)
	d.validateFleet(c)
}

func (d *document) validateBrands(list []Brand) map[units.Brand]bool {
	brands := make(map[units.Brand]bool)
	hosts := make(map[string]bool)
	for i, brand := range list {
		brandPath := fmt.Sprintf("brands[%d]", i)
		checkName(d, brandPath+".name", string(brand.Name), brands[brand.Name])
		brands[brand.Name] = true
		for j, host := range brand.Hosts {
			hostPath := fmt.Sprintf("%s.hosts[%d]", brandPath, j)
			if host == "" || strings.ContainsAny(host, "/: ") {
				d.report(hostPath, host, "a host name without port or path", "write the name alone")
			}
			if host != strings.ToLower(host) {
				d.report(hostPath, host, "a host name in lower case", "write it in lower case, as it is compared")
			}
			if hosts[host] {
				d.report(hostPath, host, "each host with one brand", "remove it from one of them")
			}
			hosts[host] = true
		}
	}
	return brands
}

func (d *document) validateAccounts(list []ClientAccount, brands map[units.Brand]bool) {
	names := make(map[units.Account]bool)
	keys := make(map[string]bool)
	for i, account := range list {
		accountPath := fmt.Sprintf("client-accounts[%d]", i)
		checkName(d, accountPath+".name", string(account.Name), names[account.Name])
		names[account.Name] = true
		d.checkBrand(accountPath+".brand", account.Brand, brands)
		for j, key := range account.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", accountPath, j)
			checkName(d, keyPath+".id", key.ID, keys[key.ID])
			keys[key.ID] = true
			d.checkHex(keyPath+".salt", key.Salt, minSaltBytes)
			d.checkHex(keyPath+".sha256", key.SHA256, hashBytes)
		}
	}
}

func (d *document) checkHex(fieldPath, value string, minBytes int) {
	content, err := hex.DecodeString(value)
	if err != nil || len(content) < minBytes {
		d.report(fieldPath, value, fmt.Sprintf("hexadecimal of at least %d bytes", minBytes), "make it with `rosecroft make-key`")
	}
}

func (d *document) checkBrand(fieldPath string, name units.Brand, brands map[units.Brand]bool) {
	if !brands[name] && !d.isUndecodable("brands") {
		d.report(fieldPath, string(name), "a brand listed under brands", "correct the name or add the brand")
	}
}

func (d *document) validateServices(list []Service, brands map[units.Brand]bool) {
	names := make(map[units.Service]bool)
	models := make(map[units.Model]bool)
	for i, service := range list {
		servicePath := fmt.Sprintf("services[%d]", i)
		checkName(d, servicePath+".name", string(service.Name), names[service.Name])
		names[service.Name] = true
		for j, brand := range service.Brands {
			d.checkBrand(fmt.Sprintf("%s.brands[%d]", servicePath, j), brand, brands)
		}
		d.checkPolicy(servicePath, service.Policy)
		d.checkPatterns(servicePath, service.Upstreams.Names)
		d.checkCalls(servicePath, service.CallRules)
		switch service.Kind {
		case ModelService:
			d.validateModels(servicePath, service, models)
		case PlainService:
			d.checkRoute(servicePath, i, list)
		default:
			d.report(servicePath+".kind", string(service.Kind), "model or plain", "write one of the two")
		}
	}
}

func (d *document) validateModels(servicePath string, service Service, models map[units.Model]bool) {
	if len(service.Models) == 0 {
		d.report(servicePath+".models", "", "at least one model", "list the names that callers write")
	}
	if service.Route != "" {
		d.report(servicePath+".route", service.Route, "nothing for a model service", "remove the route")
	}
	for j, model := range service.Models {
		checkName(d, fmt.Sprintf("%s.models[%d]", servicePath, j), string(model), models[model])
		models[model] = true
	}
}

func (d *document) checkRoute(servicePath string, index int, list []Service) {
	route := list[index].Route
	if !strings.HasPrefix(route, "/") || path.Clean(route) != route || route == "/" {
		d.report(servicePath+".route", route, "a clean absolute path below /", "write it like /diary")
		return
	}
	if route == "/v1" || strings.HasPrefix(route, "/v1/") {
		d.report(servicePath+".route", route, "a path outside /v1, which serves models", "choose another prefix")
	}
	for _, earlier := range list[:index] {
		if earlier.Kind == PlainService && sharesBrand(earlier, list[index]) && routesOverlap(earlier.Route, route) {
			d.report(servicePath+".route", route, "no route within another of the same brand",
				"change it or the route of "+string(earlier.Name))
		}
	}
}

func (d *document) checkPolicy(servicePath string, policy Policy) {
	allowed := []Policy{"", PrefixCost, RoundRobin, LeastLoaded}
	if !slices.Contains(allowed, policy) {
		d.report(servicePath+".policy", string(policy), "prefix-cost, round-robin or least-loaded", "write one of them or leave it out")
	}
}

func (d *document) checkPatterns(servicePath string, patterns []string) {
	for j, pattern := range patterns {
		if _, err := path.Match(pattern, ""); err != nil {
			d.report(fmt.Sprintf("%s.upstreams.names[%d]", servicePath, j), pattern, "a shell pattern", "close its brackets")
		}
	}
}

func (d *document) checkCalls(servicePath string, rules []CallRule) {
	methods := []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
	for j, rule := range rules {
		rulePath := fmt.Sprintf("%s.calls[%d]", servicePath, j)
		if !slices.Contains(methods, rule.Method) {
			d.report(rulePath+".method", rule.Method, strings.Join(methods, ", "), "write one of them")
		}
		if !strings.HasPrefix(rule.Path, "/") {
			d.report(rulePath+".path", rule.Path, "an absolute path", "begin it with /")
		}
		for _, earlier := range rules[:j] {
			if earlier.Method == rule.Method && earlier.Path == rule.Path {
				d.report(rulePath+".path", rule.Path, "one rule for each method and path", "remove one of the two")
			}
		}
	}
}

func checkName(d *document, fieldPath, name string, duplicate bool) {
	if !validName(name) {
		d.report(fieldPath, name, allowedName, "choose another name")
	}
	if duplicate {
		d.report(fieldPath, name, "each name once", "rename one of the two")
	}
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		return !letter && !digit && !strings.ContainsRune("._-", r)
	})
}

func sharesBrand(a, b Service) bool {
	return slices.ContainsFunc(a.Brands, func(brand units.Brand) bool {
		return slices.Contains(b.Brands, brand)
	})
}

func routesOverlap(a, b string) bool {
	return strings.HasPrefix(a+"/", b+"/") || strings.HasPrefix(b+"/", a+"/")
}

func checkAddress(d *document, fieldPath, address string) {
	host, port, found := strings.Cut(address, ":")
	number, err := strconv.Atoi(port)
	if !found || host == "" || err != nil || number < 0 || number > 65535 {
		d.report(fieldPath, address, "an IP number and a port", "write it like 127.0.0.1:8080")
	}
}
