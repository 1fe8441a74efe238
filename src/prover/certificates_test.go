package prover

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/stager"
)

var discardLog = zerolog.Nop()

func readCertPool(t *testing.T, file string) *x509.CertPool {
	t.Helper()
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(content)
	return pool
}

// peerConfig returns the client TLS configuration of a process whose certificate the
// cluster's authority issued.
func peerConfig(t *testing.T, cluster *stager.Cluster, role certifier.Role, name string) *tls.Config {
	t.Helper()
	files, err := cluster.IssueCertificate(certifier.Identity{
		Role: role,
		Name: name,
	})
	if err != nil {
		t.Fatal(err)
	}
	source := &certifier.Source{
		Files: files,
	}
	if _, err := source.Load(); err != nil {
		t.Fatal(err)
	}
	return source.ClientConfig(certifier.Control, certifier.Entry)
}
