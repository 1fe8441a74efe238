package prover

import (
	"net/http"
	"os/exec"
	"strings"
	"testing"
)

// An entry that has no configuration yet must not take calls: the balancer
// sends it callers as soon as it is ready, and each would be refused. It turns
// ready once the accepted configuration is in force.
func TestEntryTurnsReadyWithItsConfiguration(t *testing.T) {
	stage := newStage(t)
	startFleet(t, stage, 1, 1)
	ready := stage.Entries[0].CallerURL() + "/readyz"
	if got, want := get(t.Context(), ready), http.StatusServiceUnavailable; got != want {
		t.Errorf("status before a configuration: got %d, want %d", got, want)
	}
	apply(t, stage, "../../examples/hearthline.yaml")
	if got, want := get(t.Context(), ready), http.StatusOK; got != want {
		t.Errorf("status with a configuration: got %d, want %d", got, want)
	}
}

// An operator was told that version 1 is accepted; then every control instance
// is killed at once and started again. The version must still stand, since a
// majority had it synced to disk before the answer.
func TestConfigurationSurvivesRestartOfAllControl(t *testing.T) {
	stage := newStage(t)
	startFleet(t, stage, 3, 1)
	apply(t, stage, "../../examples/hearthline.yaml")
	for _, control := range stage.Controls {
		control.Kill()
	}
	for _, control := range stage.Controls {
		if err := stage.Start(control); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "version 1 accepted and in force", func() bool {
		command := exec.CommandContext(t.Context(), stage.Program, "status", "--control", stage.ControlURLs())
		output, err := command.Output()
		return err == nil && strings.Contains(string(output), "version 1 accepted, in force at 1 of 1")
	})
}
