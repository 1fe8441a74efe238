package forwarder

import (
	"crypto/tls"
	"net/http"
)

// NewSecureClient returns an HTTP client for exchanges with upstreams that may
// serve over TLS; config is nil where none does.
func NewSecureClient(config *tls.Config) *http.Client {
	client := NewClient()
	transport, ok := client.Transport.(*http.Transport)
	if ok {
		transport.TLSClientConfig = config
		transport.TLSHandshakeTimeout = connectTimeout
	}
	return client
}
