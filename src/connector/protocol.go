package connector

import (
	"encoding/json"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// protocolVersion is incremented with each change that an older process would misread.
	protocolVersion = 2
	// The error codes are in the range that JSON-RPC reserves for applications.
	codeForbidden    = -32001
	codeWrongVersion = -32002
)

// requestMeta is the metadata that is sent with each request.
type requestMeta struct {
	Protocol int `json:"protocol"`
}

// withProtocolVersion adds this process's protocol version to a request. The version is
// sent with each request rather than once per connection, so that a new connection needs
// no additional round trip.
var withProtocolVersion = jsonrpc2.Meta(requestMeta{
	Protocol: protocolVersion,
})

// checkProtocol refuses a request of another protocol version. Without this check, a field
// whose meaning has changed would be silently read with its old meaning.
func checkProtocol(request *jsonrpc2.Request) error {
	var meta requestMeta
	if request.Meta != nil {
		if err := json.Unmarshal(*request.Meta, &meta); err != nil {
			return newError(codeWrongVersion, fmt.Errorf("the request's protocol version is unreadable: %w", err))
		}
	}
	if meta.Protocol == protocolVersion {
		return nil
	}
	return newError(codeWrongVersion, fmt.Errorf(
		"the request has protocol version %d, this process speaks %d; run the same version of rosecroft on every instance",
		meta.Protocol, protocolVersion))
}

func newError(code int64, err error) *jsonrpc2.Error {
	return &jsonrpc2.Error{
		Code:    code,
		Message: err.Error(),
	}
}
