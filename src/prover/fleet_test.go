package prover

import (
	"fmt"
	"os/exec"
	"testing"

	"github.com/goccy/go-yaml"

	"github.com/rosecroft/rosecroft/src/control"
	"github.com/rosecroft/rosecroft/src/entry"
	"github.com/rosecroft/rosecroft/src/stager"
)

// One entry of three is killed and its caller records die with it; then it
// starts again. The view must first name two entries and then the third with a
// new incarnation, and every entry must learn each view, since the owners of
// call records are chosen by it.
func TestEntryViewFollowsDeathAndRestart(t *testing.T) {
	stage := newStage(t)
	startFleet(t, stage, 3, 3)
	apply(t, stage, "../../examples/hearthline.yaml")
	await(t, "view with three entries at each", func() bool {
		return viewInForce(t, stage, stage.Entries) == 3
	})
	before := entryDump(t, stage.Entries[0]).View
	stage.Entries[2].Kill()
	await(t, "view with two entries", func() bool {
		return viewInForce(t, stage, stage.Entries[:2]) == 2
	})
	if err := stage.Start(stage.Entries[2]); err != nil {
		t.Fatal(err)
	}
	await(t, "view with three entries again", func() bool {
		return viewInForce(t, stage, stage.Entries) == 3
	})
	if got, want := entryDump(t, stage.Entries[0]).View, before+2; got != want {
		t.Errorf("view number: got %d, want %d", got, want)
	}
}

// viewInForce returns how many members the newest view has, 0 unless the entries hold it.
func viewInForce(t *testing.T, stage *stager.Stage, entries []*stager.Node) int {
	t.Helper()
	newest := control.ViewDump{}
	for _, node := range stage.Controls {
		dump := &control.Dump{}
		readDump(t, node, dump)
		if dump.View.Number > newest.Number {
			newest = dump.View
		}
	}
	for _, node := range entries {
		if entryDump(t, node).View != newest.Number {
			return 0
		}
	}
	return len(newest.Members)
}

func entryDump(t testing.TB, node *stager.Node) *entry.Dump {
	t.Helper()
	dump := &entry.Dump{}
	readDump(t, node, dump)
	return dump
}

// readDump fills state from a running node's dump; it stays empty where the node does not answer.
func readDump(t testing.TB, node *stager.Node, state any) {
	t.Helper()
	output, err := exec.CommandContext(t.Context(), programs+"/rosecroft", "dump", node.OperatorURL()).Output()
	if err != nil {
		return
	}
	if err := yaml.Unmarshal(output, state); err != nil {
		t.Fatal(fmt.Errorf("read the dump of %s: %w", node.Settings.Name, err))
	}
}
