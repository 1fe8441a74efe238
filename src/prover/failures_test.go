package prover

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/deployer"
	"github.com/rosecroft/rosecroft/src/injector"
)

// Callers book, read and stream while an entry stops, another is killed, a control
// instance is killed, an engine gets its notice, another freezes, a data centre's
// engines are reclaimed and two operators submit concurrently. Each call must end
// with one complete answer or a refusal that is true according to the upstreams'
// journals: whichever process fails, another one holds the call's record or can
// continue its stream.
func TestShortFailureRun(t *testing.T) {
	experiment := &injector.Experiment{
		Deployment: deployer.Hearthline(filepath.Join("..", "..")),
		Cluster:    newCluster(t),
		Rates: deployer.Rates{
			Stream:        8,
			Whole:         2,
			NonRepeatable: 8,
			Read:          4,
		},
		Span: 9 * time.Second,
		Seed: 1,
		Log:  t.Output(),
		Schedule: []injector.ScheduledFault{
			{At: 1500 * time.Millisecond, Kind: injector.NoticeUpstream, Target: 3},
			{At: 2000 * time.Millisecond, Kind: injector.StopEntry, Target: 4, Duration: time.Second},
			{At: 2500 * time.Millisecond, Kind: injector.KillControl, Target: 1, Duration: time.Second},
			{At: 3000 * time.Millisecond, Kind: injector.SubmitConcurrently, Target: 1},
			{At: 4000 * time.Millisecond, Kind: injector.FreezeUpstream, Target: 9, Duration: 2 * time.Second},
			{At: 5500 * time.Millisecond, Kind: injector.ReclaimDataCentre, Target: 2},
			{At: 6500 * time.Millisecond, Kind: injector.KillEntry, Target: 7, Duration: time.Second},
		},
	}
	verdict, _, err := experiment.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Log(verdict, verdict.Refused)
	if got, want := verdict.Violations, 0; len(got) != want {
		t.Errorf("faults: got %q, want %d", got, want)
	}
	if got, want := verdict.Answered, 1; got < want {
		t.Errorf("answered calls: got %d, want at least %d", got, want)
	}
}
