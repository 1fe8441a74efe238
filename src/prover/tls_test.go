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

// startTLSFleet starts a fleet over TLS with one engine and the example configuration.
func startTLSFleet(t *testing.T, controls, entries int) *stager.Cluster {
	t.Helper()
	cluster := newCluster(t)
	cluster.TLS = true
	startFleet(t, cluster, controls, entries)
	startEngine(t, cluster)
	apply(t, cluster, exampleFile)
	return cluster
}

// startEngine starts the engine ember-1.
func startEngine(t *testing.T, cluster *stager.Cluster) {
	t.Helper()
	_, err := cluster.StartUpstream("engine", "ember-1",
		"--service", "ember-llm", "--model", "ember-1", "--data-centre", "dc-a")
	if err != nil {
		t.Fatal(err)
	}
}

func clientWithIdentity(t *testing.T, cluster *stager.Cluster, role certifier.Role, name string) *http.Client {
	t.Helper()
	client, err := cluster.ClientFor(certifier.Identity{
		Role: role,
		Name: name,
	})
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// send returns the status code and body of the answer, or 0 and the error if there was none.
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

func readDumpText(t *testing.T, cluster *stager.Cluster, node *stager.Node) string {
	t.Helper()
	client, err := cluster.OperatorClient()
	if err != nil {
		t.Fatal(err)
	}
	_, content := send(t.Context(), t, client, http.MethodGet, node.OperatorURL()+"/dump", "", "")
	return content
}

// All connections of the fleet use TLS: those of operators, between peers, for
// announcements, to the engine, and of the caller, who verifies the entry by its
// address like any HTTPS client. A call must still be answered.
func TestFleetServesOverTLS(t *testing.T) {
	cluster := startTLSFleet(t, 3, 2)
	apply(t, cluster, writeExample(t, "2"))
	caller := callerClient(t, cluster)
	for _, entry := range cluster.Entries {
		await(t, "an answer over TLS", func() bool {
			status, _ := send(t.Context(), t, caller, http.MethodPost,
				entry.CallerURL()+"/v1/chat/completions", "application/json", modelBody)
			return status == http.StatusOK
		})
	}
}

// callerClient returns a client that trusts the fleet's authority and presents no certificate.
func callerClient(t *testing.T, cluster *stager.Cluster) *http.Client {
	t.Helper()
	pool := readCertPool(t, cluster.Entries[0].Settings.Peers.Authorities)
	return &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: &tls.Config{RootCAs: pool},
		},
	}
}

// A client without a certificate of the fleet's authority, or with one for another
// role, submits a configuration or reads a dump. Each request must be refused, and
// the accepted version must not change.
func TestUnauthorizedOperatorChangesNothing(t *testing.T) {
	cluster := startTLSFleet(t, 1, 1)
	otherCluster := newCluster(t)
	otherCluster.TLS = true
	document, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	next := strings.Replace(string(document), "version: 1", "version: 2", 1)
	cases := map[string]struct {
		client *http.Client
		want   int
	}{
		"no certificate":             {client: callerClient(t, cluster), want: http.StatusForbidden},
		"certificate of an upstream": {client: clientWithIdentity(t, cluster, certifier.Upstream, "ember-1"), want: http.StatusForbidden},
		"certificate of an entry":    {client: clientWithIdentity(t, cluster, certifier.Entry, "e1"), want: http.StatusForbidden},
		"another authority":          {client: skipServerCheck(clientWithIdentity(t, otherCluster, certifier.Operator, "alice")), want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, node := range []*stager.Node{cluster.Controls[0], cluster.Entries[0]} {
				got, body := send(t.Context(), t, c.client, http.MethodGet, node.OperatorURL()+"/dump", "", "")
				if got != c.want {
					t.Errorf("status of a dump: got %d (%s), want %d", got, body, c.want)
				}
			}
			got, body := send(t.Context(), t, c.client, http.MethodPut,
				cluster.Controls[0].OperatorURL()+"/v1/configuration", "application/yaml", next)
			if got != c.want {
				t.Errorf("status of a submission: got %d (%s), want %d", got, body, c.want)
			}
		})
	}
	if got, want := statusText(t, cluster), "version 1 accepted"; !strings.Contains(got, want) {
		t.Errorf("status: got %q, want %q in it", got, want)
	}
}

// skipServerCheck disables the client's verification of the server, so that the test
// covers the server's verification of the client.
func skipServerCheck(client *http.Client) *http.Client {
	transport, ok := client.Transport.(*http.Transport)
	if ok {
		transport.TLSClientConfig.VerifyConnection = nil
	}
	return client
}

func statusText(t *testing.T, cluster *stager.Cluster) string {
	t.Helper()
	flags, err := cluster.TLSFlags(certifier.Identity{
		Role: certifier.Operator,
		Name: "bob",
	})
	if err != nil {
		t.Fatal(err)
	}
	arguments := append([]string{"status", "--control", cluster.ControlURLs()}, flags...)
	output, err := exec.CommandContext(t.Context(), cluster.Program, arguments...).CombinedOutput()
	if err != nil {
		t.Fatalf("status: %v: %s", err, output)
	}
	return string(output)
}

// The engine ember-2, an operator or a client without a certificate sends an
// announcement in the name of ember-1, to attract its calls or to mark it as leaving.
// The announcement must be refused, and ember-1 must stay in use.
func TestForgedAnnouncementIsRefused(t *testing.T) {
	cluster := startTLSFleet(t, 1, 1)
	entry := cluster.Entries[0]
	await(t, "ember-1 known", func() bool { return strings.Contains(readDumpText(t, cluster, entry), "name: ember-1") })
	forged := `{"upstream":"ember-1","service":"ember-llm","address":"https://127.0.0.1:1","incarnation":"18446744073709551615","sequence":"1","leaving":true}`
	cases := map[string]struct {
		client *http.Client
		want   int
	}{
		"another upstream": {client: clientWithIdentity(t, cluster, certifier.Upstream, "ember-2"), want: http.StatusForbidden},
		"an operator":      {client: clientWithIdentity(t, cluster, certifier.Operator, "ember-1"), want: http.StatusForbidden},
		"no certificate":   {client: callerClient(t, cluster), want: 0},
	}
	url := "https://" + entry.Settings.Upstreams.Address + "/v1/announcements"
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, body := send(t.Context(), t, c.client, http.MethodPost, url, "application/json", forged)
			if got != c.want {
				t.Errorf("status: got %d (%s), want %d", got, body, c.want)
			}
		})
	}
	dump := readDumpText(t, cluster, entry)
	if strings.Contains(dump, "leaving: true") || !strings.Contains(dump, "name: ember-1") {
		t.Errorf("upstreams: got %s, want ember-1 still in use", dump)
	}
}

// A process with a valid certificate of the fleet calls control in the name of another
// process: a vote in another voter's name could elect two leaders, and a heartbeat in
// another entry's name could report a version as in force that is not. Each call must
// be refused.
func TestForgedPeerIdentityIsRefused(t *testing.T) {
	cluster := startTLSFleet(t, 1, 1)
	address := cluster.Controls[0].Settings.Peers.Address
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
			client := connector.Client{TLS: peerConfig(t, cluster, c.role, c.name)}
			defer client.Close()
			err := client.Call(t.Context(), address, c.method, c.send, &messages.Status{})
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error: got %v, want %q in it", err, c.want)
			}
		})
	}
}

// A stream runs while the entry's certificate is replaced on disk. New connections
// must get the new certificate without a restart, and the stream must complete on its
// existing connection.
func TestCertificateReloadKeepsStream(t *testing.T) {
	cluster := startTLSFleet(t, 1, 1)
	entry := cluster.Entries[0]
	before := callerCertificate(t, entry)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.CallerURL()+"/v1/chat/completions",
		strings.NewReader(strings.Replace(modelBody, `"max_tokens":8`, `"max_tokens":1500,"stream":true`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", exampleKey)
	await(t, "ember-1 known", func() bool { return strings.Contains(readDumpText(t, cluster, entry), "name: ember-1") })
	response, err := callerClient(t, cluster).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := cluster.IssueCertificate(certifier.Identity{Role: certifier.Entry, Name: "e1"}); err != nil {
		t.Fatal(err)
	}
	await(t, "the new certificate shown", func() bool { return !bytes.Equal(callerCertificate(t, entry), before) })
	content, err := io.ReadAll(response.Body)
	if err != nil || !strings.HasSuffix(string(content), "data: [DONE]\n\n") {
		t.Errorf("end of the stream: got error %v after %d bytes, want its final marker", err, len(content))
	}
}

// callerCertificate returns the certificate that a node presents to callers.
func callerCertificate(t *testing.T, node *stager.Node) []byte {
	t.Helper()
	dialer := &tls.Dialer{
		Config: &tls.Config{RootCAs: readCertPool(t, node.Settings.Peers.Authorities)},
	}
	conn, err := dialer.DialContext(t.Context(), "tcp", node.Settings.Callers.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].Raw
}

// A server at a control instance's address presents the certificate of an entry, which
// the same authority signed. The client must refuse it, since it would otherwise accept
// a configuration from that entry.
func TestEntryCannotImpersonateControl(t *testing.T) {
	cluster := newCluster(t)
	cluster.TLS = true
	files, err := cluster.IssueCertificate(certifier.Identity{Role: certifier.Entry, Name: "e1"})
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
	certificates, err := certifier.New(settings, parser.Entry, discardLog)
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

// writeExample writes the example configuration under a version, with edits as pairs
// of old and new text.
func writeExample(t *testing.T, version string, edits ...string) string {
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
