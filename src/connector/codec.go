package connector

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Method names one kind of message between processes, such as "log/message".
type Method string

// encode returns a message in protobuf's binary form.
func encode(message proto.Message) ([]byte, error) {
	content, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", nameOf(message), err)
	}
	return content, nil
}

// decode fills message from its encoded form; an unknown field is an error.
func decode(content []byte, message proto.Message) error {
	if err := proto.Unmarshal(content, message); err != nil {
		return fmt.Errorf("decode %s: %w", nameOf(message), err)
	}
	if field, found := unknownField(message.ProtoReflect()); found {
		return fmt.Errorf("decode %s: unknown field in %s; run the same version on every instance", nameOf(message), field)
	}
	return nil
}

func nameOf(message proto.Message) protoreflect.Name {
	return message.ProtoReflect().Descriptor().Name()
}

// unknownField returns the name of a part with a field that this version lacks.
// The library keeps such fields aside; a message that relies on one would be read
// in its old meaning.
func unknownField(message protoreflect.Message) (name protoreflect.Name, found bool) {
	if len(message.GetUnknown()) > 0 {
		return message.Descriptor().Name(), true
	}
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		name, found = unknownWithin(field, value)
		return !found
	})
	return name, found
}

func unknownWithin(field protoreflect.FieldDescriptor, value protoreflect.Value) (protoreflect.Name, bool) {
	switch {
	case field.Message() == nil || field.IsMap():
		return "", false
	case !field.IsList():
		return unknownField(value.Message())
	}
	for i := range value.List().Len() {
		if name, found := unknownField(value.List().Get(i).Message()); found {
			return name, true
		}
	}
	return "", false
}
