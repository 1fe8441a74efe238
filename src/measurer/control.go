package measurer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosecroft/rosecroft/src/deployer"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/stager"
)

const (
	changeCount              = 200
	changePause              = 25 * time.Millisecond
	changeEntries            = 8
	leaderKills              = 5
	histogramMax             = int64(time.Minute)
	histogramDigits          = 3
	inForceTimeout           = 30 * time.Second
	inForcePollInterval      = 2 * time.Millisecond
	requestTimeout           = 2 * time.Second
	fewVoters                = 3
	manyVoters               = 5
	configurationContentType = "application/yaml"
	leaderLossPause          = 2 * time.Second
)

// operatorClient submits configuration versions over HTTP, as the command line does.
type operatorClient struct {
	cluster  *stager.Cluster
	document string
	version  uint64
}

func newOperatorClient(d *deployer.Deployment, cluster *stager.Cluster) (*operatorClient, error) {
	content, err := os.ReadFile(d.Configuration)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	return &operatorClient{
		cluster:  cluster,
		document: string(content),
		version:  1,
	}, nil
}

// submitNextVersion submits the next configuration version to the control instances
// in turn until one accepts it, and returns how long that took.
func (o *operatorClient) submitNextVersion(ctx context.Context) (time.Duration, error) {
	o.version++
	document := strings.Replace(o.document, "version: 1", fmt.Sprintf("version: %d", o.version), 1)
	start := time.Now()
	for {
		for _, control := range o.cluster.Controls {
			if control.Running() && putConfiguration(ctx, control.OperatorURL(), document) {
				return time.Since(start), nil
			}
		}
		if time.Since(start) > inForceTimeout {
			return 0, fmt.Errorf("version %d was not accepted within %s", o.version, inForceTimeout)
		}
		if err := ctx.Err(); err != nil {
			return 0, err
		}
	}
}

// awaitInForce waits until a control instance's status reports the version as in force on all entries.
func (o *operatorClient) awaitInForce(ctx context.Context) error {
	start := time.Now()
	for {
		for _, control := range o.cluster.Controls {
			if control.Running() && o.isInForceEverywhere(ctx, control.OperatorURL()) {
				return nil
			}
		}
		if time.Since(start) > inForceTimeout {
			return fmt.Errorf("version %d was not in force within %s", o.version, inForceTimeout)
		}
		time.Sleep(inForcePollInterval)
	}
}

func (o *operatorClient) isInForceEverywhere(ctx context.Context, url string) bool {
	status := &messages.Status{}
	content, ok := sendRequest(ctx, http.MethodGet, url+"/v1/status", "")
	if !ok || protojson.Unmarshal(content, status) != nil {
		return false
	}
	return status.GetAcceptedVersion() >= o.version && status.GetEntries() > 0 && status.GetInForce() == status.GetEntries()
}

func putConfiguration(ctx context.Context, url, document string) bool {
	_, ok := sendRequest(ctx, http.MethodPut, url+"/v1/configuration", document)
	return ok
}

func sendRequest(ctx context.Context, method, url, body string) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, false
	}
	request.Header.Set("Content-Type", configurationContentType)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, false
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return content, err == nil && response.StatusCode == http.StatusOK
}

// ConfigurationChanges measures the time from submitting a configuration change until
// it is accepted and until it is in force, and the time from killing the leader until
// the next change is accepted.
func (b *Bench) ConfigurationChanges(ctx context.Context) (*Result, error) {
	result := b.newResult("changes", fmt.Sprintf("Changes of configuration with %d entries on loopback: submit to accepted, and to in force everywhere as the status tells; a killed leader to the next accepted change.", changeEntries))
	for _, voters := range []int{fewVoters, manyVoters} {
		if err := b.measureChanges(ctx, result, voters); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func (b *Bench) measureChanges(ctx context.Context, result *Result, voters int) error {
	cluster, cleanup, err := b.newCluster()
	if err != nil {
		return err
	}
	defer cleanup()
	d := b.deployment("hearthline")
	d.Entries = changeEntries
	d.Controls = voters
	d.Pools[0].Count = 1
	d.Pools[1].Count = 1
	if _, err := d.Start(ctx, cluster); err != nil {
		return err
	}
	o, err := newOperatorClient(d, cluster)
	if err != nil {
		return err
	}
	accepted := hdrhistogram.New(1, histogramMax, histogramDigits)
	inForce := hdrhistogram.New(1, histogramMax, histogramDigits)
	count := changeCount
	if b.Quick {
		count /= 4
	}
	for range count {
		start := time.Now()
		elapsed, err := o.submitNextVersion(ctx)
		if err != nil {
			return err
		}
		_ = accepted.RecordValue(int64(elapsed))
		if err := o.awaitInForce(ctx); err != nil {
			return err
		}
		_ = inForce.RecordValue(int64(time.Since(start)))
		time.Sleep(changePause)
	}
	name := fmt.Sprintf("%d voters: ", voters)
	result.Add(name+"submit to accepted", formatPercentiles(accepted), fmt.Sprintf("%d changes", count), "")
	result.Add(name+"submit to in force", formatPercentiles(inForce), fmt.Sprintf("%d changes", count), "p99 at most 1s")
	return b.measureLeaderLosses(ctx, result, name, o)
}

// measureLeaderLosses kills the leader leaderKills times and measures the time until the next change is accepted.
func (b *Bench) measureLeaderLosses(ctx context.Context, result *Result, name string, o *operatorClient) error {
	recoveryTimes := hdrhistogram.New(1, histogramMax, histogramDigits)
	for range leaderKills {
		leader, err := o.findLeader(ctx)
		if err != nil {
			return err
		}
		leader.Kill()
		elapsed, err := o.submitNextVersion(ctx)
		if err != nil {
			return err
		}
		_ = recoveryTimes.RecordValue(int64(elapsed))
		if err := o.cluster.Start(leader); err != nil {
			return err
		}
		if err := o.cluster.AwaitHealthy(ctx); err != nil {
			return err
		}
		time.Sleep(leaderLossPause)
	}
	result.Add(name+"leader killed to next accepted change", fmt.Sprintf("p50 %s, max %s", formatDuration(durationAt(recoveryTimes, 50)), formatDuration(time.Duration(recoveryTimes.Max()))),
		fmt.Sprintf("%d kills", leaderKills), "at most 2s")
	return nil
}

// findLeader returns the running control node that a control instance's status names as leader.
func (o *operatorClient) findLeader(ctx context.Context) (*stager.Node, error) {
	start := time.Now()
	for time.Since(start) < inForceTimeout {
		for _, control := range o.cluster.Controls {
			content, ok := sendRequest(ctx, http.MethodGet, control.OperatorURL()+"/v1/status", "")
			status := &messages.Status{}
			if !ok || protojson.Unmarshal(content, status) != nil {
				continue
			}
			for _, node := range o.cluster.Controls {
				if string(node.Settings.Name) == status.GetLeader() && node.Running() {
					return node, nil
				}
			}
		}
	}
	return nil, fmt.Errorf("no leader within %s", inForceTimeout)
}
