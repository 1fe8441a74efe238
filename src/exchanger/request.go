package exchanger

import (
	"net/http"
	"strconv"
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

// appendHead appends the head of a request to b. The caller's body has been read
// completely, so the head always states its length, whichever encoding the caller used.
// Two lengths that disagree would allow request smuggling.
func appendHead(b []byte, call *dispatcher.Call, header http.Header) []byte {
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
	return append(b, "\r\n"...)
}
