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

// One entry of three is killed, which loses its call records, and then restarts. The
// view must first contain two entries and then the third again with a new
// incarnation, and every entry must receive each view, since it determines the
// owners of call records.
func TestEntryViewFollowsKillAndRestart(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 3, 3)
	apply(t, cluster, "../../examples/hearthline.yaml")
	await(t, "view with three entries at each", func() bool {
		return viewSizeInForce(t, cluster, cluster.Entries) == 3
	})
	before := entryDump(t, cluster.Entries[0]).View
	cluster.Entries[2].Kill()
	await(t, "view with two entries", func() bool {
		return viewSizeInForce(t, cluster, cluster.Entries[:2]) == 2
	})
	if err := cluster.Start(cluster.Entries[2]); err != nil {
		t.Fatal(err)
	}
	await(t, "view with three entries again", func() bool {
		return viewSizeInForce(t, cluster, cluster.Entries) == 3
	})
	if got, want := entryDump(t, cluster.Entries[0]).View, before+2; got != want {
		t.Errorf("view number: got %d, want %d", got, want)
	}
}

// viewSizeInForce returns the number of members of the newest view, 0 unless all
// these entries hold it.
func viewSizeInForce(t *testing.T, cluster *stager.Cluster, entries []*stager.Node) int {
	t.Helper()
	newest := control.ViewDump{}
	for _, node := range cluster.Controls {
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

// readDump decodes a running node's dump into state, which stays empty if the node does not answer.
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

// An upstream announces itself to only one entry of five; callers of every entry must
// reach it. Then it announces to that entry that it is leaving, and the entry is
// killed as soon as it has answered. If the leaving state were lost with that entry,
// the others would send calls to an instance that is being reclaimed.
func TestLeavingStateOutlivesEntryThatReceivedIt(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 3, 5)
	apply(t, cluster, "../../examples/hearthline.yaml")
	await(t, "view with five entries at each", func() bool {
		return viewSizeInForce(t, cluster, cluster.Entries) == 5
	})
	upstream, err := cluster.StartUpstreamFor(cluster.Entries[:1], "engine", "ember-1",
		"--service", "ember-llm", "--model", "ember-1", "--data-centre", "dc-a", "--notice", "60s")
	if err != nil {
		t.Fatal(err)
	}
	await(t, "upstream known to every entry", func() bool {
		return countEntriesWith(t, cluster.Entries, func(u entry.UpstreamDump) bool { return !u.Leaving }) == 5
	})
	announcement := fmt.Sprintf(`{"upstream":"ember-1","service":"ember-llm","address":%q,"incarnation":"%d",`+
		`"sequence":"1000000","leaving":true,"leavingWithinMs":"60000"}`, upstream.URL, entryDump(t, cluster.Entries[0]).Upstreams[0].Incarnation)
	await(t, "leaving announcement accepted", func() bool {
		return postJSON(t, "http://"+cluster.Entries[0].Settings.Upstreams.Address+"/v1/announcements", announcement) == http.StatusNoContent
	})
	cluster.Entries[0].Kill()
	await(t, "leaving state at every other entry", func() bool {
		return countEntriesWith(t, cluster.Entries[1:], func(u entry.UpstreamDump) bool { return u.Leaving }) == 4
	})
}

// An upstream is frozen: it keeps its connections open and answers nothing, so that
// calls sent to it would hang. The entry that receives its announcements must suspect
// it, then drop it and notify the other entries. When the upstream resumes and
// announces itself again, it must return at every entry.
func TestFrozenUpstreamExpiresAndReturns(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 1, 3)
	apply(t, cluster, "../../examples/hearthline.yaml")
	await(t, "view with three entries at each", func() bool {
		return viewSizeInForce(t, cluster, cluster.Entries) == 3
	})
	upstream, err := cluster.StartUpstreamFor(cluster.Entries[:1], "engine", "ember-1",
		"--service", "ember-llm", "--model", "ember-1", "--data-centre", "dc-a")
	if err != nil {
		t.Fatal(err)
	}
	known := func() int {
		return countEntriesWith(t, cluster.Entries, func(u entry.UpstreamDump) bool { return !u.Suspected })
	}
	await(t, "upstream known to every entry", func() bool { return known() == 3 })
	upstream.Signal(syscall.SIGSTOP)
	await(t, "upstream dropped by every entry", func() bool {
		return countEntriesWith(t, cluster.Entries, func(entry.UpstreamDump) bool { return true }) == 0
	})
	upstream.Signal(syscall.SIGCONT)
	await(t, "upstream known to every entry again", func() bool { return known() == 3 })
}

// countEntriesWith returns how many entries have the upstream ember-1 in a matching state.
func countEntriesWith(t *testing.T, nodes []*stager.Node, matches func(entry.UpstreamDump) bool) int {
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

// postJSON sends a JSON body and returns the status code, 0 if there was no answer.
func postJSON(t *testing.T, url, body string) int {
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
