package matcher

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/units"
)

func route(name, host, prefix string, splits ...Split) Route {
	return Route{
		Name:    name,
		Host:    host,
		Prefix:  prefix,
		Kind:    Idempotent,
		Timeout: time.Second,
		Splits:  splits,
	}
}

func valid() *Configuration {
	return &Configuration{
		Version: 3,
		Routes: []Route{
			route("short", "a.example", "/x/", Split{Service: "s", Weight: 1}),
			route("long", "a.example", "/x/y/", Split{Service: "s", Weight: 90}, Split{Service: "u", Weight: 10}),
		},
		Services: []Service{{Name: "s"}, {Name: "u"}},
		Accounts: []Account{
			{Name: "one", Keys: []string{"k1", "k2"}},
			{Name: "two", Keys: []string{"k3"}},
		},
	}
}

func TestValidate(t *testing.T) {
	cases := map[string]struct {
		change func(d *Configuration)
		valid  bool
	}{
		"unchanged":          {change: func(*Configuration) {}, valid: true},
		"no version":         {change: func(d *Configuration) { d.Version = 0 }},
		"unknown service":    {change: func(d *Configuration) { d.Routes[0].Splits[0].Service = "z" }},
		"same host, prefix":  {change: func(d *Configuration) { d.Routes[1].Prefix = "/x/" }},
		"weights of 0":       {change: func(d *Configuration) { d.Routes[0].Splits[0].Weight = 0 }},
		"negative weight":    {change: func(d *Configuration) { d.Routes[1].Splits[1].Weight = -1 }},
		"no services":        {change: func(d *Configuration) { d.Routes[0].Splits = nil }},
		"timeout of 0":       {change: func(d *Configuration) { d.Routes[0].Timeout = 0 }},
		"no kind":            {change: func(d *Configuration) { d.Routes[0].Kind = 0 }},
		"shared key":         {change: func(d *Configuration) { d.Accounts[1].Keys = []string{"k1"} }},
		"key twice, one":     {change: func(d *Configuration) { d.Accounts[0].Keys = []string{"k1", "k1"} }, valid: true},
		"account twice":      {change: func(d *Configuration) { d.Accounts[1].Name = "one" }},
		"a line break":       {change: func(d *Configuration) { d.Accounts[1].Name = "two\r\nX-Tenant: one" }},
		"service twice":      {change: func(d *Configuration) { d.Services[1].Name = "s" }},
		"a weight of 0 of 2": {change: func(d *Configuration) { d.Routes[1].Splits[0].Weight = 0 }, valid: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := valid()
			c.change(d)
			err := d.Validate()
			var invalid *InvalidError
			if got, want := err == nil, c.valid; got != want {
				t.Fatalf("valid: got %t (%v), want %t", got, err, want)
			}
			if err != nil && !errors.As(err, &invalid) {
				t.Errorf("error: got %T, want *InvalidError", err)
			}
		})
	}
}

func TestRoute(t *testing.T) {
	table := NewTable(valid())
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":  {host: "a.example", path: "/x/y/z", want: "long"},
		"shorter prefix":  {host: "a.example", path: "/x/z", want: "short"},
		"port and case":   {host: "A.example:80", path: "/x/", want: "short"},
		"partial segment": {host: "a.example", path: "/xy/", want: ""},
		"unknown host":    {host: "b.example", path: "/x/", want: ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := table.Route(c.host, c.path); r != nil {
				got = r.Name
			}
			if got != c.want {
				t.Errorf("route: got %q, want %q", got, c.want)
			}
		})
	}
	if got := table.AccountByKey("k2"); got == nil || got.Name != "one" {
		t.Errorf("account: got %v, want one", got)
	}
	if got := table.AccountByKey("k9"); got != nil {
		t.Errorf("account of an unknown key: got %v, want none", got)
	}
}

// A service of weight 0 must never get a call, whatever the random number is.
func TestChooseNeverPicksWeightZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 5).Draw(t, "weights")
		r := Route{}
		total := 0
		for i, w := range weights {
			total += w
			r.Splits = append(r.Splits, Split{Service: units.Service(rune('a' + i)), Weight: w})
		}
		if total == 0 {
			return
		}
		chosen := r.ChooseService(rapid.Float64Range(0, 0.999999).Draw(t, "chance"))
		if w := weights[int([]rune(string(chosen))[0]-'a')]; w == 0 {
			t.Fatalf("chose %q of weight 0 among %v", chosen, weights)
		}
	})
}
