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
	changes          = 200
	changesPause     = 25 * time.Millisecond
	changeEntries    = 8
	leaderLosses     = 5
	histogramMost    = int64(time.Minute)
	histogramDigits  = 3
	inForceTimeout   = 30 * time.Second
	inForcePoll      = 2 * time.Millisecond
	submitTimeout    = 2 * time.Second
	fewVoters        = 3
	manyVoters       = 5
	operatorType     = "application/yaml"
	leaderLostPauses = 2 * time.Second
)

// operator submits changes over HTTP, as the command line does.
type operator struct {
	stage    *stager.Stage
	document string
	version  uint64
}

func newOperator(d *deployer.Deployment, stage *stager.Stage) (*operator, error) {
	content, err := os.ReadFile(d.Configuration)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	return &operator{
		stage:    stage,
		document: string(content),
		version:  1,
	}, nil
}

// change submits the next version until it is accepted, and returns how long that took.
func (o *operator) change(ctx context.Context) (time.Duration, error) {
	o.version++
	document := strings.Replace(o.document, "version: 1", fmt.Sprintf("version: %d", o.version), 1)
	began := time.Now()
	for {
		for _, control := range o.stage.Controls {
			if control.Running() && put(ctx, control.OperatorURL(), document) {
				return time.Since(began), nil
			}
		}
		if time.Since(began) > inForceTimeout {
			return 0, fmt.Errorf("version %d was not accepted within %s", o.version, inForceTimeout)
		}
		if err := ctx.Err(); err != nil {
			return 0, err
		}
	}
}

// awaitInForce returns once the status says that the version is in force everywhere.
func (o *operator) awaitInForce(ctx context.Context) error {
	began := time.Now()
	for {
		for _, control := range o.stage.Controls {
			if control.Running() && o.everywhere(ctx, control.OperatorURL()) {
				return nil
			}
		}
		if time.Since(began) > inForceTimeout {
			return fmt.Errorf("version %d was not in force within %s", o.version, inForceTimeout)
		}
		time.Sleep(inForcePoll)
	}
}

func (o *operator) everywhere(ctx context.Context, url string) bool {
	status := &messages.Status{}
	content, ok := ask(ctx, http.MethodGet, url+"/v1/status", "")
	if !ok || protojson.Unmarshal(content, status) != nil {
		return false
	}
	return status.GetAcceptedVersion() >= o.version && status.GetEntries() > 0 && status.GetInForce() == status.GetEntries()
}

func put(ctx context.Context, url, document string) bool {
	_, ok := ask(ctx, http.MethodPut, url+"/v1/configuration", document)
	return ok
}

func ask(ctx context.Context, method, url, body string) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, false
	}
	request.Header.Set("Content-Type", operatorType)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, false
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return content, err == nil && response.StatusCode == http.StatusOK
}

// Changes measures how soon a change is accepted and in force, and how soon
// the next is after the leader is killed.
func (b *Bench) Changes(ctx context.Context) (*Result, error) {
	result := b.result("changes", fmt.Sprintf("Changes of configuration with %d entries on loopback: submit to accepted, and to in force everywhere as the status tells; a killed leader to the next accepted change.", changeEntries))
	for _, voters := range []int{fewVoters, manyVoters} {
		if err := b.changes(ctx, result, voters); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func (b *Bench) changes(ctx context.Context, result *Result, voters int) error {
	stage, remove, err := b.stage()
	if err != nil {
		return err
	}
	defer remove()
	d := b.deployment("hearthline")
	d.Entries = changeEntries
	d.Controls = voters
	d.Pools[0].Count = 1
	d.Pools[1].Count = 1
	if _, err := d.Start(ctx, stage); err != nil {
		return err
	}
	o, err := newOperator(d, stage)
	if err != nil {
		return err
	}
	accepted := hdrhistogram.New(1, histogramMost, histogramDigits)
	inForce := hdrhistogram.New(1, histogramMost, histogramDigits)
	count := changes
	if b.Quick {
		count /= 4
	}
	for range count {
		began := time.Now()
		took, err := o.change(ctx)
		if err != nil {
			return err
		}
		_ = accepted.RecordValue(int64(took))
		if err := o.awaitInForce(ctx); err != nil {
			return err
		}
		_ = inForce.RecordValue(int64(time.Since(began)))
		time.Sleep(changesPause)
	}
	name := fmt.Sprintf("%d voters: ", voters)
	result.Add(name+"submit to accepted", quantiles(accepted), fmt.Sprintf("%d changes", count), "")
	result.Add(name+"submit to in force", quantiles(inForce), fmt.Sprintf("%d changes", count), "p99 at most 1s")
	return b.leaderLosses(ctx, result, name, o)
}

// leaderLosses kills the leader again and again and measures the time to the next accepted change.
func (b *Bench) leaderLosses(ctx context.Context, result *Result, name string, o *operator) error {
	gaps := hdrhistogram.New(1, histogramMost, histogramDigits)
	for range leaderLosses {
		leader, err := o.leader(ctx)
		if err != nil {
			return err
		}
		leader.Kill()
		took, err := o.change(ctx)
		if err != nil {
			return err
		}
		_ = gaps.RecordValue(int64(took))
		if err := o.stage.Start(leader); err != nil {
			return err
		}
		if err := o.stage.AwaitHealthy(ctx); err != nil {
			return err
		}
		time.Sleep(leaderLostPauses)
	}
	result.Add(name+"leader killed to next accepted change", fmt.Sprintf("p50 %s, max %s", short(at(gaps, 50)), short(time.Duration(gaps.Max()))),
		fmt.Sprintf("%d kills", leaderLosses), "at most 2s")
	return nil
}

// leader returns the control node that leads.
func (o *operator) leader(ctx context.Context) (*stager.Node, error) {
	began := time.Now()
	for time.Since(began) < inForceTimeout {
		for _, control := range o.stage.Controls {
			content, ok := ask(ctx, http.MethodGet, control.OperatorURL()+"/v1/status", "")
			status := &messages.Status{}
			if !ok || protojson.Unmarshal(content, status) != nil {
				continue
			}
			for _, node := range o.stage.Controls {
				if string(node.Settings.Name) == status.GetLeader() && node.Running() {
					return node, nil
				}
			}
		}
	}
	return nil, fmt.Errorf("no leader within %s", inForceTimeout)
}
