package connector

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rosecroft/rosecroft/src/capper"
)

const (
	// frameHeaderSize is the size of the header before each object, in bytes: the lengths
	// of the object and of its attachment, and the attachment's id.
	frameHeaderSize = 16
	// maxObjectBytes and maxAttachmentBytes bound the contents of one frame. An object holds
	// a method and an id, or an error; an attachment may be a snapshot of the log.
	maxObjectBytes     = 64 << 10
	maxAttachmentBytes = 256 << 20
	// maxUntaken bounds the attachments of one connection that no request or response has asked for yet. A leader
	// may have as many requests of one connection waiting while it is short of processor time.
	maxUntaken = 4096
	// smallFrameBytes is the capacity up to which the write buffer is reused for the next
	// frame, and the size of the largest attachment that is copied to it.
	smallFrameBytes = 64 << 10
)

// attachmentID refers to an attachment in an object's params or result. Each end of a
// connection numbers the attachments that it sends.
type attachmentID uint64

// stream reads and writes JSON-RPC objects with their messages attached in binary form.
//
// Within the object, a message would have to be quoted, and would be scanned several times
// on its way. For a leader that answers hundreds of entries, that would be most of the cost
// of a request.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	bounds Bounds

	mu       sync.Mutex
	lastID   attachmentID
	unsent   map[attachmentID][]byte
	received map[attachmentID]attachment
	// untaken is the size of the received attachments.
	untaken int64
	// spare is a handled message whose buffer serves the next one.
	spare  attachment
	closed bool
	// lacksRoom is set once a message was not read because all messages together leave no room for it.
	lacksRoom   atomic.Bool
	writeMu     sync.Mutex
	writeBuffer []byte
}

// Bounds bounds what is read from other processes of the system.
type Bounds struct {
	// MaxMessageBytes is the greatest size of one message, 0 for the protocol's own bound.
	MaxMessageBytes int64
	// Capper bounds all messages of the process together until they are handled, and reports those that exceed a
	// bound; it may be nil.
	Capper *capper.Capper
}

func (b Bounds) maxMessage() int64 {
	if b.MaxMessageBytes <= 0 {
		return maxAttachmentBytes
	}
	return min(b.MaxMessageBytes, maxAttachmentBytes)
}

// alone returns bounds by which each message counts by itself.
func (b Bounds) alone() Bounds {
	if b.Capper != nil {
		b.Capper = &capper.Capper{
			Log:   b.Capper.Log,
			Scope: b.Capper.Scope,
		}
	}
	return b
}

// attachment is a received message.
type attachment struct {
	content []byte
	hold    *capper.Hold
}

func newStream(conn net.Conn, bounds Bounds) *stream {
	return &stream{
		conn:     conn,
		reader:   bufio.NewReader(conn),
		bounds:   bounds,
		unsent:   make(map[attachmentID][]byte),
		received: make(map[attachmentID]attachment),
	}
}

// attach stores an encoded message until the object with the returned id is written.
func (s *stream) attach(content []byte) attachmentID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.unsent[s.lastID] = content
	return s.lastID
}

// takeReceived removes and returns the received attachment whose id an object holds. Its hold is released once the
// message is handled.
func (s *stream) takeReceived(raw *json.RawMessage) (attachment, error) {
	if raw == nil {
		return attachment{}, fmt.Errorf("the message is empty")
	}
	var id attachmentID
	if err := json.Unmarshal(*raw, &id); err != nil {
		return attachment{}, fmt.Errorf("the message is not attached: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	taken, found := s.received[id]
	if !found {
		return attachment{}, fmt.Errorf("no message is attached as number %d", id)
	}
	delete(s.received, id)
	s.untaken -= int64(len(taken.content))
	return taken, nil
}

// attachmentReference is the part of an object that holds the id of its attachment.
type attachmentReference struct {
	Params json.RawMessage `json:"params"`
	Result json.RawMessage `json:"result"`
}

// takeUnsent removes and returns the attachment of an object that is about to be written.
func (s *stream) takeUnsent(object []byte) (attachmentID, []byte) {
	var reference attachmentReference
	var id attachmentID
	if json.Unmarshal(object, &reference) != nil {
		return 0, nil
	}
	raw := reference.Params
	if raw == nil {
		raw = reference.Result
	}
	// An object without a message, such as an error, has no attachment.
	if json.Unmarshal(raw, &id) != nil {
		return 0, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	content := s.unsent[id]
	delete(s.unsent, id)
	return id, content
}

// WriteObject sends an object and its attachment, in one write unless the attachment is large: copying it would cost
// more than a second write.
func (s *stream) WriteObject(object any) error {
	content, err := json.Marshal(object)
	if err != nil {
		return fmt.Errorf("encode a JSON-RPC object: %w", err)
	}
	id, attachment := s.takeUnsent(content)
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	b := s.writeBuffer[:0]
	b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(attachment)))
	b = binary.BigEndian.AppendUint64(b, uint64(id))
	b = append(b, content...)
	isSmall := len(attachment) <= smallFrameBytes
	if isSmall {
		b = append(b, attachment...)
	}
	if cap(b) <= smallFrameBytes {
		s.writeBuffer = b
	}
	_, err = s.conn.Write(b)
	if err != nil || isSmall {
		return err
	}
	_, err = s.conn.Write(attachment)
	return err
}

// ReadObject reads the next object and stores its attachment for takeReceived. An error closes the connection.
func (s *stream) ReadObject(object any) error {
	err := s.readObject(object)
	if err != nil {
		s.lacksRoom.Store(capper.IsTotal(err))
		s.bounds.Capper.Report(remoteName(s.conn), err)
	}
	return err
}

func remoteName(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

func (s *stream) readObject(object any) error {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return err
	}
	objectLength := binary.BigEndian.Uint32(header[0:])
	attachmentLength := binary.BigEndian.Uint32(header[4:])
	id := attachmentID(binary.BigEndian.Uint64(header[8:]))
	if objectLength > maxObjectBytes || attachmentLength > maxAttachmentBytes {
		return fmt.Errorf("a frame header announces an object of %d and an attachment of %d bytes; run the same version of rosecroft on every instance", objectLength, attachmentLength)
	}
	content := make([]byte, objectLength)
	if _, err := io.ReadFull(s.reader, content); err != nil {
		return err
	}
	if id != 0 {
		if err := s.readAttachment(id, attachmentLength); err != nil {
			return err
		}
	}
	return json.Unmarshal(content, object)
}

// readAttachment reads and stores an attachment. The buffer grows with the data that
// arrives, so that a length alone does not cause an allocation of that size.
func (s *stream) readAttachment(id attachmentID, length uint32) error {
	if err := s.checkUntaken(id); err != nil {
		return err
	}
	spare := s.takeSpare()
	hold := spare.hold
	content, err := capper.ReadAll(capper.Source{
		Body:   io.LimitReader(s.reader, int64(length)),
		Kind:   capper.Message,
		Length: int64(length),
		Limit:  s.bounds.maxMessage(),
		Buffer: spare.content,
	}, hold)
	if err == nil && len(content) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		hold.Release()
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		hold.Release()
		return net.ErrClosed
	}
	s.received[id] = attachment{
		content: content,
		hold:    hold,
	}
	s.untaken += int64(len(content))
	return nil
}

// takeSpare removes and returns the spare buffer, with the account for the next message.
func (s *stream) takeSpare() attachment {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.spare
	s.spare = attachment{}
	if taken.hold == nil {
		taken.hold = s.bounds.Capper.NewHold()
	}
	return taken
}

// reuse keeps the buffer of a message that was handled for the next one, until dropSpare is called.
func (s *stream) reuse(handled attachment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.spare.content != nil {
		handled.hold.Release()
		return
	}
	s.spare = handled
}

func (s *stream) dropSpare() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spare.hold.Release()
	s.spare = attachment{}
}

// checkUntaken returns an error for a process that sends attachments which no object refers to.
func (s *stream) checkUntaken(id attachmentID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.received[id]; found {
		return fmt.Errorf("two messages are attached as number %d; run the same version of rosecroft on every instance", id)
	}
	if limit := s.bounds.maxMessage(); len(s.received) >= maxUntaken || s.untaken > limit {
		return &capper.ExceededError{
			Kind:  capper.Message,
			Limit: limit,
		}
	}
	return nil
}

// Close closes the connection and forgets the messages that were not handled.
func (s *stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for id, left := range s.received {
		left.hold.Release()
		delete(s.received, id)
	}
	s.spare.hold.Release()
	s.spare = attachment{}
	return s.conn.Close()
}
