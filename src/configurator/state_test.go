package configurator

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/units"
)

// TestMain sets a fixed seed, unless the command line sets another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261202")
	}
	os.Exit(m.Run())
}

func submission(version uint64, operator string) *messages.Submission {
	document := fmt.Appendf(nil, "content of %s for %d", operator, version)
	return &messages.Submission{
		Version:     version,
		Operator:    operator,
		Document:    document,
		ContentHash: Hash(document),
	}
}

// Operators race, resend and submit old versions while voters restart from snapshots
// at different positions of the log. Every voter must give each submission the same
// outcome, a resend must get the first outcome, and the version must never decrease.
func TestVotersAgreeOverSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uninterrupted, restarted := &State{}, &State{}
		winners := make(map[uint64]string)
		for range 250 {
			next := submission(rapid.Uint64Range(1, 60).Draw(t, "version"),
				rapid.SampledFrom([]string{"alice", "bob"}).Draw(t, "operator"))
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				restarted = restored(t, restarted)
			}
			before := uninterrupted.Version()
			got, other := uninterrupted.Submit(next), restarted.Submit(next)
			if !proto.Equal(got, other) {
				t.Fatalf("outcome after a snapshot: got %v, want %v", other, got)
			}
			if uninterrupted.Version() < before {
				t.Fatalf("version: got %d after %d, want no decrease", uninterrupted.Version(), before)
			}
			checkOutcome(t, winners, next, got, before)
		}
	})
}

func restored(t *rapid.T, state *State) *State {
	content, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fresh := &State{}
	if err := fresh.Restore(content); err != nil {
		t.Fatal(err)
	}
	return fresh
}

func checkOutcome(t *rapid.T, winners map[uint64]string, next *messages.Submission, got *messages.SubmissionResult, before units.Version) {
	want := messages.Outcome_OUTCOME_ACCEPTED
	winner, taken := winners[next.GetVersion()]
	switch {
	case taken && winner != next.GetOperator():
		want = messages.Outcome_OUTCOME_CONFLICT
	case !taken && units.Version(next.GetVersion()) <= before:
		want = messages.Outcome_OUTCOME_STALE
	case !taken:
		winner = next.GetOperator()
		winners[next.GetVersion()] = winner
	}
	if got.GetOutcome() != want || got.GetWinner() != winner {
		t.Fatalf("version %d of %s: got %s with winner %q, want %s with %q",
			next.GetVersion(), next.GetOperator(), got.GetOutcome(), got.GetWinner(), want, winner)
	}
}

// Over years of changes only a bounded number of outcomes is retained. An older
// submission that is resent must be answered as stale and not be accepted again.
func TestOutcomesAreBounded(t *testing.T) {
	state := &State{}
	for version := uint64(1); version <= retainedOutcomes+10; version++ {
		state.Submit(submission(version, "alice"))
	}
	if got, want := len(state.accepted), retainedOutcomes; got != want {
		t.Errorf("outcomes retained: got %d, want %d", got, want)
	}
	cases := map[uint64]messages.Outcome{
		10: messages.Outcome_OUTCOME_STALE,
		11: messages.Outcome_OUTCOME_ACCEPTED,
	}
	for version, want := range cases {
		if got := state.Submit(submission(version, "alice")).GetOutcome(); got != want {
			t.Errorf("resend of version %d: got %s, want %s", version, got, want)
		}
	}
}
