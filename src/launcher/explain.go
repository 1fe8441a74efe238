package launcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
)

type explainCommand struct {
	certificateFlags
	Call    string   `arg:"" help:"ID of the call, from its Rosecroft-Call-Id header or a log."`
	Address []string `arg:"" help:"Operator addresses of entries, tried in turn, such as http://127.0.0.1:8082."`
}

// Run prints the decisions about a call as returned by the first entry that knows the call.
func (c *explainCommand) Run(ctx context.Context, console *console) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client, err := c.client()
	if err != nil {
		return err
	}
	var failures error
	for _, address := range c.Address {
		content, status, err := doRequest(ctx, client, http.MethodGet, address+"/explain/"+url.PathEscape(c.Call), nil, "")
		switch {
		case err != nil:
			failures = errors.Join(failures, err)
		case status == http.StatusOK:
			_, err = console.out.Write(content)
			return err
		default:
			failures = errors.Join(failures, fmt.Errorf("%s answered %d: %s", address, status, content))
		}
	}
	return failures
}
