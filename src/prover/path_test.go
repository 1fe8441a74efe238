package prover

import (
	"net/http"
	"os/exec"
	"strings"
	"testing"
)

// An entry without a configuration must not be ready: the load balancer would send it
// calls, and each would be refused. It must become ready once the accepted
// configuration is in force.
func TestEntryIsReadyOnceConfigured(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 1, 1)
	ready := cluster.Entries[0].CallerURL() + "/readyz"
	if got, want := getStatusCode(t.Context(), ready), http.StatusServiceUnavailable; got != want {
		t.Errorf("status before a configuration: got %d, want %d", got, want)
	}
	apply(t, cluster, "../../examples/hearthline.yaml")
	if got, want := getStatusCode(t.Context(), ready), http.StatusOK; got != want {
		t.Errorf("status with a configuration: got %d, want %d", got, want)
	}
}

// Version 1 is reported to the operator as accepted; then all control instances are
// killed and restarted. The version must still be accepted, since a majority synced
// it to disk before the answer.
func TestConfigurationSurvivesControlRestart(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 3, 1)
	apply(t, cluster, "../../examples/hearthline.yaml")
	for _, control := range cluster.Controls {
		control.Kill()
	}
	for _, control := range cluster.Controls {
		if err := cluster.Start(control); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "version 1 accepted and in force", func() bool {
		command := exec.CommandContext(t.Context(), cluster.Program, "status", "--control", cluster.ControlURLs())
		output, err := command.Output()
		return err == nil && strings.Contains(string(output), "version 1 accepted, in force at 1 of 1")
	})
}
