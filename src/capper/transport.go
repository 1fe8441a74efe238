package capper

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// lineOverhead is what a header line has besides name and value.
const lineOverhead = len(": \r\n")

// Transport bounds the answers that a transport of the standard library reads.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport over a transport that nothing else uses.
func NewTransport(base *http.Transport) *Transport {
	base.MaxResponseHeaderBytes = MaxHeadBytes
	base.ReadBufferSize = min(base.ReadBufferSize, MaxTrailerBytes)
	return &Transport{base: base}
}

// NewDefaultTransport returns a Transport with the settings of http.DefaultTransport.
func NewDefaultTransport() *Transport {
	base, standard := http.DefaultTransport.(*http.Transport)
	if !standard {
		base = &http.Transport{}
	}
	return NewTransport(base.Clone())
}

// RoundTrip makes one request. An error for a bound that is exceeded is an *ExceededError, also when the body is read, and one
// for a status that is none an *InvalidStatusError.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	heads := &headCounter{}
	traced := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{Got1xxResponse: heads.add})
	response, err := t.base.RoundTrip(request.WithContext(traced))
	if err != nil {
		return nil, classify(err)
	}
	// Each head by itself is bounded by the transport.
	if err := errors.Join(CheckStatus(response.StatusCode), heads.addHeader(response.Header)); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body}
	return response, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// headCounter counts the heads of one exchange.
type headCounter struct {
	informational int
	bytes         int
}

func (h *headCounter) add(_ int, header textproto.MIMEHeader) error {
	h.informational++
	if h.informational > MaxInformational {
		return &ExceededError{
			Kind:  Informational,
			Limit: MaxInformational,
		}
	}
	return h.addHeader(http.Header(header))
}

func (h *headCounter) addHeader(header http.Header) error {
	h.bytes += HeaderBytes(header)
	if h.bytes > MaxHeadBytes {
		return errHead()
	}
	return nil
}

// HeaderBytes returns how many bytes a header takes in a head.
func HeaderBytes(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + lineOverhead
		}
	}
	return size
}
