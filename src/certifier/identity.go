package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/url"
	"strings"
)

// Role is what a certificate lets its holder be.
type Role string

// The roles that certificates name.
const (
	Control  Role = "control"
	Entry    Role = "entry"
	Upstream Role = "upstream"
	Operator Role = "operator"
)

const (
	identityScheme = "urn"
	identityPrefix = "rosecroft:"
)

// Identity is who the holder of a certificate is; the zero value is nobody.
type Identity struct {
	Role Role
	Name string
}

// String returns the identity as certificates state it.
func (i Identity) String() string { return i.URI().String() }

// URI returns the name that goes into a certificate.
func (i Identity) URI() *url.URL {
	return &url.URL{
		Scheme: identityScheme,
		Opaque: identityPrefix + string(i.Role) + ":" + i.Name,
	}
}

// IdentityError says why the other end may not do what it asked for.
type IdentityError struct {
	Reason string
	Remedy string
}

// Error names the remedy.
func (e *IdentityError) Error() string { return e.Reason + "; " + e.Remedy }

// IdentityOf returns the one identity that a certificate states.
func IdentityOf(certificate *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, uri := range certificate.URIs {
		rest, ours := strings.CutPrefix(uri.Opaque, identityPrefix)
		role, name, whole := strings.Cut(rest, ":")
		if uri.Scheme != identityScheme || !ours || !whole || name == "" {
			continue
		}
		found = append(found, Identity{
			Role: Role(role),
			Name: name,
		})
	}
	if len(found) != 1 {
		return Identity{}, &IdentityError{
			Reason: fmt.Sprintf("the certificate %q states %d identities", certificate.Subject, len(found)),
			Remedy: "make one that states exactly one, such as urn:rosecroft:entry:e1",
		}
	}
	return found[0], nil
}

// PeerOf returns who the other end of a connection is. Only a certificate that
// was verified counts: one that was merely sent can say anything.
func PeerOf(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.VerifiedChains) == 0 || len(state.VerifiedChains[0]) == 0 {
		return Identity{}, &IdentityError{
			Reason: "the other end showed no certificate that this process's authorities signed",
			Remedy: "give it a certificate and its private key",
		}
	}
	return IdentityOf(state.VerifiedChains[0][0])
}

// Require returns an error unless the identity has one of the roles.
func (i Identity) Require(roles ...Role) error {
	for _, role := range roles {
		if i.Role == role {
			return nil
		}
	}
	return &IdentityError{
		Reason: fmt.Sprintf("%s may not do this", i),
		Remedy: fmt.Sprintf("use a certificate with one of the roles %v", roles),
	}
}

// RequireName returns an error unless the identity is the one that a message claims.
func (i Identity) RequireName(role Role, claimed string) error {
	want := Identity{
		Role: role,
		Name: claimed,
	}
	if i == want {
		return nil
	}
	return &IdentityError{
		Reason: fmt.Sprintf("%s speaks in the name of %s", i, want),
		Remedy: "use the certificate of that name or correct the name in its settings",
	}
}

// RequireRequest returns who sent a request, or an error unless it has one of
// the roles; a plain connection passes as nobody.
func RequireRequest(request *http.Request, secured bool, roles ...Role) (Identity, error) {
	if !secured {
		return Identity{}, nil
	}
	identity, err := PeerOf(request.TLS)
	if err != nil {
		return Identity{}, err
	}
	return identity, identity.Require(roles...)
}
