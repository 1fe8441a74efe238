package connector

import (
	"testing"

	"github.com/rosecroft/rosecroft/src/certifier"
)

// A client with an operator's certificate connects to an entry's peer address and requests
// call records or hands a call over. It must be refused because of the certificate's role:
// records hold the answers of other accounts.
func TestPeerRoleIsRequired(t *testing.T) {
	cases := map[string]struct {
		peer Peer
		want bool
	}{
		"entry": {
			peer: Peer{
				Secured:  true,
				Identity: certifier.Identity{Role: certifier.Entry, Name: "e1"},
			},
			want: true,
		},
		"operator": {
			peer: Peer{
				Secured:  true,
				Identity: certifier.Identity{Role: certifier.Operator, Name: "o"},
			},
		},
		"no identity": {
			peer: Peer{Secured: true},
		},
		"plain loopback": {
			want: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got, want := c.peer.RequireRole(certifier.Entry) == nil, c.want; got != want {
				t.Errorf("may act as an entry: got %t, want %t", got, want)
			}
		})
	}
}
