package prover

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/rosecroft/rosecroft/src/entry"
	"github.com/rosecroft/rosecroft/src/stager"
	"github.com/rosecroft/rosecroft/src/standin"
	"github.com/rosecroft/rosecroft/src/units"
)

// cloudSettings configures a platform with three data centres at different prices.
// 32 slots must remain when the largest data centre is lost, which takes three
// instances of 16.
const cloudSettings = `
fleet:
  cloud: %s
  weight-store: {bytes-per-second: 2000000, loads-at-once: 2}
  machine-classes: [{name: small, slots: 16}]
  model-versions: [{version: "2", bytes: 1000000}]
  data-centres:
    - {name: dc-a, region: r, offers: [{class: small, price: 0.3, reclaims-per-hour: 0.1}]}
    - {name: dc-b, region: r, offers: [{class: small, price: 0.4, reclaims-per-hour: 0.1}]}
    - {name: dc-c, region: r, offers: [{class: small, price: 0.5, reclaims-per-hour: 0.1}]}
`

// The fleet purchases instances while its leader is killed; then the instances of a
// data centre are reclaimed, which refuses replacements. Each purchase must be made
// once, the replacements must come from the other data centres, and the weight store
// must never have to refuse a load.
func TestPurchasesSurviveLeaderLossAndReclaim(t *testing.T) {
	cluster := newCluster(t)
	startFleet(t, cluster, 3, 2)
	cloud, err := cluster.StartCloud("--notice", "8s")
	if err != nil {
		t.Fatal(err)
	}
	await(t, "the platform", func() bool { return getStatusCode(t.Context(), cloud.URL+"/faults/counts") == http.StatusOK })
	apply(t, cluster, writeOrderConfiguration(t, "2", 8, 32, fmt.Sprintf(cloudSettings, cloud.URL)))
	await(t, "the first launch", func() bool { return cloudCounts(t, cloud).Launched > 0 })
	findLeader(t, cluster).Kill()
	await(t, "three engines in service", func() bool { return len(enginesInService(t, cluster)) == 3 })
	if got, want := cloudCounts(t, cloud).Launched, 3; got != want {
		t.Errorf("instances launched over two leaders: got %d, want %d", got, want)
	}
	sendPut(t, cloud.URL+"/faults/refusals?data-centre=dc-a")
	sendPut(t, cloud.URL+"/faults/reclaims?data-centre=dc-a")
	await(t, "capacity without the reclaimed data centre", func() bool {
		serving := enginesInService(t, cluster)
		return serving["dc-a"] == 0 && serving["dc-b"] >= 2 && serving["dc-c"] >= 2
	})
	if got, want := cloudCounts(t, cloud).LoadsRefused, 0; got != want {
		t.Errorf("loads that the weight store refused: got %d, want %d", got, want)
	}
}

// enginesInService counts the engines that serve a model, by data centre.
func enginesInService(t *testing.T, cluster *stager.Cluster) map[units.DataCentre]int {
	t.Helper()
	serving := make(map[units.DataCentre]int)
	for _, upstream := range entryDump(t, cluster.Entries[0]).Upstreams {
		if isServing(upstream) {
			serving[upstream.DataCentre]++
		}
	}
	return serving
}

func isServing(u entry.UpstreamDump) bool {
	return u.ModelVersion != "" && u.Loading == "" && !u.Leaving
}

func cloudCounts(t *testing.T, cloud *stager.Upstream) *standin.CloudCounts {
	t.Helper()
	answer := &standin.CloudCounts{}
	getJSON(t, cloud.URL+"/faults/counts", answer)
	return answer
}

func sendPut(t *testing.T, url string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}
