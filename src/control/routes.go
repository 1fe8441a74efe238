package control

import (
	"context"
	"errors"
	"net/http"

	"github.com/emicklei/go-restful/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/admitter"
	"github.com/rosecroft/rosecroft/src/certifier"
	"github.com/rosecroft/rosecroft/src/configurator"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/parser"
	"github.com/rosecroft/rosecroft/src/units"
)

const (
	maxSubmissionBytes = 8 << 20
	jsonType           = "application/json"
	operatorHeader     = "Rosecroft-Operator"
)

func (c *Control) operatorRoutes() *restful.WebService {
	service := new(restful.WebService)
	service.Path("/v1")
	service.Route(service.PUT("/configuration").Consumes("application/yaml").To(c.putConfiguration))
	service.Route(service.GET("/status").To(c.getStatus))
	return service
}

func (c *Control) putConfiguration(request *restful.Request, response *restful.Response) {
	ctx, cancel := context.WithTimeout(request.Request.Context(), requestTimeout)
	defer cancel()
	document, err := admitter.ReadBody(request.Request, maxSubmissionBytes)
	if err != nil {
		admitter.CloseUnread(response, request.Request)
		_ = response.WriteError(admitter.StatusOf(err), err)
		return
	}
	configuration, err := parser.ParseConfiguration("configuration", document)
	if err != nil {
		writeMessage(response, http.StatusUnprocessableEntity, &messages.SubmissionResult{
			Outcome: messages.Outcome_OUTCOME_INVALID,
			Detail:  err.Error(),
		})
		return
	}
	result, err := c.submitAtLeader(ctx, &messages.Submission{
		Version:     uint64(configuration.Version),
		Operator:    operatorOf(request),
		Document:    document,
		ContentHash: configurator.Hash(document),
	})
	if err != nil {
		_ = response.WriteError(http.StatusServiceUnavailable, err)
		return
	}
	writeMessage(response, statusOf(result.GetOutcome()), result)
}

// operatorOf returns the operator's name, from the certificate if there is one and
// otherwise from the request header.
func operatorOf(request *restful.Request) string {
	identity, err := certifier.PeerIdentity(request.Request.TLS)
	if err != nil {
		return request.HeaderParameter(operatorHeader)
	}
	return identity.Name
}

func (c *Control) getStatus(request *restful.Request, response *restful.Response) {
	ctx, cancel := context.WithTimeout(request.Request.Context(), requestTimeout)
	defer cancel()
	status, err := c.leaderStatus(ctx)
	if err != nil {
		_ = response.WriteError(http.StatusServiceUnavailable, err)
		return
	}
	writeMessage(response, http.StatusOK, status)
}

// submitAtLeader submits at the leader, which is this instance or another.
func (c *Control) submitAtLeader(ctx context.Context, submission *messages.Submission) (*messages.SubmissionResult, error) {
	result, err := c.submitLocally(ctx, submission)
	address, isOther := c.otherLeaderAddress(err)
	if !isOther {
		return result, err
	}
	result = &messages.SubmissionResult{}
	return result, c.Client.Call(ctx, address, MethodSubmit, submission, result)
}

func (c *Control) leaderStatus(ctx context.Context) (*messages.Status, error) {
	status, err := c.localStatus(ctx)
	address, isOther := c.otherLeaderAddress(err)
	if !isOther {
		return status, err
	}
	status = &messages.Status{}
	return status, c.Client.Call(ctx, address, MethodStatus, &messages.StatusRequest{}, status)
}

// otherLeaderAddress returns the leader's address if err reports that another known
// instance leads.
func (c *Control) otherLeaderAddress(err error) (string, bool) {
	var notLeader *NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.Leader == "" || notLeader.Leader == c.Settings.Name {
		return "", false
	}
	return addressOf(c.Settings, notLeader.Leader), true
}

func addressOf(settings *parser.Settings, id units.Instance) string {
	for _, control := range settings.Control {
		if control.Name == id {
			return control.Address
		}
	}
	return ""
}

func statusOf(outcome messages.Outcome) int {
	if outcome == messages.Outcome_OUTCOME_ACCEPTED {
		return http.StatusOK
	}
	return http.StatusConflict
}

func writeMessage(response *restful.Response, status int, message proto.Message) {
	content, err := protojson.Marshal(message)
	if err != nil {
		_ = response.WriteError(http.StatusInternalServerError, err)
		return
	}
	response.AddHeader("Content-Type", jsonType)
	response.WriteHeader(status)
	_, _ = response.Write(content)
}
