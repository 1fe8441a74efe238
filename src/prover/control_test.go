package prover

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/control"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/stager"
)

const (
	// askTimeout bounds one request to a control instance.
	askTimeout = 8 * time.Second
	// watchTime is how long a test watches that something does not happen.
	watchTime = 2500 * time.Millisecond
)

// newControlStage returns a stage that replaces a voter soon after it is gone.
func newControlStage(t *testing.T) *stager.Stage {
	t.Helper()
	stage := newStage(t)
	stage.Timing = parser.Timing{
		Repair: time.Second,
	}
	return stage
}

// document returns the example configuration under a version; a mark makes its content differ.
func document(t *testing.T, version int, mark string) string {
	t.Helper()
	content, err := os.ReadFile("../../examples/hearthline.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return strings.Replace(string(content), "\nversion: 1\n", fmt.Sprintf("\nversion: %d\n", version), 1) + "# " + mark + "\n"
}

// submit sends a configuration to one control instance; the result is nil where it got no answer.
func submit(ctx context.Context, node *stager.Node, content, operator string) *messages.SubmissionResult {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, node.OperatorURL()+"/v1/configuration", strings.NewReader(content))
	if err != nil {
		return nil
	}
	request.Header.Set("Content-Type", "application/yaml")
	request.Header.Set("Rosecroft-Operator", operator)
	result := &messages.SubmissionResult{}
	if !exchange(request, result) {
		return nil
	}
	return result
}

// statusOf returns what one control instance says of the fleet, nil where it says nothing.
func statusOf(ctx context.Context, node *stager.Node) *messages.Status {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, node.OperatorURL()+"/v1/status", nil)
	if err != nil {
		return nil
	}
	status := &messages.Status{}
	if !exchange(request, status) {
		return nil
	}
	return status
}

// exchange fills answer and reports whether the instance answered for the fleet.
func exchange(request *http.Request, answer proto.Message) bool {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode != http.StatusServiceUnavailable && protojson.Unmarshal(content, answer) == nil
}

// never watches a condition over several elections and wants it to stay false.
func never(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), watchTime)
	defer cancel()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		if holds() {
			t.Fatalf("%s: got yes, want never", what)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// accept submits until the change has its answer, and wants it accepted.
func accept(t *testing.T, nodes []*stager.Node, version int) {
	t.Helper()
	content := document(t, version, "change")
	await(t, fmt.Sprintf("version %d accepted", version), func() bool {
		for _, node := range nodes {
			if !node.Running() {
				continue
			}
			result := submit(t.Context(), node, content, "alice")
			if result == nil {
				continue
			}
			if got, want := result.GetOutcome(), messages.Outcome_OUTCOME_ACCEPTED; got != want {
				t.Fatalf("version %d: got %s (%s), want %s", version, got, result.GetDetail(), want)
			}
			return true
		}
		return false
	})
}

func controlDump(t *testing.T, node *stager.Node) *control.Dump {
	t.Helper()
	dump := &control.Dump{}
	readDump(t, node, dump)
	return dump
}

// leaderOf waits for the leader of the newest term among the nodes.
func leaderOf(t *testing.T, nodes []*stager.Node) *stager.Node {
	t.Helper()
	var leader *stager.Node
	await(t, "leader", func() bool {
		newest := control.Dump{}
		for _, node := range nodes {
			if dump := controlDump(t, node); dump.Role == "leader" && dump.Term >= newest.Term {
				leader, newest = node, *dump
			}
		}
		return leader != nil
	})
	return leader
}

// without returns the nodes but for some.
func without(nodes []*stager.Node, left ...*stager.Node) []*stager.Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(node *stager.Node) bool {
		return slices.Contains(left, node)
	})
}

// votersOf returns the identities of the voters as a node knows them.
func votersOf(dump *control.Dump) []string {
	var voters []string
	for _, member := range dump.Members {
		if !member.Learner {
			voters = append(voters, string(member.ID))
		}
	}
	return voters
}

// The leader dies without notice. The next one accepts a change, and the operator
// who sends an earlier one again learns that it was accepted.
func TestKilledLeaderLosesNoChange(t *testing.T) {
	stage := newControlStage(t)
	startFleet(t, stage, 3, 0)
	accept(t, stage.Controls, 1)
	leader := leaderOf(t, stage.Controls)
	leader.Kill()
	rest := without(stage.Controls, leader)
	accept(t, rest, 2)
	accept(t, rest, 1)
	if err := stage.Start(leader); err != nil {
		t.Fatal(err)
	}
	await(t, "old leader holds version 2", func() bool {
		return controlDump(t, leader).AcceptedVersion == 2
	})
}

// The leader freezes with a submission under way, longer than its lease, while
// another operator's content takes the same version. When it wakes in the middle
// of its work it may not accept the first content, nor tell an old version.
func TestFrozenLeaderClaimsNothing(t *testing.T) {
	stage := newControlStage(t)
	startFleet(t, stage, 3, 0)
	accept(t, stage.Controls, 1)
	leader := leaderOf(t, stage.Controls)
	rest := without(stage.Controls, leader)
	leader.Signal(syscall.SIGSTOP)
	late := make(chan *messages.SubmissionResult, 1)
	lost := document(t, 2, "of the frozen leader")
	go func() { late <- submit(t.Context(), leader, lost, "bob") }()
	accept(t, rest, 2)
	leader.Signal(syscall.SIGCONT)
	for range 20 {
		status := statusOf(t.Context(), leader)
		if status != nil && status.GetAcceptedVersion() < 2 {
			t.Fatalf("accepted version at the woken leader: got %d, want 2 or no answer", status.GetAcceptedVersion())
		}
	}
	result := <-late
	if result.GetOutcome() == messages.Outcome_OUTCOME_ACCEPTED {
		t.Fatalf("submission at the frozen leader: got %s, want a conflict or no answer", result.GetOutcome())
	}
	again := submit(t.Context(), leader, lost, "bob")
	if got, want := again.GetOutcome(), messages.Outcome_OUTCOME_CONFLICT; got != want {
		t.Errorf("resend after the wake: got %s, want %s", got, want)
	}
	if got, want := again.GetWinner(), "alice"; got != want {
		t.Errorf("winner told to the loser: got %q, want %q", got, want)
	}
}

// Two operators send different content under one version to different instances
// at the same moment. One is accepted; the other learns who was.
func TestRaceUnderOneVersionHasOneWinner(t *testing.T) {
	stage := newControlStage(t)
	startFleet(t, stage, 3, 0)
	accept(t, stage.Controls, 1)
	for version := 2; version < 8; version++ {
		operators := []string{"alice", "bob", "carol"}
		results := make([]*messages.SubmissionResult, len(operators))
		ended := make(chan struct{})
		for i, operator := range operators {
			content := document(t, version, operator)
			go func() {
				results[i] = submit(t.Context(), stage.Controls[i], content, operator)
				ended <- struct{}{}
			}()
		}
		for range operators {
			<-ended
		}
		winner := ""
		for i, result := range results {
			if result.GetOutcome() == messages.Outcome_OUTCOME_ACCEPTED {
				if winner != "" {
					t.Fatalf("version %d: accepted for %s and %s", version, winner, operators[i])
				}
				winner = operators[i]
			}
		}
		for i, result := range results {
			if got, want := result.GetWinner(), winner; got != want {
				t.Errorf("version %d: winner told to %s: got %q, want %q", version, operators[i], got, want)
			}
		}
	}
}

// A process is down while hundreds of changes pass it by, more than the log keeps.
// It must catch up by a snapshot, and the first change's outcome must still be
// known there, also when it leads.
func TestRestartFiveHundredChangesBehind(t *testing.T) {
	stage := newControlStage(t)
	stage.Timing.Repair = time.Minute
	startFleet(t, stage, 3, 1)
	accept(t, stage.Controls, 1)
	leader := leaderOf(t, stage.Controls)
	behind := without(stage.Controls, leader)[0]
	behind.Kill()
	stage.Entries[0].Kill()
	for version := 2; version <= 501; version++ {
		result := submit(t.Context(), leader, document(t, version, "change"), "alice")
		if got, want := result.GetOutcome(), messages.Outcome_OUTCOME_ACCEPTED; got != want {
			t.Fatalf("version %d: got %s, want %s", version, got, want)
		}
	}
	began := time.Now()
	if err := stage.Start(behind); err != nil {
		t.Fatal(err)
	}
	if err := stage.Start(stage.Entries[0]); err != nil {
		t.Fatal(err)
	}
	await(t, "voter has caught up by a snapshot", func() bool {
		dump := controlDump(t, behind)
		return dump.AcceptedVersion == 501 && dump.SnapshotIndex > 0
	})
	t.Logf("voter 500 changes behind caught up within %s of its start", time.Since(began).Round(time.Millisecond))
	await(t, "entry has the newest version in force", func() bool {
		return entryDump(t, stage.Entries[0]).VersionInForce == 501
	})
	t.Logf("entry 500 changes behind within %s of its start", time.Since(began).Round(time.Millisecond))
	for _, node := range stage.Controls {
		info, err := os.Stat(node.Settings.DataFolder + "/records")
		if err != nil {
			t.Fatal(err)
		}
		if got, most := info.Size(), int64(400*len(document(t, 501, "change"))); got > most {
			t.Errorf("bytes of the records of %s: got %d, want at most %d", node.Settings.Name, got, most)
		}
	}
	leader.Kill()
	accept(t, without(stage.Controls, leader), 1)
	accept(t, without(stage.Controls, leader), 502)
}
