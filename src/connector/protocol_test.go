package connector

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

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

// frame returns an object and what is attached to it as it goes over a connection.
func frame(object string, t ticket, attached []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(object)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(attached)))
	b = binary.BigEndian.AppendUint64(b, uint64(t))
	return append(append(b, object...), attached...)
}

// While a fleet is upgraded, instances of two versions talk to each other. A
// message of another version, or with a field that this one does not know, must
// not be read in its old meaning; the sender learns what to do.
func TestOtherVersionsAreRefused(t *testing.T) {
	address := startServer(t)
	seven := encoded(t, &messages.Submission{Version: 7})
	// Field 100 stands in no message; the entry view has it one level down.
	foreign := []byte{0xa0, 0x06, 0x01}
	deep := encoded(t, &messages.LogMessage{
		Body: &messages.LogMessage_VoteRequest{
			VoteRequest: &messages.VoteRequest{},
		},
	})
	deep = append(deep[:len(deep)-1], byte(len(foreign)))
	deep = append(deep, foreign...)
	if err := decode(deep, &messages.LogMessage{}); err == nil || !strings.Contains(err.Error(), "unknown field in VoteRequest") {
		t.Errorf("unknown field one level down: got %v, want it refused", err)
	}
	cases := map[string]struct {
		request  string
		attached []byte
		want     string
		message  []byte
	}{
		"this version":   {request: `"params":5,"meta":{"protocol":2}`, attached: seven, want: `"result":1`, message: seven},
		"last version":   {request: `"params":5,"meta":{"protocol":1}`, attached: seven, want: "run the same version of rosecroft on every instance"},
		"next version":   {request: `"params":5,"meta":{"protocol":3}`, attached: seven, want: "run the same version of rosecroft on every instance"},
		"no version":     {request: `"params":5`, attached: seven, want: "the request has protocol version 0"},
		"odd version":    {request: `"params":5,"meta":{"protocol":"x"}`, attached: seven, want: "unreadable"},
		"unknown field":  {request: `"params":5,"meta":{"protocol":2}`, attached: foreign, want: "unknown field"},
		"not a message":  {request: `"params":5,"meta":{"protocol":2}`, attached: []byte{0xff}, want: "decode Submission"},
		"another form":   {request: `"params":{"version":"7"},"meta":{"protocol":2}`, attached: seven, want: "the message is not attached"},
		"other number":   {request: `"params":6,"meta":{"protocol":2}`, attached: seven, want: "no message is attached as number 6"},
		"no message":     {request: `"meta":{"protocol":2}`, want: "the message is empty"},
		"unknown method": {request: `"params":5,"meta":{"protocol":2},"method":"other"`, attached: seven, want: "is unknown; run the same version"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			object := `{"jsonrpc":"2.0","id":1,"method":"` + testMethod + `",` + c.request + "}"
			if _, err := conn.Write(frame(object, 5, c.attached)); err != nil {
				t.Fatal(err)
			}
			answers := newStream(conn)
			var answer json.RawMessage
			if err := answers.ReadObject(&answer); err != nil {
				t.Fatal(err)
			}
			got := strings.ReplaceAll(string(answer), "\u00a0", " ")
			if !strings.Contains(got, c.want) {
				t.Errorf("answer: got %s, want %q in it", got, c.want)
			}
			if got, want := answers.arrived[1], c.message; !bytes.Equal(got, want) {
				t.Errorf("message: got %x, want %x", got, want)
			}
		})
	}
}

// A process of an earlier version, or one that is no process of the system at all,
// connects and sends what is no frame. The connection must end; read as lengths, the
// bytes would have this process wait for gigabytes, or take their memory.
func TestWhatIsNoFrameEndsTheConnection(t *testing.T) {
	cases := map[string][]byte{
		"text":             []byte(`{"jsonrpc":"2.0","id":1,"method":"test/submit","params":""}`),
		"long object":      binary.BigEndian.AppendUint32(nil, mostObject+1),
		"long attachment":  binary.BigEndian.AppendUint32([]byte{0, 0, 0, 2}, mostAttachment+1),
		"no JSON":          frame("{]", 0, nil),
		"neither question": frame("{}", 0, nil),
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", startServer(t))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := conn.Write(append(sent, make([]byte, prefixSize)...)); err != nil {
				t.Fatal(err)
			}
			if got, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("read: got %d bytes and error %v, want the connection closed", got, err)
			}
		})
	}
}

// Calls of all sizes cross on one connection; each must get its own answer.
func TestAttachmentsReachTheirCalls(t *testing.T) {
	client := &Client{}
	t.Cleanup(client.Close)
	address := startServer(t)
	var calls sync.WaitGroup
	for _, size := range []int{0, 1, smallFrame - 1, smallFrame, smallFrame + 1, 1 << 20} {
		for range 4 {
			calls.Go(func() {
				want := &messages.Submission{Document: bytes.Repeat([]byte{1}, size), Version: uint64(size)}
				got := &messages.Submission{}
				if err := client.Call(t.Context(), address, testMethod, want, got); err != nil {
					t.Error(err)
				}
				if !proto.Equal(got, want) {
					t.Errorf("answer to %d bytes: got %d bytes of version %d", size, len(got.GetDocument()), got.GetVersion())
				}
			})
		}
	}
	calls.Wait()
	conn, err := client.conn(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	conn.stream.mu.Lock()
	defer conn.stream.mu.Unlock()
	if got := len(conn.stream.arrived) + len(conn.stream.leaving); got != 0 {
		t.Errorf("attachments kept: got %d, want none", got)
	}
}

func encoded(t testing.TB, message proto.Message) []byte {
	t.Helper()
	content, err := encode(message)
	if err != nil {
		t.Fatal(err)
	}
	return content
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
	for _, seed := range []string{"{}", "", "\x08\x01", "\xa0\x06\x01", "\xff", string(encoded(f, record)), strings.Repeat("\x00", 1000)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		message := &messages.LogMessage{}
		if err := decode(content, message); err != nil {
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
