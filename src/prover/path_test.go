package prover

import (
	"net/http"
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
