package keeper

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

const (
	frameHeader = 16
	maxFrame    = 256 << 20
	sealPayload = 8
	sealSize    = frameHeader + sealPayload
)

// frameKind says what a frame holds; it is covered by the checksum.
type frameKind uint32

const (
	kindHeader   frameKind = 0x72680001
	kindRecord   frameKind = 0x72680002
	kindSeal     frameKind = 0x72680003
	kindState    frameKind = 0x72680004
	kindSnapshot frameKind = 0x72680005
	kindIdentity frameKind = 0x72680006
)

// frame appends a message with its length, kind and checksum to buffer.
func frame(buffer []byte, kind frameKind, message proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	return framePayload(buffer, kind, payload), nil
}

func framePayload(buffer []byte, kind frameKind, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(kind))
	buffer = binary.LittleEndian.AppendUint64(buffer, checksum(buffer[start:], payload))
	return append(buffer, payload...)
}

func checksum(head, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(head)
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// unframe returns the first frame's kind, payload and size, or why there is none.
func unframe(content []byte) (kind frameKind, payload []byte, size int, reason string) {
	if len(content) < frameHeader {
		return 0, nil, 0, "a frame is cut short"
	}
	length := int(binary.LittleEndian.Uint32(content))
	if length > maxFrame {
		return 0, nil, 0, "a frame's length is impossible"
	}
	size = frameHeader + length
	if len(content) < size {
		return 0, nil, 0, "a frame is cut short"
	}
	payload = content[frameHeader:size]
	if checksum(content[:8], payload) != binary.LittleEndian.Uint64(content[8:]) {
		return 0, nil, 0, "a checksum does not match"
	}
	return frameKind(binary.LittleEndian.Uint32(content[4:])), payload, size, ""
}

// unframeMessage decodes a frame of one kind, or returns why it cannot.
func unframeMessage(content []byte, kind frameKind, message proto.Message) (size int, reason string) {
	found, payload, size, reason := unframe(content)
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

// seal appends a frame that names its own place in the file.
func seal(buffer []byte, offset int64) []byte {
	return framePayload(buffer, kindSeal, binary.LittleEndian.AppendUint64(nil, uint64(offset)))
}

// sealedBehind reports whether a seal stands anywhere in content, which begins at offset in its file.
func sealedBehind(content []byte, offset int64) bool {
	for i := 0; i+sealSize <= len(content); i++ {
		if frameKind(binary.LittleEndian.Uint32(content[i+4:])) != kindSeal {
			continue
		}
		kind, payload, _, reason := unframe(content[i : i+sealSize])
		if reason == "" && kind == kindSeal && len(payload) == sealPayload &&
			binary.LittleEndian.Uint64(payload) == uint64(offset)+uint64(i) {
			return true
		}
	}
	return false
}
