package connector

import (
	"encoding/json"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// protocolVersion rises with each change that an older process would misread.
	protocolVersion = 2
	// The codes are in the range that JSON-RPC leaves to applications.
	codeForbidden    = -32001
	codeWrongVersion = -32002
)

// meta goes with each request.
type meta struct {
	Protocol int `json:"protocol"`
}

// versioned adds this process's protocol version to a request. It goes with
// each one and not with the connection, so that a new connection needs no
// further exchange.
var versioned = jsonrpc2.Meta(meta{
	Protocol: protocolVersion,
})

// checkProtocol refuses a request of another version. Without it a field whose
// meaning has changed would be read in the old one, with no error anywhere.
func checkProtocol(request *jsonrpc2.Request) error {
	var sent meta
	if request.Meta != nil {
		if err := json.Unmarshal(*request.Meta, &sent); err != nil {
			return refused(codeWrongVersion, fmt.Errorf("the request's protocol version is unreadable: %w", err))
		}
	}
	if sent.Protocol == protocolVersion {
		return nil
	}
	return refused(codeWrongVersion, fmt.Errorf(
		"the request has protocol version %d, this process speaks %d; run the same version of rosecroft on every instance",
		sent.Protocol, protocolVersion))
}

func refused(code int64, err error) *jsonrpc2.Error {
	return &jsonrpc2.Error{
		Code:    code,
		Message: err.Error(),
	}
}
