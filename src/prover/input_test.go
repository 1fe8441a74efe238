package prover

import (
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"

	"github.com/rosecroft/rosecroft/src/launcher"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/stager"
)

// runProgram runs a command line and returns its exit code and combined output.
func runProgram(t *testing.T, cluster *stager.Cluster, arguments ...string) (launcher.ExitCode, string) {
	t.Helper()
	output, err := exec.CommandContext(t.Context(), cluster.Program, arguments...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return launcher.ExitCode(exit.ExitCode()), string(output)
	}
	if err != nil {
		t.Fatal(err)
	}
	return launcher.ExitOK, string(output)
}

func writeSettings(t *testing.T, cluster *stager.Cluster, change func(*parser.Settings)) string {
	t.Helper()
	peers := cluster.FreeAddress()
	settings := &parser.Settings{
		Name:             "c1",
		DataCentre:       "dc-a",
		DataFolder:       filepath.Join(cluster.Folder, "data"),
		Control:          []parser.ControlAddress{{Name: "c1", DataCentre: "dc-a", Address: peers}},
		Peers:            parser.Listener{Address: peers},
		Operators:        parser.Listener{Address: cluster.FreeAddress()},
		InsecureLoopback: true,
	}
	change(settings)
	content, err := yaml.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// A process cannot start with its settings. The exit code must identify the kind of
// fault for scripts, and the message must name the remedy.
func TestStartWithUnusableSettingsFails(t *testing.T) {
	cluster := newCluster(t)
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	cases := map[string]struct {
		change func(*parser.Settings)
		want   launcher.ExitCode
		remedy string
	}{
		"port in use": {
			change: func(s *parser.Settings) { s.Operators.Address = occupied.Addr().String() },
			want:   launcher.ExitPortInUse, remedy: "choose a free port",
		},
		"folder under a file": {
			change: func(s *parser.Settings) { s.DataFolder = "/dev/null/data" },
			want:   launcher.ExitDisk, remedy: "may write to",
		},
		"folder that takes no files": {
			change: func(s *parser.Settings) { s.DataFolder = "/proc/self" },
			want:   launcher.ExitFailed, remedy: "may write to",
		},
		"plain beyond loopback": {
			change: func(s *parser.Settings) { s.Peers.Address = "10.0.0.1:1" },
			want:   launcher.ExitInvalid, remedy: "name both files",
		},
		"no such certificate": {
			change: func(s *parser.Settings) {
				s.Peers.Certificate, s.Peers.PrivateKey, s.Peers.Authorities = "none", "none", "none"
			},
			want: launcher.ExitFailed, remedy: "read the certificate",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, output := runProgram(t, cluster, "control", writeSettings(t, cluster, c.change))
			if got != c.want || !strings.Contains(output, c.remedy) {
				t.Errorf("exit: got %d with %q, want %d with %q in it", got, output, c.want, c.remedy)
			}
		})
	}
}

// A configuration has several faults. Both the offline check and control must report
// all of them at once, and nothing of it may be applied.
func TestInvalidConfigurationIsRefusedEntirely(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 1, 1)
	apply(t, cluster, exampleFile)
	bad := writeExample(t, "2", "policy: least-loaded", "policy: luck", "deadline: 60s", "deadline: 60",
		"brand: fluewise", "brand: flue")
	faults := []string{`"luck" is not allowed`, `"60" is not allowed: a duration`, `"flue" is not allowed: a brand listed`}
	for name, arguments := range map[string][]string{
		"check": {"check", bad},
		"apply": {"apply", bad, "--control", cluster.ControlURLs()},
	} {
		t.Run(name, func(t *testing.T) {
			code, output := runProgram(t, cluster, arguments...)
			if code == launcher.ExitOK {
				t.Errorf("exit: got %d, want another", code)
			}
			for _, want := range faults {
				if !strings.Contains(output, want) {
					t.Errorf("output: got %q, want %q in it", output, want)
				}
			}
		})
	}
	if got, want := statusText(t, cluster), "version 1 accepted"; !strings.Contains(got, want) {
		t.Errorf("status: got %q, want %q in it", got, want)
	}
}

// Callers send valid and invalid API keys, and operators read logs and dumps. Neither
// the secrets nor the hashes that verify them may appear in either: whoever reads
// logs could otherwise impersonate callers.
func TestLogsAndDumpsHoldNoSecrets(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 1, 1)
	startEngine(t, cluster)
	apply(t, cluster, exampleFile)
	entry := cluster.Entries[0]
	await(t, "an answer", func() bool {
		status, _ := send(t.Context(), t, http.DefaultClient, http.MethodPost,
			entry.CallerURL()+"/v1/chat/completions", "application/json", modelBody)
		return status == http.StatusOK
	})
	wrong := "wrong-secret-of-a-caller"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, entry.CallerURL()+"/v1/models", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer strath-sweeps."+wrong)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	texts := map[string]string{
		"entry's dump":   readDumpText(t, cluster, entry),
		"control's dump": readDumpText(t, cluster, cluster.Controls[0]),
	}
	logs, err := filepath.Glob(filepath.Join(cluster.Folder, "*.log"))
	if err != nil || len(logs) < 3 {
		t.Fatalf("logs: got %v, %v, want those of three processes", logs, err)
	}
	for _, log := range logs {
		content, err := os.ReadFile(log)
		if err != nil {
			t.Fatal(err)
		}
		texts[filepath.Base(log)] = string(content)
	}
	for place, text := range texts {
		for _, secret := range []string{"example-secret", wrong, "ee2091f8010b86687c850de331a1ae0ec1b4b04943b0c137abffaba66a05986d"} {
			if strings.Contains(text, secret) {
				t.Errorf("%s: got the secret %q in it, want none", place, secret)
			}
		}
	}
	if log := texts["e1.log"]; !strings.Contains(log, "event=call-refused") || !strings.Contains(log, "event=call-ended") {
		t.Errorf("entry's log: got %q, want a line for each call", log)
	}
	for line := range strings.SplitSeq(texts["e1.log"], "\n") {
		if strings.Contains(line, "event=call-") && !strings.Contains(line, " call=") {
			t.Errorf("line: got %q, want the call's id in it", line)
		}
	}
}

// Operators monitor the latencies that callers observe; once a stream has run, each
// must be exported as a histogram in the Prometheus format.
func TestMetricsContainLatencies(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 1, 1)
	startEngine(t, cluster)
	apply(t, cluster, exampleFile)
	entry := cluster.Entries[0]
	await(t, "an answer", func() bool {
		status, _ := send(t.Context(), t, http.DefaultClient, http.MethodPost, entry.CallerURL()+"/v1/chat/completions",
			"application/json", strings.Replace(modelBody, `"max_tokens":8`, `"max_tokens":8,"stream":true`, 1))
		return status == http.StatusOK
	})
	for _, name := range []string{"first_token_seconds", "between_tokens_seconds", "queueing_seconds"} {
		await(t, name+" in the scrape", func() bool {
			_, scrape := send(t.Context(), t, http.DefaultClient, http.MethodGet, entry.OperatorURL()+"/metrics", "", "")
			return strings.Contains(scrape, "rosecroft_"+name+"_bucket{")
		})
	}
}
