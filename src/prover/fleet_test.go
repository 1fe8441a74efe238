package prover

import (
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
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

// An upstream announces itself to one entry of five alone; callers of every
// entry must reach it. Then it says to that entry that it leaves, and the entry
// is killed as soon as it has answered. Each other entry would send work to a
// machine that is taken back, if the mark had died with the one that heard it.
func TestLeavingMarkOutlivesTheEntryThatHeardIt(t *testing.T) {
	stage := newStage(t)
	startFleet(t, stage, 3, 5)
	apply(t, stage, "../../examples/hearthline.yaml")
	await(t, "view with five entries at each", func() bool {
		return viewInForce(t, stage, stage.Entries) == 5
	})
	upstream, err := stage.StartUpstreamFor(stage.Entries[:1], "engine", "ember-1",
		"--service", "ember-llm", "--model", "ember-1", "--data-centre", "dc-a", "--notice", "60s")
	if err != nil {
		t.Fatal(err)
	}
	await(t, "upstream known to every entry", func() bool {
		return countEntries(t, stage.Entries, func(u entry.UpstreamDump) bool { return !u.Leaving }) == 5
	})
	mark := fmt.Sprintf(`{"upstream":"ember-1","service":"ember-llm","address":%q,"incarnation":"%d",`+
		`"sequence":"1000000","leaving":true,"leavingWithinMs":"60000"}`, upstream.URL, entryDump(t, stage.Entries[0]).Upstreams[0].Incarnation)
	await(t, "mark taken", func() bool {
		return announceTo(t, "http://"+stage.Entries[0].Settings.Upstreams.Listen+"/v1/announcements", mark) == http.StatusNoContent
	})
	stage.Entries[0].Kill()
	await(t, "mark at every other entry", func() bool {
		return countEntries(t, stage.Entries[1:], func(u entry.UpstreamDump) bool { return u.Leaving }) == 4
	})
}

// An upstream is frozen: it keeps its connections open and answers nothing, so
// that calls sent to it would hang. The entry that hears it must suspect it and
// then give it up, and tell the others. When it wakes and goes on announcing
// itself, it must come back everywhere.
func TestFrozenUpstreamIsGivenUpAndComesBack(t *testing.T) {
	stage := newStage(t)
	startFleet(t, stage, 1, 3)
	apply(t, stage, "../../examples/hearthline.yaml")
	await(t, "view with three entries at each", func() bool {
		return viewInForce(t, stage, stage.Entries) == 3
	})
	upstream, err := stage.StartUpstreamFor(stage.Entries[:1], "engine", "ember-1",
		"--service", "ember-llm", "--model", "ember-1", "--data-centre", "dc-a")
	if err != nil {
		t.Fatal(err)
	}
	known := func() int {
		return countEntries(t, stage.Entries, func(u entry.UpstreamDump) bool { return !u.Suspected })
	}
	await(t, "upstream known to every entry", func() bool { return known() == 3 })
	upstream.Signal(syscall.SIGSTOP)
	await(t, "upstream given up by every entry", func() bool {
		return countEntries(t, stage.Entries, func(entry.UpstreamDump) bool { return true }) == 0
	})
	upstream.Signal(syscall.SIGCONT)
	await(t, "upstream known to every entry again", func() bool { return known() == 3 })
}

// countEntries returns how many entries hold a matching upstream called ember-1.
func countEntries(t *testing.T, nodes []*stager.Node, matches func(entry.UpstreamDump) bool) int {
	t.Helper()
	count := 0
	for _, node := range nodes {
		for _, upstream := range entryDump(t, node).Upstreams {
			if upstream.Name == "ember-1" && matches(upstream) {
				count++
			}
		}
	}
	return count
}

// announceTo returns the status code of a request with a JSON body, 0 for none.
func announceTo(t *testing.T, url, body string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
