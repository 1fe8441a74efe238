package framer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
)

// Guards against answers whose framing and end the logs name wrongly, so that a cut looks complete.
func TestEndsOfAnswersAreToldApart(t *testing.T) {
	reset := &net.OpError{
		Op:  "read",
		Err: os.NewSyscallError("read", syscall.ECONNRESET),
	}
	cases := map[string]struct {
		head string
		err  error
		want Receipt
	}{
		"length reached": {
			head: "Content-Length: 4\r\n",
			want: Receipt{Framing: Length, End: Complete},
		},
		"length not reached": {
			head: "Content-Length: 4\r\n",
			err:  io.ErrUnexpectedEOF,
			want: Receipt{Framing: Length, End: Truncated},
		},
		"last chunk": {
			head: "Transfer-Encoding: chunked\r\n",
			err:  io.EOF,
			want: Receipt{Framing: Chunked, End: Complete},
		},
		"no last chunk": {
			head: "Transfer-Encoding: chunked\r\n",
			err:  fmt.Errorf("read the answer: %w", io.ErrUnexpectedEOF),
			want: Receipt{Framing: Chunked, End: Truncated},
		},
		"no framing, closed": {
			err:  io.EOF,
			want: Receipt{Framing: CloseDelimited, End: Closed},
		},
		"no framing, reset": {
			err:  reset,
			want: Receipt{Framing: CloseDelimited, End: Reset},
		},
		"no framing, deadline": {
			err:  os.ErrDeadlineExceeded,
			want: Receipt{Framing: CloseDelimited, End: Silent},
		},
		"bytes that are no chunk": {
			head: "Transfer-Encoding: chunked\r\n",
			err:  http.ErrLineTooLong,
			want: Receipt{Framing: Chunked, End: Malformed},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			reader, writer := net.Pipe()
			go func() {
				_, _ = io.WriteString(writer, "HTTP/1.1 200 OK\r\n"+c.head+"\r\n")
				_ = writer.Close()
			}()
			response, err := http.ReadResponse(bufio.NewReader(reader), &http.Request{Method: http.MethodPost})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			framing := FramingOf(response)
			got := Receipt{Framing: framing, End: EndOf(framing, c.err)}
			if got != c.want {
				t.Errorf("receipt: got %+v, want %+v", got, c.want)
			}
		})
	}
}
