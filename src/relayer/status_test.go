package relayer

import (
	"net/http"
	"testing"

	"github.com/rosecroft/rosecroft/src/dispatcher"
	"github.com/rosecroft/rosecroft/src/messages"
)

// Guards against an answer of another entry whose status is none, and which the server of this one cannot write.
func TestStatusesThatAreNoneDoNotPassTheHop(t *testing.T) {
	cases := map[string]struct {
		status int32
		want   dispatcher.ResultKind
	}{
		"none":     {status: 0, want: dispatcher.OutcomeUnknown},
		"negative": {status: -1, want: dispatcher.OutcomeUnknown},
		"a switch": {status: http.StatusSwitchingProtocols, want: dispatcher.OutcomeUnknown},
		"beyond":   {status: 600, want: dispatcher.OutcomeUnknown},
		"one":      {status: http.StatusOK, want: dispatcher.Answered},
		"failed":   {status: http.StatusInternalServerError, want: dispatcher.Answered},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			result := decodeResult(Peer{Name: "e2"}, &messages.RelayEnd{
				Result: resultKinds[dispatcher.Answered],
				Answer: &messages.StoredAnswer{Status: c.status},
			})
			if result.Kind != c.want || (result.Answer != nil) != (c.want == dispatcher.Answered) {
				t.Errorf("result: got %v (%v), want %v", result.Kind, result.Err, c.want)
			}
		})
	}
}
