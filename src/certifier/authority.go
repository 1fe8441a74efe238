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
	authorityFile       = "authority.pem"
	authorityCommonName = "rosecroft authority"
	serialBits          = 120
	keyFileMode         = 0o600
	certificateFileMode = 0o644
	folderMode          = 0o700
	clockTolerance      = 5 * time.Minute
)

// Authority is a certificate authority that signs the certificates of an initial set-up.
// Its private key is kept only in memory, so that no further certificates can be signed
// with it later.
type Authority struct {
	// Folder is where the certificates and private keys are written.
	Folder string
	// Lifetime is how long the certificates are valid.
	Lifetime time.Duration

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Generate generates the authority's key and certificate and writes the certificate.
func (a *Authority) Generate() error {
	if err := os.MkdirAll(a.Folder, folderMode); err != nil {
		return fmt.Errorf("create the folder of certificates: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generate the authority's key: %w", err)
	}
	template, err := a.template(authorityCommonName)
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
		return fmt.Errorf("parse the authority's certificate: %w", err)
	}
	a.key = key
	return writePEM(a.path(authorityFile), "CERTIFICATE", content, certificateFileMode)
}

// Issue writes a certificate and private key for an identity and returns the names of the
// files; hosts are the DNS names and IP addresses at which clients reach its holder.
func (a *Authority) Issue(identity Identity, hosts ...string) (parser.Listener, error) {
	files := parser.Listener{
		Certificate: a.path(fmt.Sprintf("%s-%s.pem", identity.Role, identity.Name)),
		PrivateKey:  a.path(fmt.Sprintf("%s-%s-key.pem", identity.Role, identity.Name)),
		Authorities: a.path(authorityFile),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, fmt.Errorf("generate the key of %s: %w", identity, err)
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
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, fmt.Errorf("encode the key of %s: %w", identity, err)
	}
	return files, errors.Join(
		writePEM(files.PrivateKey, "PRIVATE KEY", encodedKey, keyFileMode),
		writePEM(files.Certificate, "CERTIFICATE", content, certificateFileMode),
	)
}

func (a *Authority) path(name string) string { return filepath.Join(a.Folder, name) }

func (a *Authority) template(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate a serial number: %w", err)
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

// writePEM replaces a file atomically, so that a process that reloads it never reads an
// incomplete one.
func writePEM(path, kind string, content []byte, mode os.FileMode) error {
	encoded := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: content,
	})
	temporary := path + ".next"
	if err := os.WriteFile(temporary, encoded, mode); err != nil {
		return fmt.Errorf("write %s: %w; name a folder that you may write to", path, err)
	}
	return os.Rename(temporary, path)
}
