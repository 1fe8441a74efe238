package connector

import (
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Method names one kind of message between processes, such as "log/message".
type Method string

// encode returns the JSON form of a message.
func encode(message proto.Message) (*json.RawMessage, error) {
	content, err := protojson.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", message.ProtoReflect().Descriptor().Name(), err)
	}
	raw := json.RawMessage(content)
	return &raw, nil
}

// decode fills message from its JSON form; an unknown field is an error.
func decode(content *json.RawMessage, message proto.Message) error {
	if content == nil {
		return fmt.Errorf("decode %s: the message is empty", message.ProtoReflect().Descriptor().Name())
	}
	if err := protojson.Unmarshal(*content, message); err != nil {
		return fmt.Errorf("decode %s: %w", message.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}
