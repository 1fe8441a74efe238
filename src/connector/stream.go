package connector

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
)

const (
	// prefixSize is the size of what goes before each object: the lengths of the object
	// and of its attachment, and the attachment's ticket.
	prefixSize = 16
	// mostObject and mostAttachment bound what one frame may hold, in bytes. An object
	// has a method and an id or an error; an attachment may be a snapshot of the log.
	mostObject     = 64 << 10
	mostAttachment = 256 << 20
	// smallFrame is the largest buffer that is kept for the next frame, in bytes.
	smallFrame = 64 << 10
)

// ticket stands in an object for its attachment. Each end of a connection counts its own.
type ticket uint64

// stream carries JSON-RPC objects with their messages attached in binary form.
//
// Within the object, a message would be quoted and read through some many times on its
// way. For a leader that answers hundreds of entries, that is most of what they cost.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader

	mu       sync.Mutex
	last     ticket
	leaving  map[ticket][]byte
	arrived  map[ticket][]byte
	writing  sync.Mutex
	outgoing []byte
}

func newStream(conn net.Conn) *stream {
	return &stream{
		conn:    conn,
		reader:  bufio.NewReader(conn),
		leaving: make(map[ticket][]byte),
		arrived: make(map[ticket][]byte),
	}
}

// attach keeps an encoded message for the object that will hold its ticket.
func (s *stream) attach(content []byte) ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.leaving[s.last] = content
	return s.last
}

// take returns the attachment that arrived under the ticket in an object.
func (s *stream) take(raw *json.RawMessage) ([]byte, error) {
	if raw == nil {
		return nil, fmt.Errorf("the message is empty")
	}
	var t ticket
	if err := json.Unmarshal(*raw, &t); err != nil {
		return nil, fmt.Errorf("the message is not attached: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	content, found := s.arrived[t]
	if !found {
		return nil, fmt.Errorf("no message is attached as number %d", t)
	}
	delete(s.arrived, t)
	return content, nil
}

// carrier is the part of an object that names its attachment.
type carrier struct {
	Params json.RawMessage `json:"params"`
	Result json.RawMessage `json:"result"`
}

// attachment returns what goes with an object that is about to leave.
func (s *stream) attachment(object []byte) (ticket, []byte) {
	var c carrier
	var t ticket
	if json.Unmarshal(object, &c) != nil {
		return 0, nil
	}
	raw := c.Params
	if raw == nil {
		raw = c.Result
	}
	// An object without a message, such as a refusal, has no ticket.
	if json.Unmarshal(raw, &t) != nil {
		return 0, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	content := s.leaving[t]
	delete(s.leaving, t)
	return t, content
}

// WriteObject sends an object and its attachment in one write.
func (s *stream) WriteObject(object any) error {
	content, err := json.Marshal(object)
	if err != nil {
		return fmt.Errorf("encode an object: %w", err)
	}
	t, attached := s.attachment(content)
	s.writing.Lock()
	defer s.writing.Unlock()
	b := s.outgoing[:0]
	b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(attached)))
	b = binary.BigEndian.AppendUint64(b, uint64(t))
	b = append(b, content...)
	b = append(b, attached...)
	if cap(b) <= smallFrame {
		s.outgoing = b
	}
	_, err = s.conn.Write(b)
	return err
}

// ReadObject reads the next object and keeps its attachment until it is taken.
func (s *stream) ReadObject(object any) error {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(s.reader, prefix[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(prefix[0:])
	attached := binary.BigEndian.Uint32(prefix[4:])
	t := ticket(binary.BigEndian.Uint64(prefix[8:]))
	if length > mostObject || attached > mostAttachment {
		return fmt.Errorf("a frame announces %d and %d bytes; run the same version of rosecroft on every instance", length, attached)
	}
	content := make([]byte, length)
	if _, err := io.ReadFull(s.reader, content); err != nil {
		return err
	}
	if t != 0 {
		if err := s.keep(t, attached); err != nil {
			return err
		}
	}
	return json.Unmarshal(content, object)
}

// keep reads an attachment. It grows with what arrives: a length alone must not take
// the memory that it announces.
func (s *stream) keep(t ticket, length uint32) error {
	content := make([]byte, min(length, smallFrame))
	if _, err := io.ReadFull(s.reader, content); err != nil {
		return err
	}
	rest, err := io.ReadAll(io.LimitReader(s.reader, int64(length)-int64(len(content))))
	if err != nil {
		return err
	}
	content = append(content, rest...)
	if len(content) < int(length) {
		return io.ErrUnexpectedEOF
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived[t] = content
	return nil
}

// Close ends the connection.
func (s *stream) Close() error { return s.conn.Close() }
