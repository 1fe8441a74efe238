package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rosecroft/rosecroft/src/parser"
)

const (
	authorityFile  = "authority.pem"
	authorityName  = "rosecroft authority"
	serialBits     = 120
	keyMode        = 0o600
	publicMode     = 0o644
	folderMode     = 0o700
	clockTolerance = 5 * time.Minute
)

// Authority signs the certificates of a first set-up. Its private key is held
// in memory alone, so nobody can sign more with it later.
type Authority struct {
	// Folder takes the certificates and keys.
	Folder string
	// Lifetime is how long the certificates are valid.
	Lifetime time.Duration

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Make makes the authority and writes its certificate.
func (a *Authority) Make() error {
	if err := os.MkdirAll(a.Folder, folderMode); err != nil {
		return fmt.Errorf("make the folder: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make the authority's key: %w", err)
	}
	template, err := a.template(authorityName)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	content, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return fmt.Errorf("sign the authority's certificate: %w", err)
	}
	if a.certificate, err = x509.ParseCertificate(content); err != nil {
		return fmt.Errorf("read the authority's certificate: %w", err)
	}
	a.key = key
	return writePEM(a.path(authorityFile), "CERTIFICATE", content, publicMode)
}

// Issue writes a certificate and its private key for an identity and returns
// the files; hosts are the names and IP numbers that callers reach it by.
func (a *Authority) Issue(identity Identity, hosts ...string) (parser.Listener, error) {
	files := parser.Listener{
		Certificate: a.path(fmt.Sprintf("%s-%s.pem", identity.Role, identity.Name)),
		PrivateKey:  a.path(fmt.Sprintf("%s-%s-key.pem", identity.Role, identity.Name)),
		Authorities: a.path(authorityFile),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fmt.Errorf("make the key of %s: %w", identity, err)
	}
	template, err := a.template(identity.Name)
	if err != nil {
		return files, err
	}
	template.URIs = append(template.URIs, identity.URI())
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	addHosts(template, hosts)
	content, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return files, fmt.Errorf("sign the certificate of %s: %w", identity, err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, fmt.Errorf("form the key of %s: %w", identity, err)
	}
	return files, errors.Join(
		writePEM(files.PrivateKey, "PRIVATE KEY", secret, keyMode),
		writePEM(files.Certificate, "CERTIFICATE", content, publicMode),
	)
}

func (a *Authority) path(name string) string { return filepath.Join(a.Folder, name) }

func (a *Authority) template(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("make a serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(a.Lifetime),
	}, nil
}

func addHosts(template *x509.Certificate, hosts []string) {
	for _, host := range hosts {
		if address := net.ParseIP(host); address != nil {
			template.IPAddresses = append(template.IPAddresses, address)
			continue
		}
		template.DNSNames = append(template.DNSNames, host)
	}
}

// writePEM replaces a file at once, so that a process that reloads it never reads half of it.
func writePEM(path, kind string, content []byte, mode os.FileMode) error {
	encoded := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: content,
	})
	next := path + ".next"
	if err := os.WriteFile(next, encoded, mode); err != nil {
		return fmt.Errorf("write %s: %w; name a folder that you may write to", path, err)
	}
	return os.Rename(next, path)
}
