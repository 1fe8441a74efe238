package matcher

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/rosecroft/rosecroft/src/units"
)

// InvalidError is the reason why a configuration is rejected, and how to correct it.
type InvalidError struct {
	Reason string
	Remedy string
}

// Error names the remedy.
func (e *InvalidError) Error() string { return e.Reason + "; " + e.Remedy }

// Validate returns an *InvalidError for an inconsistent configuration.
func (c *Configuration) Validate() error {
	if c.Version == 0 {
		return &InvalidError{
			Reason: "the version is 0 or missing",
			Remedy: "give each change a higher version, from 1",
		}
	}
	services := make(map[units.Service]bool)
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return &InvalidError{
				Reason: fmt.Sprintf("the service %q has no name or stands twice", s.Name),
				Remedy: "give each service a name of its own",
			}
		}
		services[s.Name] = true
	}
	if err := c.validateRoutes(services); err != nil {
		return err
	}
	return c.validateAccounts()
}

func (c *Configuration) validateRoutes(services map[units.Service]bool) error {
	names := make(map[[2]string]string)
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		hostPrefix := [2]string{r.Host, r.Prefix}
		if other, taken := names[hostPrefix]; taken {
			return &InvalidError{
				Reason: fmt.Sprintf("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix),
				Remedy: "remove one of them",
			}
		}
		names[hostPrefix] = r.Name
	}
	return nil
}

func (r *Route) validate(services map[units.Service]bool) error {
	if r.Timeout <= 0 {
		return &InvalidError{
			Reason: fmt.Sprintf("route %q has a timeout of 0", r.Name),
			Remedy: "give it the longest time that a caller may wait",
		}
	}
	if r.Host == "" || r.Prefix == "" || r.Kind == 0 {
		return &InvalidError{
			Reason: fmt.Sprintf("route %q lacks its host, prefix or kind", r.Name),
			Remedy: "state all three",
		}
	}
	total := 0
	for _, s := range r.Splits {
		if !services[s.Service] {
			return &InvalidError{
				Reason: fmt.Sprintf("route %q names the unknown service %q", r.Name, s.Service),
				Remedy: "add the service, or correct the name",
			}
		}
		if s.Weight < 0 {
			return &InvalidError{
				Reason: fmt.Sprintf("route %q has the weight %d", r.Name, s.Weight),
				Remedy: "use weights from 0",
			}
		}
		total += s.Weight
	}
	if total == 0 {
		return &InvalidError{
			Reason: fmt.Sprintf("the weights of route %q add up to 0", r.Name),
			Remedy: "give at least one service a weight",
		}
	}
	return nil
}

func (c *Configuration) validateAccounts() error {
	accountByKey := make(map[string]units.Account)
	names := make(map[units.Account]bool)
	for _, a := range c.Accounts {
		if a.Name == "" || names[a.Name] {
			return &InvalidError{
				Reason: fmt.Sprintf("the account %q has no name or stands twice", a.Name),
				Remedy: "give each account a name of its own",
			}
		}
		if strings.ContainsFunc(string(a.Name), unicode.IsControl) {
			return &InvalidError{
				Reason: fmt.Sprintf("the name of account %q contains a control character", a.Name),
				Remedy: "use a name that a header can state",
			}
		}
		names[a.Name] = true
		for _, key := range a.Keys {
			if other, taken := accountByKey[key]; taken && other != a.Name {
				return &InvalidError{
					Reason: fmt.Sprintf("accounts %q and %q share a key", other, a.Name),
					Remedy: "give each account keys of its own",
				}
			}
			accountByKey[key] = a.Name
		}
	}
	return nil
}
