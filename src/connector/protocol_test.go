package connector

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rosecroft/rosecroft/src/messages"
)

const testMethod = "test/submit"

// startServer runs a server of one method and returns its address.
func startServer(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &Server{Listener: listener}
	Handle(server, testMethod, func(_ context.Context, _ Peer, submission *messages.Submission) (*messages.Submission, error) {
		return submission, nil
	})
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(ended)
		_ = server.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return listener.Addr().String()
}

// While a fleet is upgraded, instances of two versions talk to each other. A
// message of another version, or with a field that this one does not know, must
// not be read in its old meaning; the sender learns what to do.
func TestOtherVersionsAreRefused(t *testing.T) {
	address := startServer(t)
	seven := encodedText(t, &messages.Submission{Version: 7})
	// Field 100 stands in no message; the entry view has it one level down.
	foreign := []byte{0xa0, 0x06, 0x01}
	deep, err := proto.Marshal(&messages.LogMessage{
		Body: &messages.LogMessage_VoteRequest{
			VoteRequest: &messages.VoteRequest{},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	deep = append(deep[:len(deep)-1], byte(len(foreign)))
	deep = append(deep, foreign...)
	if err := decode(rawOf(t, deep), &messages.LogMessage{}); err == nil || !strings.Contains(err.Error(), "unknown field in VoteRequest") {
		t.Errorf("unknown field one level down: got %v, want it refused", err)
	}
	cases := map[string]struct {
		request string
		want    string
	}{
		"this version":   {request: `"params":` + seven + `,"meta":{"protocol":1}`, want: `"result":` + seven},
		"next version":   {request: `"params":` + seven + `,"meta":{"protocol":2}`, want: "run the same version of rosecroft on every instance"},
		"no version":     {request: `"params":` + seven, want: "the request has protocol version 0"},
		"odd version":    {request: `"params":` + seven + `,"meta":{"protocol":"x"}`, want: "unreadable"},
		"unknown field":  {request: `"params":` + string(*rawOf(t, foreign)) + `,"meta":{"protocol":1}`, want: "unknown field"},
		"another form":   {request: `"params":{"version":"7"},"meta":{"protocol":1}`, want: "decode Submission"},
		"no message":     {request: `"meta":{"protocol":1}`, want: "the message is empty"},
		"unknown method": {request: `"params":"","meta":{"protocol":1},"method":"other"`, want: "is unknown; run the same version"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			request := `{"jsonrpc":"2.0","id":1,"method":"` + testMethod + `",` + c.request + "}"
			if _, err := conn.Write([]byte(request)); err != nil {
				t.Fatal(err)
			}
			var answer json.RawMessage
			if err := json.NewDecoder(conn).Decode(&answer); err != nil {
				t.Fatal(err)
			}
			got := strings.ReplaceAll(string(answer), "\u00a0", " ")
			if !strings.Contains(got, c.want) {
				t.Errorf("answer: got %s, want %q in it", got, c.want)
			}
		})
	}
}

func encodedText(t testing.TB, message proto.Message) string {
	t.Helper()
	raw, err := encode(message)
	if err != nil {
		t.Fatal(err)
	}
	return string(*raw)
}

func rawOf(t testing.TB, binary []byte) *json.RawMessage {
	t.Helper()
	quoted, err := json.Marshal(binary)
	if err != nil {
		t.Fatal(err)
	}
	raw := json.RawMessage(quoted)
	return &raw
}

// FuzzMessage wants no message between processes to end the one that reads it,
// and each that is read to be written back the same.
func FuzzMessage(f *testing.F) {
	record := &messages.LogMessage{
		Term: 1,
		Body: &messages.LogMessage_AppendRequest{
			AppendRequest: &messages.AppendRequest{
				Records: []*messages.LogRecord{{Term: 1, Index: 1}},
			},
		},
	}
	for _, seed := range []string{
		"{}", "", "null", "[]", `""`, `"a"`, `"!"`, `"CAE="`, `{"term":"1"}`, `"oAYB"`, encodedText(f, record),
		`"` + strings.Repeat("A", 1000) + `"`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		raw := json.RawMessage(content)
		message := &messages.LogMessage{}
		if err := decode(&raw, message); err != nil {
			return
		}
		encoded, err := encode(message)
		if err != nil {
			t.Fatalf("encode: got %v, want none", err)
		}
		again := &messages.LogMessage{}
		if err := decode(encoded, again); err != nil {
			t.Fatalf("decode: got %v, want none", err)
		}
		if got, want := again.String(), message.String(); got != want {
			t.Errorf("message: got %s, want %s", got, want)
		}
	})
}
