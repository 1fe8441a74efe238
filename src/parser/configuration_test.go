package parser

import (
	"errors"
	"os"
	"strings"
	"testing"
)

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"hearthline.yaml", "cooperativa.yaml"} {
		t.Run(name, func(t *testing.T) {
			content, err := os.ReadFile("../../examples/" + name)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := ParseConfiguration(name, content); err != nil {
				t.Errorf("problems: got %v, want none", err)
			}
		})
	}
}

func TestProblemsReportPositions(t *testing.T) {
	cases := map[string]struct {
		document string
		want     []string
	}{
		"unknown key": {
			document: "version: 1\nbrand: []\n",
			want:     []string{`f:2:1: brand: "brand" is not allowed`},
		},
		"duplicate key": {
			document: "version: 1\nversion: 2\n",
			want:     []string{`f:2:1: version: "version" is not allowed: each key once`},
		},
		"bad duration": {
			document: "version: 1\nrecord:\n  keep-for: 10\n",
			want:     []string{`f:3:13: record.keep-for: "10" is not allowed: a duration`},
		},
		"unknown brand and invalid kind": {
			document: "version: 1\nservices:\n  - name: a\n    kind: b\n    brands: [c]\n",
			want: []string{
				`f:4:11: services[0].kind: "b" is not allowed`,
				`f:5:14: services[0].brands[0]: "c" is not allowed`,
			},
		},
		"overlapping routes": {
			document: "version: 1\nbrands: [{name: b}]\nservices:\n" +
				"  - {name: a, kind: plain, brands: [b], route: /x}\n" +
				"  - {name: c, kind: plain, brands: [b], route: /x/y}\n",
			want: []string{`f:5:48: services[1].route: "/x/y" is not allowed`},
		},
		"bad duration and unknown brand": {
			document: "version: 1\nrecord:\n  keep-for: 10\nclient-accounts:\n  - {name: a, brand: b}\n",
			want: []string{
				`f:3:13: record.keep-for: "10" is not allowed`,
				`f:5:22: client-accounts[0].brand: "b" is not allowed`,
			},
		},
		"accounts of undecodable brands": {
			document: "version: 1\nbrands: b\nclient-accounts:\n  - {name: a, brand: b}\n",
			want:     []string{`f:2:9: brands: "b" is not allowed: a list`},
		},
		"infinite rate": {
			document: "version: 1\nbrands: [{name: b}]\nclient-accounts:\n  - {name: a, brand: b, limits: {requests-per-second: inf}}\n",
			want:     []string{`f:4:55: client-accounts[0].limits.requests-per-second: "inf" is not allowed: a number from 0`},
		},
		"host in upper case": {
			document: "version: 1\nbrands: [{name: b, hosts: [A.example]}]\n",
			want:     []string{`f:2:28: brands[0].hosts[0]: "A.example" is not allowed: a host name in lower case`},
		},
		"two rules for one call": {
			document: "version: 1\nbrands: [{name: b}]\nservices:\n  - {name: a, kind: plain, brands: [b], route: /x, calls: " +
				"[{method: POST, path: /y, repeatable: true}, {method: POST, path: /y}]}\n",
			want: []string{`f:4:125: services[0].calls[1].path: "/y" is not allowed: one rule`},
		},
		"empty": {
			document: "",
			want:     []string{"f:1:1: document"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseConfiguration("f", []byte(c.document))
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("error: got %v, want Problems", err)
			}
			if got, want := len(problems), len(c.want); got != want {
				t.Fatalf("problems: got %d (%v), want %d", got, err, want)
			}
			for i, want := range c.want {
				if got := problems[i].Error(); !strings.HasPrefix(got, want) {
					t.Errorf("problem %d: got %q, want prefix %q", i, got, want)
				}
			}
		})
	}
}
