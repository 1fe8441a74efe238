package prover

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/control"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/stager"
)

const (
	exampleFile = "../../examples/hearthline.yaml"
	exampleKey  = "Bearer strath-sweeps.example-secret"
	modelBody   = `{"model":"ember-1","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`
)

// startSecured starts a fleet over TLS with one engine and the example configuration.
func startSecured(t *testing.T, controls, entries int) *stager.Stage {
	t.Helper()
	stage := newStage(t)
	stage.TLS = true
	startFleet(t, stage, controls, entries)
	startEngine(t, stage)
	apply(t, stage, exampleFile)
	return stage
}

// startEngine starts the engine ember-1.
func startEngine(t *testing.T, stage *stager.Stage) {
	t.Helper()
	_, err := stage.StartUpstream("engine", "ember-1",
		"--service", "ember-llm", "--model", "ember-1", "--data-centre", "dc-a")
	if err != nil {
		t.Fatal(err)
	}
}

func clientOf(t *testing.T, stage *stager.Stage, role certifier.Role, name string) *http.Client {
	t.Helper()
	client, err := stage.ClientFor(certifier.Identity{
		Role: role,
		Name: name,
	})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// send returns the status and body of a request, or 0 where the connection failed.
func send(ctx context.Context, t *testing.T, client *http.Client, method, url, contentType, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", contentType)
	request.Header.Set("Authorization", exampleKey)
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(content)
}

func dumpOf(t *testing.T, stage *stager.Stage, node *stager.Node) string {
	t.Helper()
	client, err := stage.OperatorClient()
	if err != nil {
		t.Fatal(err)
	}
	_, content := send(t.Context(), t, client, http.MethodGet, node.OperatorURL()+"/dump", "", "")
	return content
}

// Every connection of the fleet runs over TLS: operators, peers, announcements,
// exchanges with the engine, and the caller, who verifies the entry by its
// address as any HTTPS client does. A call must still get its answer.
func TestFleetServesOverTLS(t *testing.T) {
	stage := startSecured(t, 3, 2)
	apply(t, stage, nextVersion(t, "2"))
	caller := callerOf(t, stage)
	for _, entry := range stage.Entries {
		await(t, "an answer over TLS", func() bool {
			status, _ := send(t.Context(), t, caller, http.MethodPost,
				entry.CallerURL()+"/v1/chat/completions", "application/json", modelBody)
			return status == http.StatusOK
		})
	}
}

// callerOf returns a client that trusts the fleet's authority and shows no certificate.
func callerOf(t *testing.T, stage *stager.Stage) *http.Client {
	t.Helper()
	pool := poolOf(t, stage.Entries[0].Settings.Peers.Authorities)
	return &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: &tls.Config{RootCAs: pool},
		},
	}
}

// Someone without a certificate of the fleet's authority, or with one of
// another role, submits a configuration or reads a dump. Each is refused and
// the accepted version stays what it was.
func TestUnknownOperatorChangesNothing(t *testing.T) {
	stage := startSecured(t, 1, 1)
	stranger := newStage(t)
	stranger.TLS = true
	document, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	next := strings.Replace(string(document), "version: 1", "version: 2", 1)
	cases := map[string]struct {
		client *http.Client
		want   int
	}{
		"no certificate":             {client: callerOf(t, stage), want: http.StatusForbidden},
		"certificate of an upstream": {client: clientOf(t, stage, certifier.Upstream, "ember-1"), want: http.StatusForbidden},
		"certificate of an entry":    {client: clientOf(t, stage, certifier.Entry, "e1"), want: http.StatusForbidden},
		"another authority":          {client: insecure(clientOf(t, stranger, certifier.Operator, "alice")), want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, node := range []*stager.Node{stage.Controls[0], stage.Entries[0]} {
				got, body := send(t.Context(), t, c.client, http.MethodGet, node.OperatorURL()+"/dump", "", "")
				if got != c.want {
					t.Errorf("status of a dump: got %d (%s), want %d", got, body, c.want)
				}
			}
			got, body := send(t.Context(), t, c.client, http.MethodPut,
				stage.Controls[0].OperatorURL()+"/v1/configuration", "application/yaml", next)
			if got != c.want {
				t.Errorf("status of a submission: got %d (%s), want %d", got, body, c.want)
			}
		})
	}
	if got, want := statusText(t, stage), "version 1 accepted"; !strings.Contains(got, want) {
		t.Errorf("status: got %q, want %q in it", got, want)
	}
}

// insecure makes a client skip its own check, so that the server's is the one tested.
func insecure(client *http.Client) *http.Client {
	transport, ok := client.Transport.(*http.Transport)
	if ok {
		transport.TLSClientConfig.VerifyConnection = nil
	}
	return client
}

func statusText(t *testing.T, stage *stager.Stage) string {
	t.Helper()
	flags, err := stage.TLSFlags(certifier.Identity{
		Role: certifier.Operator,
		Name: "bob",
	})
	if err != nil {
		t.Fatal(err)
	}
	arguments := append([]string{"status", "--control", stage.ControlURLs()}, flags...)
	output, err := exec.CommandContext(t.Context(), stage.Program, arguments...).CombinedOutput()
	if err != nil {
		t.Fatalf("status: %v: %s", err, output)
	}
	return string(output)
}

// The engine ember-2 announces itself as ember-1, to draw that one's calls or to
// take it out of use by a leaving mark; so does somebody with no certificate.
// The announcement is refused, and ember-1 stays in use.
func TestAnnouncementInAnothersNameIsRefused(t *testing.T) {
	stage := startSecured(t, 1, 1)
	entry := stage.Entries[0]
	await(t, "ember-1 known", func() bool { return strings.Contains(dumpOf(t, stage, entry), "name: ember-1") })
	forged := `{"upstream":"ember-1","service":"ember-llm","address":"https://127.0.0.1:1","incarnation":"18446744073709551615","sequence":"1","leaving":true}`
	cases := map[string]struct {
		client *http.Client
		want   int
	}{
		"another upstream": {client: clientOf(t, stage, certifier.Upstream, "ember-2"), want: http.StatusForbidden},
		"an operator":      {client: clientOf(t, stage, certifier.Operator, "ember-1"), want: http.StatusForbidden},
		"no certificate":   {client: callerOf(t, stage), want: 0},
	}
	url := "https://" + entry.Settings.Upstreams.Listen + "/v1/announcements"
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, body := send(t.Context(), t, c.client, http.MethodPost, url, "application/json", forged)
			if got != c.want {
				t.Errorf("status: got %d (%s), want %d", got, body, c.want)
			}
		})
	}
	dump := dumpOf(t, stage, entry)
	if strings.Contains(dump, "leaving: true") || !strings.Contains(dump, "name: ember-1") {
		t.Errorf("upstreams: got %s, want ember-1 still in use", dump)
	}
}

// A holder of some certificate of the fleet speaks to control as if it were
// another process: a vote in another voter's name would make two leaders, a
// heartbeat in another entry's name would report a version in force that is
// not. Each is refused.
func TestPeerInAnothersNameIsRefused(t *testing.T) {
	stage := startSecured(t, 1, 1)
	address := stage.Controls[0].Settings.Peers.Listen
	cases := map[string]struct {
		role   certifier.Role
		name   string
		method connector.Method
		send   proto.Message
		want   string
	}{
		"upstream submits": {
			role: certifier.Upstream, name: "ember-1", method: control.MethodSubmit,
			send: &messages.Submission{Version: 2}, want: "may not do this",
		},
		"entry submits": {
			role: certifier.Entry, name: "e1", method: control.MethodSubmit,
			send: &messages.Submission{Version: 2}, want: "may not do this",
		},
		"entry votes": {
			role: certifier.Entry, name: "c1", method: control.MethodLog,
			send: &messages.LogMessage{From: "c1"}, want: "may not do this",
		},
		"voter votes as another": {
			role: certifier.Control, name: "c2", method: control.MethodLog,
			send: &messages.LogMessage{From: "c1"}, want: "speaks in the name of",
		},
		"entry reports as another": {
			role: certifier.Entry, name: "e1", method: control.MethodHeartbeat,
			send: &messages.EntryHeartbeat{Entry: "e2"}, want: "speaks in the name of",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client := connector.Client{TLS: peerConfig(t, stage, c.role, c.name)}
			defer client.Close()
			err := client.Call(t.Context(), address, c.method, c.send, &messages.Status{})
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error: got %v, want %q in it", err, c.want)
			}
		})
	}
}

// A stream runs while the entry's certificate is replaced on disk. New
// connections must see the new certificate without a restart, and the stream
// must end whole on its old connection.
func TestCertificateIsReloadedUnderAStream(t *testing.T) {
	stage := startSecured(t, 1, 1)
	entry := stage.Entries[0]
	before := leafOf(t, entry)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.CallerURL()+"/v1/chat/completions",
		strings.NewReader(strings.Replace(modelBody, `"max_tokens":8`, `"max_tokens":1500,"stream":true`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", exampleKey)
	await(t, "ember-1 known", func() bool { return strings.Contains(dumpOf(t, stage, entry), "name: ember-1") })
	response, err := callerOf(t, stage).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := stage.IssueCertificate(certifier.Identity{Role: certifier.Entry, Name: "e1"}); err != nil {
		t.Fatal(err)
	}
	await(t, "the new certificate shown", func() bool { return !bytes.Equal(leafOf(t, entry), before) })
	content, err := io.ReadAll(response.Body)
	if err != nil || !strings.HasSuffix(string(content), "data: [DONE]\n\n") {
		t.Errorf("stream's end: got %v after %d bytes, want its final marker", err, len(content))
	}
}

// leafOf returns the certificate that a node shows to callers.
func leafOf(t *testing.T, node *stager.Node) []byte {
	t.Helper()
	dialer := &tls.Dialer{
		Config: &tls.Config{RootCAs: poolOf(t, node.Settings.Peers.Authorities)},
	}
	conn, err := dialer.DialContext(t.Context(), "tcp", node.Settings.Callers.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].Raw
}

// A control instance's address answers with the certificate of an entry, which
// the same authority signed. A client that believed it would take that entry's
// word for the accepted configuration.
func TestEntryCannotPlayControl(t *testing.T) {
	stage := newStage(t)
	stage.TLS = true
	files, err := stage.IssueCertificate(certifier.Identity{Role: certifier.Entry, Name: "e1"})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	settings := &parser.Settings{
		Name:    "e1",
		Peers:   files,
		Control: []parser.ControlAddress{{Name: "c1", Address: listener.Addr().String()}},
	}
	certificates, err := certifier.New(settings, parser.Entry, quietLog)
	if err != nil {
		t.Fatal(err)
	}
	server := &connector.Server{Listener: listener, TLS: certificates.PeerConfig()}
	connector.Handle(server, control.MethodStatus,
		func(context.Context, connector.Peer, *messages.StatusRequest) (*messages.Status, error) {
			return &messages.Status{}, nil
		})
	go func() { _ = server.Run(t.Context()) }()
	client := connector.Client{TLS: certificates.PeerClientConfig(), VerifyServer: certificates.VerifyControlServer}
	defer client.Close()
	err = client.Call(t.Context(), listener.Addr().String(), control.MethodStatus, &messages.StatusRequest{}, &messages.Status{})
	if want := "speaks in the name of"; err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("error: got %v, want %q in it", err, want)
	}
}

// nextVersion writes the example configuration under a higher version, changed by edits.
func nextVersion(t *testing.T, version string, edits ...string) string {
	t.Helper()
	document, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	edits = append(edits, "version: 1", "version: "+version)
	file := filepath.Join(t.TempDir(), "next.yaml")
	if err := os.WriteFile(file, []byte(strings.NewReplacer(edits...).Replace(string(document))), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
