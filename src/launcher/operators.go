package launcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	maxResponseBytes = 64 << 20
	pollInterval     = 100 * time.Millisecond
	yamlType         = "application/yaml"
)

// controlFlags are the control instances to which requests are sent.
type controlFlags struct {
	certificateFlags
	Control []string `help:"Operator addresses of control instances, tried in turn." default:"http://127.0.0.1:8082"`
}

type applyCommand struct {
	controlFlags
	File     string        `arg:"" help:"Configuration file, in YAML." type:"existingfile"`
	Operator string        `help:"Name recorded with the change; your login name by default."`
	Wait     time.Duration `help:"Maximum time to wait until the version is in force everywhere." default:"4s"`
}

type statusCommand struct {
	controlFlags
}

type dumpCommand struct {
	certificateFlags
	Address string `arg:"" help:"Operator address of the process, such as http://127.0.0.1:8082."`
}

// Run submits a configuration and waits until it is in force.
func (c *applyCommand) Run(ctx context.Context, console *console) error {
	document, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("read the configuration: %w", err)
	}
	result := &messages.SubmissionResult{}
	err = c.requestWithRetry(ctx, http.MethodPut, "/v1/configuration", document, operatorName(c.Operator), result)
	if err != nil {
		return err
	}
	if result.GetOutcome() != messages.Outcome_OUTCOME_ACCEPTED {
		return &ExitError{
			Code: ExitRefused,
			Err:  fmt.Errorf("%s: %s (winner %q)", result.GetOutcome(), result.GetDetail(), result.GetWinner()),
		}
	}
	_, _ = fmt.Fprintf(console.out, "version %d %s\n", result.GetVersion(), result.GetDetail())
	return c.awaitInForce(ctx, console, result.GetVersion())
}

func (c *applyCommand) awaitInForce(ctx context.Context, console *console, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	status := &messages.Status{}
	for {
		err := c.requestWithRetry(ctx, http.MethodGet, "/v1/status", nil, "", status)
		if err == nil && isInForce(status, version) {
			printStatus(console, status)
			return nil
		}
		select {
		case <-ctx.Done():
			printStatus(console, status)
			return &ExitError{
				Code: ExitFailed,
				Err:  fmt.Errorf("version %d is accepted and not yet in force everywhere; see rosecroft status", version),
			}
		case <-time.After(pollInterval):
		}
	}
}

func isInForce(status *messages.Status, version uint64) bool {
	return status.GetAcceptedVersion() >= version && status.GetEntries() > 0 && status.GetInForce() == status.GetEntries()
}

// Run prints the fleet's status.
func (c *statusCommand) Run(ctx context.Context, console *console) error {
	status := &messages.Status{}
	if err := c.requestWithRetry(ctx, http.MethodGet, "/v1/status", nil, "", status); err != nil {
		return err
	}
	printStatus(console, status)
	return nil
}

func printStatus(console *console, status *messages.Status) {
	_, _ = fmt.Fprintf(console.out, "leader %s term %d: version %d accepted, in force at %d of %d\n",
		status.GetLeader(), status.GetTerm(), status.GetAcceptedVersion(), status.GetInForce(), status.GetEntries())
	for _, missing := range status.GetMissing() {
		_, _ = fmt.Fprintf(console.out, "  %s has version %d, fenced %t: %s\n",
			missing.GetEntry(), missing.GetVersionInForce(), missing.GetFenced(), missing.GetReason())
	}
}

// Run prints a process's state.
func (c *dumpCommand) Run(ctx context.Context, console *console) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client, err := c.client()
	if err != nil {
		return err
	}
	content, status, err := doRequest(ctx, client, http.MethodGet, c.Address+"/dump", nil, "")
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s answered %d: %s", c.Address, status, content)
	}
	_, err = console.out.Write(content)
	return err
}

// requestWithRetry sends a request to the control instances in turn until one answers or
// the timeout expires. Retries are safe: a repeated submission returns its first outcome.
func (f *controlFlags) requestWithRetry(ctx context.Context, method, path string, body []byte, operator string, answer proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client, err := f.client()
	if err != nil {
		return err
	}
	for {
		err := f.requestAny(ctx, client, method, path, body, operator, answer)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// requestAny sends a request to each control instance until one answers.
func (f *controlFlags) requestAny(ctx context.Context, client *http.Client, method, path string, body []byte, operator string, answer proto.Message) error {
	var failures error
	for _, address := range f.Control {
		content, status, err := doRequest(ctx, client, method, address+path, body, operator)
		if err == nil && status == http.StatusServiceUnavailable {
			err = fmt.Errorf("%s: %s", address, content)
		}
		if err == nil && status == http.StatusForbidden {
			return &ExitError{
				Code: ExitRefused,
				Err:  fmt.Errorf("%s: %s", address, content),
			}
		}
		if err != nil {
			failures = errors.Join(failures, err)
			continue
		}
		if err := protojson.Unmarshal(content, answer); err != nil {
			return fmt.Errorf("decode the response of %s: %w; use the same version on both sides", address, err)
		}
		return nil
	}
	return failures
}

func doRequest(ctx context.Context, client *http.Client, method, address string, body []byte, operator string) ([]byte, int, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, 0, fmt.Errorf("create the request to %s: %w", address, err)
	}
	request.Header.Set("Content-Type", yamlType)
	request.Header.Set("Rosecroft-Operator", operator)
	response, err := client.Do(request)
	if err != nil {
		return nil, 0, fmt.Errorf("send the request to %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := capper.ReadAll(capper.Source{
		Body:   response.Body,
		Kind:   capper.Body,
		Length: response.ContentLength,
		Limit:  maxResponseBytes,
	}, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("read the response of %s: %w", address, err)
	}
	return content, response.StatusCode, nil
}

func operatorName(given string) string {
	if given != "" {
		return given
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}
