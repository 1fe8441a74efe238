package governor

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosecroft/rosecroft/src/aggregator"
	"github.com/rosecroft/rosecroft/src/enroller"
	"github.com/rosecroft/rosecroft/src/messages"
)

func newState() *state {
	return &state{ledger: &aggregator.Ledger{WindowLength: 5 * time.Second}}
}

func declaration(version uint64, document string) *messages.Command {
	return &messages.Command{
		Change: &messages.Command_Declaration{
			Declaration: &messages.Declaration{
				Version:  version,
				Document: []byte(document),
			},
		},
	}
}

// Two operators send configurations at the same time, and their commands are committed in any
// order, some of them twice. Every control instance must end with the highest version and
// keep the first content that it got for it; so must an instance that restores a snapshot in
// between.
func TestHighestVersionWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, restored := newState(), newState()
		highest := uint64(0)
		content := ""
		for n := range rapid.IntRange(1, 30).Draw(t, "commands") {
			version := rapid.Uint64Range(1, 9).Draw(t, "version")
			document := string(rune('a' + n))
			if version > highest {
				highest, content = version, document
			}
			direct.apply(declaration(version, document))
			restored.apply(declaration(version, document))
			if rapid.IntRange(0, 3).Draw(t, "snapshot") == 0 {
				bytes, err := restored.snapshot()
				if err != nil {
					t.Fatal(err)
				}
				restored = newState()
				if err := restored.restore(bytes); err != nil {
					t.Fatal(err)
				}
			}
		}
		for name, s := range map[string]*state{"direct": direct, "restored": restored} {
			if got := s.configuration.GetVersion(); got != highest {
				t.Fatalf("%s version: got %d, want %d", name, got, highest)
			}
			if got := string(s.configuration.GetDocument()); got != content {
				t.Fatalf("%s document: got %q, want %q", name, got, content)
			}
		}
	})
}

// A snapshot must hold the counts of reported windows, so that the next leader reports the
// same ones.
func TestSnapshotKeepsReports(t *testing.T) {
	s := newState()
	for window := range int64(3) {
		s.apply(&messages.Command{
			Change: &messages.Command_UsageReport{
				UsageReport: &messages.UsageReport{
					Window: 100 + window,
					Counts: map[string]int64{"a": window},
				},
			},
		})
	}
	content, err := s.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := newState()
	if err := restored.restore(content); err != nil {
		t.Fatal(err)
	}
	if got, want := len(restored.ledger.Committed()), 3; got != want {
		t.Fatalf("reports: got %d, want %d", got, want)
	}
	if got, want := restored.ledger.Committed()[2].Counts["a"], int64(2); got != want {
		t.Errorf("counts: got %d, want %d", got, want)
	}
	if err := restored.restore([]byte("garbage")); err == nil {
		t.Error("a damaged snapshot: got no error")
	}
}

// All processes lose power. After the restart control must know the upstreams at once, but
// must not assume that their heartbeats were just received: upstreams that are gone must soon
// count as silent.
func TestUpstreamsAreRestoredAfterRestart(t *testing.T) {
	const interval = time.Second
	folder := t.TempDir()
	now := time.Unix(1000, 0)
	table := &enroller.Table{ID: 1, Interval: interval}
	table.Record(now, enroller.Registration{ID: "u1", Service: "s", Address: "x", State: enroller.Ready, Sequence: 3}, 0)
	file := newTableFile(folder)
	if err := file.save(now, table); err != nil {
		t.Fatal(err)
	}
	if err := <-file.saving; err != nil {
		t.Fatal(err)
	}
	restored := &enroller.Table{ID: 2, Interval: interval}
	if count, _, err := newTableFile(folder).load(now, restored); err != nil || count != 1 {
		t.Fatalf("loaded upstreams: got %d (%v), want 1", count, err)
	}
	if got := restored.Upstreams()[0]; got.State != enroller.Ready || got.Silent {
		t.Errorf("upstream: got %v, silent %t, want it ready", got.State, got.Silent)
	}
	restored.Expire(now.Add(2 * interval))
	if !restored.Upstreams()[0].Silent {
		t.Error("upstream without heartbeats: got silent false, want true")
	}
	if count, _, err := newTableFile(t.TempDir()).load(now, restored); err != nil || count != 0 {
		t.Errorf("upstreams loaded from an empty folder: got %d (%v), want none", count, err)
	}
}
