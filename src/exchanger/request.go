package exchanger

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/rosecroft/rosecroft/src/dispatcher"
)

// headBuffers holds reused buffers for the heads of requests.
var headBuffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, 0, 2<<10)
		return &buffer
	},
}

// hopHeaders apply to a single connection and are not forwarded.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
	"Host":                true,
}

// IsHop reports whether a header applies to a single connection only.
func IsHop(name string) bool { return hopHeaders[name] }

// lineBreaks are the bytes that can end a line of a head, or with which a parser may end a value.
const lineBreaks = "\r\n\x00"

// HeadError is returned for a request whose head cannot be written.
type HeadError struct {
	// Header is the header whose value contains a line break.
	Header string
}

// Error states the cause and the remedy.
func (e *HeadError) Error() string {
	return fmt.Sprintf("the request is not sent: its header %s contains a line break; correct what states the value", e.Header)
}

// appendHead appends the head of a request to b. The caller's body has been read
// completely, so the head always states its length, whichever encoding the caller used.
// Two lengths that disagree would allow request smuggling, and so would a line break in a
// value; a *HeadError is returned for one.
func appendHead(b []byte, call *dispatcher.Call, header http.Header) ([]byte, error) {
	b = append(b, call.Method...)
	b = append(b, ' ')
	b = append(b, call.Path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, call.Host...)
	b = append(b, "\r\n"...)
	for name, values := range header {
		if IsHop(name) {
			continue
		}
		for _, value := range values {
			if strings.ContainsAny(value, lineBreaks) {
				return b, &HeadError{Header: name}
			}
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(call.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...), nil
}
