package gateway

import (
	"context"
	"net"
	"testing"

	"github.com/rosecroft/rosecroft/src/connector"
	"github.com/rosecroft/rosecroft/src/messages"
	"github.com/rosecroft/rosecroft/src/pathfinder"
	"github.com/rosecroft/rosecroft/src/relayer"
	"github.com/rosecroft/rosecroft/src/timekeeper"
	"github.com/rosecroft/rosecroft/src/tracker"
	"github.com/rosecroft/rosecroft/src/units"
)

// startProbedPeer starts an entry that reports whether it reaches upstreams.
func startProbedPeer(t *testing.T, response *messages.RelayProbeResponse) relayer.Peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &connector.Server{Listener: listener}
	connector.Handle(server, relayer.MethodProbe, func(context.Context, connector.Peer, *messages.RelayProbe) (*messages.RelayProbeResponse, error) {
		return response, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Run(ctx) }()
	return relayer.Peer{
		Name:    "peer",
		Address: listener.Addr().String(),
	}
}

// Guards against an answer without a length that looks complete although its upstream ended with it, because
// upstreams that end are taken for a partition of the entry.
func TestUpstreamHasEndedUnlessAnotherEntryReachesIt(t *testing.T) {
	cases := map[string]struct {
		// response is that of the only other entry, nil if there is none.
		response *messages.RelayProbeResponse
		want     bool
	}{
		"no other entry":               {want: true},
		"another entry reaches it":     {response: &messages.RelayProbeResponse{Reached: true}},
		"another entry does not":       {response: &messages.RelayProbeResponse{}, want: true},
		"another entry cannot tell":    {response: &messages.RelayProbeResponse{Refusal: messages.RelayRefusal_RELAY_REFUSAL_PARTITIONED}, want: true},
		"another entry knows it ended": {response: &messages.RelayProbeResponse{Refusal: messages.RelayRefusal_RELAY_REFUSAL_UNKNOWN_UPSTREAM}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newLimitedGateway(t, 0)
			upstream := &tracker.Upstream{Name: "u", Service: "s", Local: &tracker.LocalState{}}
			id := units.NewIncarnationID(upstream.Name, upstream.Incarnation)
			g.pathfinder.SetPresent(map[units.Service][]units.IncarnationID{"s": {id}})
			g.pathfinder.RecordDial(pathfinder.Dial{Service: "s", Upstream: id, StartedAt: timekeeper.Now(), Failed: true})
			if !g.pathfinder.IsPartitioned("s") {
				t.Fatal("partitioned: got false, want the only upstream taken for a partition")
			}
			if c.response != nil {
				g.sender.SetPeers([]relayer.Peer{startProbedPeer(t, c.response)})
			}
			if got := g.hasEnded(t.Context(), upstream); got != c.want {
				t.Errorf("has ended: got %t, want %t", got, c.want)
			}
		})
	}
}
