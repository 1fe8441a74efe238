package prover

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rosecroft/rosecroft/src/control"
	"github.com/rosecroft/rosecroft/src/stager"
	"github.com/rosecroft/rosecroft/src/standin"
)

// orderSettings is added to the service of the example configuration so that its
// engines receive orders.
const orderSettings = `
    next-version: "%s"
    fleet: {orders: true, floor: 3, most: %d, slots: %d}
`

// Four engines load a new model version while three must stay in service, and the
// leader is killed half-way. Its successor must continue without taking a second
// engine out of service, and no engine may execute an order of the old leader after
// one of the new leader.
func TestModelRolloutSurvivesLeaderLoss(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 3, 2)
	for i := range 4 {
		_, err := cluster.StartUpstream("engine", fmt.Sprintf("ember-%d", i+1), "--service", "ember-llm",
			"--model", "ember-1", "--data-centre", "dc-a", "--checks-fencing")
		if err != nil {
			t.Fatal(err)
		}
	}
	await(t, "four engines known", func() bool { return len(entryDump(t, cluster.Entries[0]).Upstreams) == 4 })
	apply(t, cluster, writeOrderConfiguration(t, "2", 0, 0, ""))
	minInService, killed := 4, false
	await(t, "four engines with the new version", func() bool {
		inService, changed := 0, 0
		for _, upstream := range entryDump(t, cluster.Entries[0]).Upstreams {
			if upstream.Loading == "" {
				inService++
			}
			if upstream.ModelVersion == "2" {
				changed++
			}
		}
		minInService = min(minInService, inService)
		if changed > 0 && !killed {
			findLeader(t, cluster).Kill()
			killed = true
		}
		return changed == 4
	})
	if got, want := minInService, 3; got < want {
		t.Errorf("minimum of engines in service: got %d, want at least %d", got, want)
	}
	for _, upstream := range entryDump(t, cluster.Entries[0]).Upstreams {
		log := &standin.OrderLog{}
		getJSON(t, upstream.Address+"/v1/orders", log)
		if got, want := len(log.Taken), 1; got != want {
			t.Errorf("loads of %s: got %d, want %d", upstream.Name, got, want)
		}
	}
}

// findLeader waits until a control instance leads and returns it.
func findLeader(t *testing.T, cluster *stager.Cluster) *stager.Node {
	t.Helper()
	var found *stager.Node
	await(t, "a leader", func() bool {
		for _, node := range cluster.Controls {
			dump := &control.Dump{}
			if !node.Running() {
				continue
			}
			readDump(t, node, dump)
			if dump.Role == "leader" {
				found = node
			}
		}
		return found != nil
	})
	return found
}

// writeOrderConfiguration writes the example configuration with orders for its
// engines, followed by the fleet's settings.
func writeOrderConfiguration(t *testing.T, next string, most, slots int, fleet string) string {
	t.Helper()
	content, err := os.ReadFile("../../examples/hearthline.yaml")
	if err != nil {
		t.Fatal(err)
	}
	document := strings.Replace(string(content), "  - name: ember-llm\n",
		"  - name: ember-llm"+fmt.Sprintf(orderSettings, next, most, slots), 1) + fleet
	path := filepath.Join(t.TempDir(), "ordered.yaml")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// getJSON decodes the JSON at a URL into answer.
func getJSON(t *testing.T, url string, answer any) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		t.Fatalf("read %s: %v", url, err)
	}
}
