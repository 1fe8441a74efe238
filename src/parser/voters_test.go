package parser

import (
	"fmt"
	"strings"
	"testing"
)

func controlSettings(instances int, voters string) []byte {
	var text strings.Builder
	text.WriteString("name: c1\ndata-centre: dc-a\ndata-folder: data\ninsecure-loopback: true\n")
	text.WriteString("operators: {listen: \"127.0.0.1:1\"}\npeers: {listen: \"127.0.0.1:2\"}\n" + voters + "control:\n")
	for i := range instances {
		fmt.Fprintf(&text, "  - {name: c%d, data-centre: dc-%d, address: \"127.0.0.1:%d\"}\n", i+1, i, 100+i)
	}
	return []byte(text.String())
}

// Operators list the control instances and may set how many of them vote. An even
// number makes a majority harder to reach without tolerating more losses, and a
// number above that of the instances cannot be met; both are rejected. The default
// is the largest odd number of at most five.
func TestVotersValidatedAndDefaulted(t *testing.T) {
	cases := map[string]struct {
		instances int
		voters    string
		want      int
	}{
		"one instance":              {instances: 1, want: 1},
		"two instances":             {instances: 2, want: 1},
		"three instances":           {instances: 3, want: 3},
		"four instances":            {instances: 4, want: 3},
		"nine instances":            {instances: 9, want: 5},
		"three of five":             {instances: 5, voters: "voters: 3\n", want: 3},
		"an even number":            {instances: 5, voters: "voters: 4\n"},
		"more than there are":       {instances: 3, voters: "voters: 5\n"},
		"fewer than one":            {instances: 3, voters: "voters: -1\n"},
		"above the default maximum": {instances: 9, voters: "voters: 7\n", want: 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			settings, err := ParseSettings("settings", controlSettings(c.instances, c.voters), Control)
			if c.want == 0 {
				if err == nil || !strings.Contains(err.Error(), "voters") {
					t.Errorf("settings: got %v, want a problem with voters", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if got := settings.Voters; got != c.want {
				t.Errorf("voters: got %d, want %d", got, c.want)
			}
		})
	}
}
