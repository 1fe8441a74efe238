package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"os"
	"testing"
	"time"
)

func issue(t *testing.T, folder string, identity Identity) *Source {
	t.Helper()
	authority := &Authority{
		Folder:   folder,
		Lifetime: time.Hour,
	}
	if err := authority.Make(); err != nil {
		t.Fatal(err)
	}
	files, err := authority.Issue(identity)
	if err != nil {
		t.Fatal(err)
	}
	return &Source{
		Files: files,
	}
}

// Certificates are replaced file by file; for a moment the new certificate
// stands beside the old key. A process that took them then would fail each
// handshake, so it must go on with the earlier pair until both fit.
func TestHalfReplacedFilesKeepTheEarlierOnes(t *testing.T) {
	folder := t.TempDir()
	identity := Identity{Role: Entry, Name: "e1"}
	source := issue(t, folder, identity)
	if _, err := source.Load(); err != nil {
		t.Fatal(err)
	}
	before := source.current.Load()
	key, err := os.ReadFile(source.Files.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	issue(t, folder, identity)
	next, err := os.ReadFile(source.Files.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(source.Files.PrivateKey, key, keyMode); err != nil {
		t.Fatal(err)
	}
	if _, err := source.Load(); err == nil || source.current.Load() != before {
		t.Errorf("half replaced: got error %v, want one and the earlier pair in use", err)
	}
	if err := os.WriteFile(source.Files.PrivateKey, next, keyMode); err != nil {
		t.Fatal(err)
	}
	if changed, err := source.Load(); err != nil || !changed || source.current.Load() == before {
		t.Errorf("replaced: got changed %t, error %v, want the new pair in use", changed, err)
	}
}

func TestIdentityOf(t *testing.T) {
	cases := map[string]struct {
		uris []string
		want Identity
		fail bool
	}{
		"one":              {uris: []string{"urn:rosecroft:entry:e1"}, want: Identity{Role: Entry, Name: "e1"}},
		"others beside it": {uris: []string{"https://a.example/", "urn:rosecroft:upstream:u"}, want: Identity{Role: Upstream, Name: "u"}},
		"two":              {uris: []string{"urn:rosecroft:entry:e1", "urn:rosecroft:control:c1"}, fail: true},
		"none":             {fail: true},
		"no name":          {uris: []string{"urn:rosecroft:entry:"}, fail: true},
		"other scheme":     {uris: []string{"url:rosecroft:entry:e1"}, fail: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			certificate := &x509.Certificate{}
			for _, uri := range c.uris {
				parsed, err := url.Parse(uri)
				if err != nil {
					t.Fatal(err)
				}
				certificate.URIs = append(certificate.URIs, parsed)
			}
			got, err := IdentityOf(certificate)
			if got != c.want || (err != nil) != c.fail {
				t.Errorf("identity: got %v, error %v, want %v, error %t", got, err, c.want, c.fail)
			}
		})
	}
}

// A server that asks for no client certificate still sees whatever one was
// sent, unverified. Taking its name would let anyone be anyone.
func TestUnverifiedCertificateIsNobody(t *testing.T) {
	folder := t.TempDir()
	source := issue(t, folder, Identity{Role: Operator, Name: "alice"})
	if _, err := source.Load(); err != nil {
		t.Fatal(err)
	}
	leaf := source.current.Load().certificate.Leaf
	cases := map[string]struct {
		state *tls.ConnectionState
		fail  bool
	}{
		"plain":      {fail: true},
		"none":       {state: &tls.ConnectionState{}, fail: true},
		"unverified": {state: &tls.ConnectionState{PeerCertificates: []*x509.Certificate{leaf}}, fail: true},
		"verified":   {state: &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{leaf}}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := PeerOf(c.state); (err != nil) != c.fail {
				t.Errorf("error: got %v, want one: %t", err, c.fail)
			}
		})
	}
}
