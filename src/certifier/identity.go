package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/url"
	"strings"
)

// Role is the kind of process or person that a certificate identifies.
type Role string

// The roles that certificates state.
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

// Identity is the identity of a certificate's holder; the zero value stands for an
// unidentified peer.
type Identity struct {
	Role Role
	Name string
}

// String returns the identity as the URI that certificates contain.
func (i Identity) String() string { return i.URI().String() }

// URI returns the URI for the identity in a certificate.
func (i Identity) URI() *url.URL {
	return &url.URL{
		Scheme: identityScheme,
		Opaque: identityPrefix + string(i.Role) + ":" + i.Name,
	}
}

// IdentityError reports why a peer is not authorized, and how to correct that.
type IdentityError struct {
	Reason string
	Remedy string
}

// Error returns the reason and the remedy.
func (e *IdentityError) Error() string { return e.Reason + "; " + e.Remedy }

// CertificateIdentity returns the identity that a certificate states, or an error unless there is
// exactly one.
func CertificateIdentity(certificate *x509.Certificate) (Identity, error) {
	var identities []Identity
	for _, uri := range certificate.URIs {
		rest, hasPrefix := strings.CutPrefix(uri.Opaque, identityPrefix)
		role, name, hasName := strings.Cut(rest, ":")
		if uri.Scheme != identityScheme || !hasPrefix || !hasName || name == "" {
			continue
		}
		identities = append(identities, Identity{
			Role: Role(role),
			Name: name,
		})
	}
	if len(identities) != 1 {
		return Identity{}, &IdentityError{
			Reason: fmt.Sprintf("the certificate %q states %d identities", certificate.Subject, len(identities)),
			Remedy: "make one that states exactly one, such as urn:rosecroft:entry:e1",
		}
	}
	return identities[0], nil
}

// PeerIdentity returns the identity of the peer of a connection. Only a verified certificate is
// considered, since an unverified one may state any identity.
func PeerIdentity(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.VerifiedChains) == 0 || len(state.VerifiedChains[0]) == 0 {
		return Identity{}, &IdentityError{
			Reason: "the other end showed no certificate that this process's authorities signed",
			Remedy: "give it a certificate and its private key",
		}
	}
	return CertificateIdentity(state.VerifiedChains[0][0])
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

// RequireName returns an error unless the identity has the role and the name that a message
// claims.
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

// RequireRequest returns the identity of a request's sender, or an error unless it has one
// of the roles. Without TLS, it returns the zero Identity and no error.
func RequireRequest(request *http.Request, secured bool, roles ...Role) (Identity, error) {
	if !secured {
		return Identity{}, nil
	}
	identity, err := PeerIdentity(request.TLS)
	if err != nil {
		return Identity{}, err
	}
	return identity, identity.Require(roles...)
}
