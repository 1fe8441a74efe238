package parser

import (
	"errors"
	"strings"
	"testing"
)

const settingsHead = "name: e1\ndata-centre: a\ncontrol: [{name: c1, data-centre: a, address: 127.0.0.1:1}]\n"

// Plain connections are allowed only on loopback addresses and only with
// insecure-loopback. With TLS, clients that can change state must be verified.
func TestSettingsRequireTLS(t *testing.T) {
	plain := "callers: {listen: 127.0.0.1:2}\nupstreams: {listen: 127.0.0.1:3}\noperators: {listen: 127.0.0.1:4}\n"
	secured := "callers: {listen: 10.0.0.1:2, certificate: c, private-key: k}\n" +
		"upstreams: {listen: 10.0.0.1:3, certificate: c, private-key: k, authorities: a}\n" +
		"operators: {listen: 10.0.0.1:4, certificate: c, private-key: k, authorities: a}\n"
	cases := map[string]struct {
		document string
		want     []string
	}{
		"plain loopback, allowed": {
			document: plain + "peers: {listen: 127.0.0.1:5}\ninsecure-loopback: true\n",
		},
		"plain loopback, not allowed": {
			document: plain + "peers: {listen: 127.0.0.1:5}\n",
			want: []string{
				"callers.certificate", "upstreams.certificate", "operators.certificate", "peers.certificate",
			},
		},
		"plain outside loopback": {
			document: plain + "peers: {listen: 10.0.0.1:5}\ninsecure-loopback: true\n",
			want:     []string{"peers.certificate"},
		},
		"TLS everywhere": {
			document: secured + "peers: {listen: 10.0.0.1:5, certificate: c, private-key: k, authorities: a}\n",
		},
		"TLS without peer verification": {
			document: secured + "peers: {listen: 10.0.0.1:5, certificate: c, private-key: k}\n",
			want:     []string{"peers.authorities"},
		},
		"certificate without key on loopback": {
			document: plain + "peers: {listen: 127.0.0.1:5, certificate: c}\ninsecure-loopback: true\n",
			want:     []string{"peers.authorities", "peers.certificate"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseSettings("f", []byte(settingsHead+c.document), Entry)
			var problems Problems
			errors.As(err, &problems)
			var got []string
			for _, problem := range problems {
				got = append(got, problem.Path)
			}
			if got, want := strings.Join(got, " "), strings.Join(c.want, " "); got != want {
				t.Errorf("problems: got %q (%v), want %q", got, err, want)
			}
		})
	}
}
