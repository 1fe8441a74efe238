package persister

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

const (
	frameHeaderSize = 16
	maxPayloadSize  = 256 << 20
	sealPayloadSize = 8
	sealSize        = frameHeaderSize + sealPayloadSize
)

// frameKind is the type of a frame's content; it is covered by the checksum.
type frameKind uint32

const (
	kindHeader   frameKind = 0x72680001
	kindRecord   frameKind = 0x72680002
	kindSeal     frameKind = 0x72680003
	kindState    frameKind = 0x72680004
	kindSnapshot frameKind = 0x72680005
	kindIdentity frameKind = 0x72680006
)

// appendFrame appends a message to buffer, preceded by its length, kind and checksum.
func appendFrame(buffer []byte, kind frameKind, message proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	return appendPayload(buffer, kind, payload), nil
}

func appendPayload(buffer []byte, kind frameKind, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(kind))
	buffer = binary.LittleEndian.AppendUint64(buffer, checksum(buffer[start:], payload))
	return append(buffer, payload...)
}

func checksum(header, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(header)
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// readFrame returns the first frame's kind, payload and size, or the reason why
// content does not start with a valid frame.
func readFrame(content []byte) (kind frameKind, payload []byte, size int, reason string) {
	if len(content) < frameHeaderSize {
		return 0, nil, 0, "a frame is cut short"
	}
	length := int(binary.LittleEndian.Uint32(content))
	if length > maxPayloadSize {
		return 0, nil, 0, "a frame's length is impossible"
	}
	size = frameHeaderSize + length
	if len(content) < size {
		return 0, nil, 0, "a frame is cut short"
	}
	payload = content[frameHeaderSize:size]
	if checksum(content[:8], payload) != binary.LittleEndian.Uint64(content[8:]) {
		return 0, nil, 0, "a checksum does not match"
	}
	return frameKind(binary.LittleEndian.Uint32(content[4:])), payload, size, ""
}

// readMessage decodes the first frame, which must be of the given kind, and returns
// its size, or the reason why it cannot be decoded.
func readMessage(content []byte, kind frameKind, message proto.Message) (size int, reason string) {
	found, payload, size, reason := readFrame(content)
	if reason != "" {
		return 0, reason
	}
	if found != kind {
		return 0, "a frame is of another kind"
	}
	if proto.Unmarshal(payload, message) != nil {
		return 0, "a frame cannot be decoded"
	}
	return size, ""
}

// appendSeal appends a seal frame, which holds its own offset in the file.
func appendSeal(buffer []byte, offset int64) []byte {
	return appendPayload(buffer, kindSeal, binary.LittleEndian.AppendUint64(nil, uint64(offset)))
}

// hasSeal reports whether there is a valid seal anywhere in content, which starts at
// offset in its file.
func hasSeal(content []byte, offset int64) bool {
	for i := 0; i+sealSize <= len(content); i++ {
		if frameKind(binary.LittleEndian.Uint32(content[i+4:])) != kindSeal {
			continue
		}
		kind, payload, _, reason := readFrame(content[i : i+sealSize])
		if reason == "" && kind == kindSeal && len(payload) == sealPayloadSize &&
			binary.LittleEndian.Uint64(payload) == uint64(offset)+uint64(i) {
			return true
		}
	}
	return false
}
