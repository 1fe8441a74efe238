package connector

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Method is the name of an RPC method, such as "log/message".
type Method string

// EncodeError is returned for a message that cannot be encoded: it says nothing about the process that it was meant for.
type EncodeError struct {
	Message protoreflect.Name
	Cause   error
}

// Error names the message and the cause.
func (e *EncodeError) Error() string { return fmt.Sprintf("encode %s: %v", e.Message, e.Cause) }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// encode returns a message in protobuf's binary form.
func encode(message proto.Message) ([]byte, error) {
	content, err := proto.Marshal(message)
	if err != nil {
		return nil, &EncodeError{
			Message: messageName(message),
			Cause:   err,
		}
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
