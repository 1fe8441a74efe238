package connector

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Method is the name of an RPC method, such as "log/message".
type Method string

// encode returns a message in protobuf's binary form.
func encode(message proto.Message) ([]byte, error) {
	content, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", messageName(message), err)
	}
	return content, nil
}

// decode fills message from its encoded form; an unknown field is an error.
func decode(content []byte, message proto.Message) error {
	if err := proto.Unmarshal(content, message); err != nil {
		return fmt.Errorf("decode %s: %w", messageName(message), err)
	}
	if field, found := findUnknownField(message.ProtoReflect()); found {
		return fmt.Errorf("decode %s: unknown field in %s; run the same version on every instance", messageName(message), field)
	}
	return nil
}

func messageName(message proto.Message) protoreflect.Name {
	return message.ProtoReflect().Descriptor().Name()
}

// findUnknownField returns the name of a message, the given one or one nested in it, that
// has a field unknown to this version. The protobuf library accepts and sets aside such
// fields, so a message that relies on one would be misread with its old meaning.
func findUnknownField(message protoreflect.Message) (name protoreflect.Name, found bool) {
	if len(message.GetUnknown()) > 0 {
		return message.Descriptor().Name(), true
	}
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		name, found = findUnknownFieldIn(field, value)
		return !found
	})
	return name, found
}

func findUnknownFieldIn(field protoreflect.FieldDescriptor, value protoreflect.Value) (protoreflect.Name, bool) {
	switch {
	case field.Message() == nil || field.IsMap():
		return "", false
	case !field.IsList():
		return findUnknownField(value.Message())
	}
	for i := range value.List().Len() {
		if name, found := findUnknownField(value.List().Get(i).Message()); found {
			return name, true
		}
	}
	return "", false
}
