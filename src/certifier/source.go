package certifier

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"

	"github.com/rosecroft/rosecroft/src/parser"
)

// Source is one set of certificate files; Load must succeed before its use.
type Source struct {
	Files parser.Listener

	current atomic.Pointer[material]
}

// material is what the files held when they were last read whole.
type material struct {
	content     []byte
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files and reports whether they changed. Where they don't fit
// together, as halfway through their replacement, the earlier ones stay in use.
func (s *Source) Load() (changed bool, err error) {
	certificate, err := os.ReadFile(s.Files.Certificate)
	if err != nil {
		return false, fmt.Errorf("read the certificate: %w", err)
	}
	key, err := os.ReadFile(s.Files.PrivateKey)
	if err != nil {
		return false, fmt.Errorf("read the private key: %w", err)
	}
	var authorities []byte
	if s.Files.Authorities != "" {
		if authorities, err = os.ReadFile(s.Files.Authorities); err != nil {
			return false, fmt.Errorf("read the authorities: %w", err)
		}
	}
	content := bytes.Join([][]byte{certificate, key, authorities}, []byte{0})
	if known := s.current.Load(); known != nil && bytes.Equal(known.content, content) {
		return false, nil
	}
	next, err := s.parse(certificate, key, authorities)
	if err != nil {
		return false, err
	}
	next.content = content
	s.current.Store(next)
	return true, nil
}

func (s *Source) parse(certificate, key, authorities []byte) (*material, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("%s and %s: %w; name a certificate and its own private key, in PEM",
			s.Files.Certificate, s.Files.PrivateKey, err)
	}
	parsed := &material{
		certificate: &pair,
	}
	if s.Files.Authorities == "" {
		return parsed, nil
	}
	parsed.authorities = x509.NewCertPool()
	if !parsed.authorities.AppendCertsFromPEM(authorities) {
		return nil, fmt.Errorf("%s holds no certificate; name the authorities' certificates, in PEM", s.Files.Authorities)
	}
	return parsed, nil
}

// Identity returns who the source's own certificate says that this process is.
func (s *Source) Identity() (Identity, error) {
	return IdentityOf(s.current.Load().certificate.Leaf)
}

// Server returns the configuration of a listener; each handshake uses the files as last loaded.
func (s *Source) Server(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			held := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*held.certificate},
				ClientAuth:   auth,
				ClientCAs:    held.authorities,
				// A resumed session would skip the check against the
				// authorities, so that a removed one went on being trusted.
				SessionTicketsDisabled: auth != tls.NoClientCert,
			}, nil
		},
	}
}

// Client returns the configuration for connections to processes with one of the roles.
//
// Processes are reached by IP number, so the name that counts is the identity
// in the certificate and not the address.
func (s *Source) Client(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.current.Load().certificate, nil
		},
		// The check below takes the place of the usual one, which knows no
		// reloaded authorities and wants a host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			identity, err := s.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth)
			if err != nil {
				return err
			}
			return identity.Require(roles...)
		},
	}
}

// ServerIdentity returns who the server at the other end of a client's connection is.
func (s *Source) ServerIdentity(state *tls.ConnectionState) (Identity, error) {
	return s.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth)
}

func (s *Source) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, errors.New("the other end showed no certificate; give it one")
	}
	options := x509.VerifyOptions{
		Roots:         s.current.Load().authorities,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	if options.Roots == nil {
		return Identity{}, errors.New("no authorities are named; name the file that verifies the other end")
	}
	for _, between := range chain[1:] {
		options.Intermediates.AddCert(between)
	}
	if _, err := chain[0].Verify(options); err != nil {
		return Identity{}, fmt.Errorf("verify the other end: %w; use certificates of one authority on both sides", err)
	}
	return IdentityOf(chain[0])
}
