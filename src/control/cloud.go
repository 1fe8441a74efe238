package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rosecroft/rosecroft/src/buyer"
	"github.com/rosecroft/rosecroft/src/capper"
	"github.com/rosecroft/rosecroft/src/messages"
)

const (
	cloudTimeout        = 2 * time.Second
	cloudQueueSize      = 256
	cloudWorkers        = 8
	maxCloudAnswerBytes = 8 << 20
)

// cloudAnswered carries the platform's answer to a launch or its list of instances.
type cloudAnswered struct {
	answer buyer.Event
}

func (cloudAnswered) event() {}

// cloudRequest is one request to the platform.
type cloudRequest struct {
	method   string
	address  string
	body     *launchRequest
	purchase *messages.Purchase
}

// launchRequest and cloudInstance follow the platform's protocol, docs/PLATFORM.md.
type launchRequest struct {
	Token        string  `json:"token"`
	DataCentre   string  `json:"data_centre"`
	MachineClass string  `json:"machine_class"`
	OnDemand     bool    `json:"on_demand"`
	Price        float64 `json:"price"`
	Service      string  `json:"service"`
	Model        string  `json:"model"`
}

type cloudInstance struct {
	ID      string `json:"id"`
	Token   string `json:"token"`
	Noticed bool   `json:"noticed"`
}

// enqueue queues a request and drops it if the queue is full; the buyer retries later.
func (d *purchaser) enqueue(request cloudRequest) {
	select {
	case d.queue <- request:
	default:
	}
}

// run starts the workers that make requests until ctx ends.
func (d *purchaser) run(ctx context.Context) {
	for range cloudWorkers {
		go d.runWorker(ctx)
	}
}

func (d *purchaser) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-d.queue:
			answer, err := d.request(ctx, request)
			if err != nil {
				d.capper.Report("platform", err)
				d.log.Warn().Err(err).Msg("cloud-unanswered")
				continue
			}
			select {
			case d.events <- cloudAnswered{answer: answer}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// request makes one request; an error means that its outcome is unknown.
func (d *purchaser) request(ctx context.Context, r cloudRequest) (buyer.Event, error) {
	// The list is dated by the time before the request: an instance that was
	// launched later may be missing from it.
	requestedAt := time.Now()
	content, err := json.Marshal(r.body)
	if err != nil {
		return nil, fmt.Errorf("form a request to the cloud: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, r.method, r.address, bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("form a request to the cloud: %w", err)
	}
	request.Header.Set("Content-Type", jsonType)
	response, err := d.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send a request to the cloud: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := capper.ReadAll(capper.Source{
		Body:   response.Body,
		Kind:   capper.Body,
		Length: response.ContentLength,
		Limit:  maxCloudAnswerBytes,
	}, nil)
	if err != nil {
		return nil, fmt.Errorf("read the cloud's answer: %w", err)
	}
	switch r.method {
	case http.MethodGet:
		return parseInstanceList(requestedAt, response.StatusCode, answer)
	case http.MethodPost:
		return parseLaunchAnswer(r.purchase.GetToken(), response.StatusCode, answer)
	}
	return nil, nil
}

// parseInstanceList decodes the platform's list of instances.
func parseInstanceList(requestedAt time.Time, status int, answer []byte) (buyer.Event, error) {
	list := struct {
		Instances []cloudInstance `json:"instances"`
	}{}
	if status != http.StatusOK {
		return nil, fmt.Errorf("the cloud did not list its instances (status %d); check fleet.cloud", status)
	}
	if err := json.Unmarshal(answer, &list); err != nil {
		return nil, fmt.Errorf("decode the cloud's instances: %w; check fleet.cloud", err)
	}
	event := buyer.InstancesListed{
		At: requestedAt,
	}
	for _, instance := range list.Instances {
		event.Instances = append(event.Instances, buyer.Instance{
			ID:             instance.ID,
			Token:          instance.Token,
			ReclaimNoticed: instance.Noticed,
		})
	}
	return event, nil
}

// parseLaunchAnswer decodes the answer to a launch. Only status 409 is a refusal.
// After any other failure the instance may have been launched, so the launch is retried.
func parseLaunchAnswer(token string, status int, answer []byte) (buyer.Event, error) {
	if status == http.StatusConflict {
		return buyer.LaunchAnswered{
			Token:  token,
			Reason: string(answer),
		}, nil
	}
	instance := cloudInstance{}
	if err := json.Unmarshal(answer, &instance); err != nil {
		return nil, fmt.Errorf("decode the cloud's answer to a launch: %w; check fleet.cloud", err)
	}
	if instance.ID == "" {
		return nil, fmt.Errorf("the cloud's answer to a launch names no instance (status %d); check fleet.cloud", status)
	}
	return buyer.LaunchAnswered{
		Token:    token,
		Instance: instance.ID,
	}, nil
}
