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
	if err := authority.Generate(); err != nil {
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

// Certificates are replaced file by file, so that a new certificate is briefly combined with
// the old key. A process that loaded these would fail each handshake; it must keep the
// previous pair until certificate and key match.
func TestMismatchedFilesKeepPreviousCredentials(t *testing.T) {
	folder := t.TempDir()
	identity := Identity{Role: Entry, Name: "e1"}
	source := issue(t, folder, identity)
	if _, err := source.Load(); err != nil {
		t.Fatal(err)
	}
	before := source.current.Load()
	oldKey, err := os.ReadFile(source.Files.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	issue(t, folder, identity)
	newKey, err := os.ReadFile(source.Files.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(source.Files.PrivateKey, oldKey, keyFileMode); err != nil {
		t.Fatal(err)
	}
	if _, err := source.Load(); err == nil || source.current.Load() != before {
		t.Errorf("certificate without its key: got error %v, want one and the previous pair in use", err)
	}
	if err := os.WriteFile(source.Files.PrivateKey, newKey, keyFileMode); err != nil {
		t.Fatal(err)
	}
	if changed, err := source.Load(); err != nil || !changed || source.current.Load() == before {
		t.Errorf("certificate and key replaced: got changed %t, error %v, want the new pair in use", changed, err)
	}
}

func TestIdentityOf(t *testing.T) {
	cases := map[string]struct {
		uris []string
		want Identity
		fail bool
	}{
		"one":                {uris: []string{"urn:rosecroft:entry:e1"}, want: Identity{Role: Entry, Name: "e1"}},
		"other URIs as well": {uris: []string{"https://a.example/", "urn:rosecroft:upstream:u"}, want: Identity{Role: Upstream, Name: "u"}},
		"two":                {uris: []string{"urn:rosecroft:entry:e1", "urn:rosecroft:control:c1"}, fail: true},
		"none":               {fail: true},
		"no name":            {uris: []string{"urn:rosecroft:entry:"}, fail: true},
		"other scheme":       {uris: []string{"url:rosecroft:entry:e1"}, fail: true},
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
			got, err := CertificateIdentity(certificate)
			if got != c.want || (err != nil) != c.fail {
				t.Errorf("identity: got %v, error %v, want %v, error %t", got, err, c.want, c.fail)
			}
		})
	}
}

// A server that does not request verified client certificates may still receive one.
// Accepting the identity in an unverified certificate would let any client claim any
// identity.
func TestUnverifiedCertificateHasNoIdentity(t *testing.T) {
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
			if _, err := PeerIdentity(c.state); (err != nil) != c.fail {
				t.Errorf("error: got %v, want one: %t", err, c.fail)
			}
		})
	}
}
