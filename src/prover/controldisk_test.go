package prover

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/rosecroft/rosecroft/src/stager"
	"github.com/rosecroft/rosecroft/src/units"
)

// readLog returns the output of all runs of a node's process.
func readLog(t *testing.T, cluster *stager.Cluster, node *stager.Node) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(cluster.Folder, string(node.Settings.Name)+".log"))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// awaitVoters waits until the leader has exactly one voter on each of these instances and no learner.
func awaitVoters(t *testing.T, nodes []*stager.Node, instances ...units.Instance) {
	t.Helper()
	await(t, "three voters on the instances wanted", func() bool {
		dump := controlDump(t, awaitLeader(t, nodes))
		var found []units.Instance
		for _, voter := range voterIDs(dump) {
			found = append(found, units.VoterID(voter).Instance())
		}
		slices.Sort(found)
		return slices.Equal(found, instances) && len(dump.Members) == len(instances)
	})
}

// A voter loses its disk and restarts. Its old identity must no longer count, since
// the changes that it acknowledged are lost; the instance must join as another voter.
// Then a second instance is killed, and changes must still be accepted.
func TestSecondVoterLossAfterDiskLoss(t *testing.T) {
	cluster := newControlCluster(t)
	startFleet(t, cluster, 3, 0)
	awaitAccepted(t, cluster.Controls, 1)
	leader := awaitLeader(t, cluster.Controls)
	rest := excluding(cluster.Controls, leader)
	before := controlDump(t, rest[0]).Voter
	rest[0].Kill()
	if err := os.RemoveAll(rest[0].Settings.DataFolder); err != nil {
		t.Fatal(err)
	}
	awaitAccepted(t, []*stager.Node{leader, rest[1]}, 2)
	if err := cluster.Start(rest[0]); err != nil {
		t.Fatal(err)
	}
	await(t, "instance votes under another identity", func() bool {
		dump := controlDump(t, rest[0])
		voters := voterIDs(controlDump(t, awaitLeader(t, cluster.Controls)))
		return dump.Voter != before && slices.Contains(voters, string(dump.Voter)) && len(voters) == 3
	})
	rest[1].Kill()
	awaitAccepted(t, excluding(cluster.Controls, rest[1]), 3)
}

// A voter is lost permanently while a spare instance runs in another data centre.
// The spare must replace it without an operator. Then a second voter is killed, and
// changes must still be accepted.
func TestSpareReplacesLostVoter(t *testing.T) {
	cluster := newControlCluster(t)
	startFleet(t, cluster, 4, 0)
	awaitAccepted(t, cluster.Controls, 1)
	awaitVoters(t, cluster.Controls, "c1", "c2", "c3")
	cluster.Controls[0].Kill()
	rest := cluster.Controls[1:]
	awaitVoters(t, rest, "c2", "c3", "c4")
	awaitAccepted(t, rest, 2)
	cluster.Controls[1].Kill()
	awaitAccepted(t, rest[1:], 3)
}

// Two of three voters lose their disks. Nothing may be accepted: the two must not
// start an empty log next to the survivor's.
func TestLostMajorityStartsNoSecondLog(t *testing.T) {
	cluster := newControlCluster(t)
	startFleet(t, cluster, 3, 0)
	awaitAccepted(t, cluster.Controls, 1)
	survivor := cluster.Controls[2]
	survivor.Kill()
	for _, node := range cluster.Controls[:2] {
		node.Kill()
		if err := os.RemoveAll(node.Settings.DataFolder); err != nil {
			t.Fatal(err)
		}
		if err := cluster.Start(node); err != nil {
			t.Fatal(err)
		}
	}
	if err := cluster.Start(survivor); err != nil {
		t.Fatal(err)
	}
	content := exampleDocument(t, 1, "of another operator")
	never(t, "a submission answered", func() bool {
		return slices.ContainsFunc(cluster.Controls, func(node *stager.Node) bool {
			return submit(t.Context(), node, content, "bob") != nil
		})
	})
	for _, node := range cluster.Controls[:2] {
		if got := controlDump(t, node).Log; got != "" {
			t.Errorf("log of %s: got %s, want none", node.Settings.Name, got)
		}
	}
}

// The disk of an instance is full, or its data folder is a copy, belongs to another
// instance or is in use. The process must log the reason, with the remedy for the full
// disk, and stop, and the other voters must continue.
func TestUnusableFolderStopsOnlyItsInstance(t *testing.T) {
	cluster := newControlCluster(t)
	startFleet(t, cluster, 3, 0)
	awaitAccepted(t, cluster.Controls, 1)
	leader := awaitLeader(t, cluster.Controls)
	rest := excluding(cluster.Controls, leader)
	full := rest[0]
	if err := os.Symlink("/dev/full", filepath.Join(full.Settings.DataFolder, "state.next")); err != nil {
		t.Fatal(err)
	}
	// The followers elect another leader, which needs a write of each of them.
	leader.Signal(syscall.SIGSTOP)
	await(t, "instance with the full disk ended", func() bool { return !full.Running() })
	leader.Signal(syscall.SIGCONT)
	if got, want := readLog(t, cluster, full), "no space left on device; free or replace the disk"; !strings.Contains(got, want) {
		t.Errorf("log of %s: got %s, want %q", full.Settings.Name, got, want)
	}
	awaitAccepted(t, excluding(cluster.Controls, full), 2)
	expectStartRefused(t, cluster, full, func(folder string) {
		copyFolder(t, leader.Settings.DataFolder, folder)
	}, "belongs to")
	own := full.Settings.DataFolder
	expectStartRefused(t, cluster, full, func(folder string) {
		copyFolder(t, own, folder)
	}, "is a copy")
	expectStartRefused(t, cluster, full, func(folder string) {
		if err := os.Symlink(leader.Settings.DataFolder, folder); err != nil {
			t.Fatal(err)
		}
	}, "is in use by another process")
	awaitAccepted(t, excluding(cluster.Controls, full), 3)
}

// expectStartRefused starts the instance on a prepared folder, and fails the test
// unless the process ends and logs the reason.
func expectStartRefused(t *testing.T, cluster *stager.Cluster, node *stager.Node, prepare func(folder string), reason string) {
	t.Helper()
	own := node.Settings.DataFolder
	node.Settings.DataFolder = filepath.Join(t.TempDir(), "data")
	prepare(node.Settings.DataFolder)
	if err := cluster.Start(node); err != nil {
		t.Fatal(err)
	}
	await(t, "refused instance ended", func() bool { return !node.Running() })
	if got := readLog(t, cluster, node); !strings.Contains(got, reason) {
		t.Errorf("log of %s: got %s, want %q", node.Settings.Name, got, reason)
	}
	node.Settings.DataFolder = own
}

func copyFolder(t *testing.T, from, to string) {
	t.Helper()
	if output, err := exec.Command("cp", "-a", from, to).CombinedOutput(); err != nil {
		t.Fatalf("copy %s: %v: %s", from, err, output)
	}
}

// A majority of the voters loses its disks permanently, and an operator recovers
// control from the remaining voter. The command must refuse mistakes: another log's
// id, a remaining majority, or an instance that still runs. Then the others must
// join again, and what was accepted must still be in place.
func TestRecoveryAfterMajorityLoss(t *testing.T) {
	cluster := newControlCluster(t)
	startFleet(t, cluster, 3, 0)
	awaitAccepted(t, cluster.Controls, 1)
	survivor := awaitLeader(t, cluster.Controls)
	logID := controlDump(t, survivor).Log
	lost := excluding(cluster.Controls, survivor)
	survivor.Kill()
	lost[0].Kill()
	names := string(lost[0].Settings.Name) + "," + string(lost[1].Settings.Name)
	recovery := func(logID, names string) string {
		output, _ := exec.CommandContext(t.Context(), cluster.Program, "recover-control",
			filepath.Join(cluster.Folder, string(survivor.Settings.Name)+".yaml"), "--log", logID, "--lost", names).CombinedOutput()
		return string(output)
	}
	refusals := map[string]string{
		recovery("another", names):                     "the folder holds log",
		recovery(logID, string(lost[0].Settings.Name)): "which is a majority",
		recovery(logID, names):                         "stop every control instance first",
	}
	for got, want := range refusals {
		if !strings.Contains(got, want) {
			t.Errorf("recovery: got %q, want %q", got, want)
		}
	}
	lost[1].Kill()
	if got, want := recovery(logID, names), "is the only voter of log"; !strings.Contains(got, want) {
		t.Fatalf("recovery: got %q, want %q", got, want)
	}
	for _, node := range lost {
		if err := os.RemoveAll(node.Settings.DataFolder); err != nil {
			t.Fatal(err)
		}
	}
	for _, node := range cluster.Controls {
		if err := cluster.Start(node); err != nil {
			t.Fatal(err)
		}
	}
	awaitAccepted(t, cluster.Controls, 1)
	awaitVoters(t, cluster.Controls, "c1", "c2", "c3")
	awaitAccepted(t, cluster.Controls, 2)
}
