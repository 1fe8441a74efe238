package quarantiner

import (
	"testing"

	"github.com/rosecroft/rosecroft/src/units"
)

// Guards against a request of another account, or for something else, that has the fingerprint
// of a quarantined request and is refused with it.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	want := FingerprintOf("acme", "POST", "h", "/p/", []byte("body"))
	cases := map[string]struct {
		account                  units.Account
		method, host, path, body string
		same                     bool
	}{
		"equal request":          {account: "acme", method: "POST", host: "h", path: "/p/", body: "body", same: true},
		"another account":        {account: "acmf", method: "POST", host: "h", path: "/p/", body: "body"},
		"another method":         {account: "acme", method: "PUT", host: "h", path: "/p/", body: "body"},
		"another host":           {account: "acme", method: "POST", host: "i", path: "/p/", body: "body"},
		"another path":           {account: "acme", method: "POST", host: "h", path: "/p/?x", body: "body"},
		"another body":           {account: "acme", method: "POST", host: "h", path: "/p/", body: "bodz"},
		"shifted field boundary": {account: "acm", method: "ePOST", host: "h", path: "/p/", body: "body"},
		"shifted path and body":  {account: "acme", method: "POST", host: "h", path: "/p", body: "/body"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := FingerprintOf(c.account, c.method, c.host, c.path, []byte(c.body))
			if (got == want) != c.same {
				t.Errorf("got %v beside %v, want equal: %t", got, want, c.same)
			}
		})
	}
}
