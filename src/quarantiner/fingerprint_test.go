package quarantiner

import (
	"testing"

	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against requests of other accounts, or that ask for something else, which pass for
// one that is refused.
func TestFingerprints(t *testing.T) {
	want := FingerprintOf("acme", "POST", "h", "/p/", []byte("body"))
	cases := map[string]struct {
		account                  units.Account
		method, host, path, body string
		same                     bool
	}{
		"the same again":             {account: "acme", method: "POST", host: "h", path: "/p/", body: "body", same: true},
		"another account":            {account: "acmf", method: "POST", host: "h", path: "/p/", body: "body"},
		"another method":             {account: "acme", method: "PUT", host: "h", path: "/p/", body: "body"},
		"another host":               {account: "acme", method: "POST", host: "i", path: "/p/", body: "body"},
		"another path":               {account: "acme", method: "POST", host: "h", path: "/p/?x", body: "body"},
		"another body":               {account: "acme", method: "POST", host: "h", path: "/p/", body: "bodz"},
		"parts that run together":    {account: "acm", method: "ePOST", host: "h", path: "/p/", body: "body"},
		"a path that runs into body": {account: "acme", method: "POST", host: "h", path: "/p", body: "/body"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := FingerprintOf(c.account, c.method, c.host, c.path, []byte(c.body))
			if (got == want) != c.same {
				t.Errorf("got %v beside %v, want it the same: %t", got, want, c.same)
			}
		})
	}
}
