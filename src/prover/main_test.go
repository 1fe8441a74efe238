package prover

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/stager"
	"github.com/rosecroft/rosecroft/src/units"
)

// awaitTimeout bounds every wait for a condition; no test asserts on speed.
const awaitTimeout = 30 * time.Second

// logTailBytes is how many bytes from the end of each process's log a failed test prints.
const logTailBytes = 2000

// programs is the folder that contains the built programs.
var programs string

// parallelTests holds the tests that were already marked as parallel, since a second
// call of T.Parallel panics.
var parallelTests sync.Map

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "rosecroft-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	programs = folder
	build := exec.Command("go", "build", "-o", folder+"/", "../..", "../cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs:", err)
		return 1
	}
	return m.Run()
}

// newCluster returns a cluster whose processes end with the test. It marks the test as
// parallel, since a test with a cluster spends most of its time waiting.
func newCluster(t testing.TB) *stager.Cluster {
	t.Helper()
	_, marked := parallelTests.LoadOrStore(t, true)
	if test, runs := t.(*testing.T); runs && !marked {
		test.Parallel()
	}
	cluster := &stager.Cluster{
		Folder:  t.TempDir(),
		Program: filepath.Join(programs, "rosecroft"),
		Standin: filepath.Join(programs, "standin"),
	}
	t.Cleanup(cluster.Stop)
	t.Cleanup(func() { showLogs(t, cluster.Folder) })
	return cluster
}

// showLogs prints the end of each process's log when the test has failed.
func showLogs(t testing.TB, folder string) {
	t.Helper()
	if !t.Failed() {
		return
	}
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, file := range files {
		content, _ := os.ReadFile(file)
		t.Logf("%s ends with:\n%s", filepath.Base(file), content[max(0, len(content)-logTailBytes):])
	}
}

// startFleet starts a fleet across four data centres and waits until it is healthy.
func startFleet(t testing.TB, cluster *stager.Cluster, controls, entries int) {
	t.Helper()
	dataCentres := []units.DataCentre{"dc-a", "dc-b", "dc-c", "dc-d"}
	if err := cluster.StartFleet(controls, entries, dataCentres); err != nil {
		t.Fatal(err)
	}
	if err := cluster.AwaitHealthy(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// apply submits a configuration file and waits until it is in force and every
// running entry is ready.
func apply(t testing.TB, cluster *stager.Cluster, file string) {
	t.Helper()
	flags, err := cluster.TLSFlags(certifier.Identity{
		Role: certifier.Operator,
		Name: "alice",
	})
	if err != nil {
		t.Fatal(err)
	}
	arguments := append([]string{
		"apply", file, "--control", cluster.ControlURLs(), "--wait", awaitTimeout.String(),
	}, flags...)
	command := exec.CommandContext(t.Context(), cluster.Program, arguments...)
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("apply %s: %v: %s", file, err, output)
	}
	if err := cluster.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// await waits until the condition holds, and fails the test after awaitTimeout.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: got no, want yes within %s", what, awaitTimeout)
		case <-ticker.C:
		}
	}
}

// getStatusCode returns the status code of a GET request, 0 if there was no answer.
func getStatusCode(ctx context.Context, url string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
