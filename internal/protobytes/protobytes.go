// Package protobytes encodes and decodes Protocol Buffers messages without copying their large byte fields. The
// encoding is the usual one: each side may be replaced by package proto.
package protobytes

import (
	"bytes"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Parts is an encoded message in consecutive parts. Large byte fields are parts of their own, which are shared
// with the message.
type Parts [][]byte

// Size returns the size of the encoded message.
func (p Parts) Size() int {
	size := 0
	for _, part := range p {
		size += len(part)
	}
	return size
}

// Reader returns a reader of the encoded message.
func (p Parts) Reader() io.Reader {
	readers := make([]io.Reader, len(p))
	for position, part := range p {
		readers[position] = bytes.NewReader(part)
	}
	return io.MultiReader(readers...)
}

// Marshal encodes a message. Byte fields of at least minimum bytes are not copied, also those of nested messages;
// the caller must not modify them while it uses the result. The size of the result is proto.Size of the message.
func Marshal(message proto.Message, minimum int) (Parts, error) {
	e := &encoder{minimum: max(1, minimum)}
	if err := e.append(message.ProtoReflect()); err != nil {
		return nil, err
	}
	return append(e.done, e.current), nil
}

type encoder struct {
	minimum int
	done    Parts
	current []byte
}

// append encodes a message. A message that is smaller than the minimum has no large field. Fields are encoded in
// the order small ones, byte fields, messages; decoders accept any order.
func (e *encoder) append(message protoreflect.Message) error {
	var err error
	if proto.Size(message.Interface()) < e.minimum {
		e.current, err = proto.MarshalOptions{}.MarshalAppend(e.current, message.Interface())
		return err
	}
	rest := message.New()
	rest.SetUnknown(message.GetUnknown())
	var separate []protoreflect.FieldDescriptor
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if handled(field) {
			separate = append(separate, field)
		} else {
			rest.Set(field, value)
		}
		return true
	})
	if e.current, err = (proto.MarshalOptions{}).MarshalAppend(e.current, rest.Interface()); err != nil {
		return err
	}
	slices.SortFunc(separate, func(a, b protoreflect.FieldDescriptor) int { return int(a.Number()) - int(b.Number()) })
	for _, field := range separate {
		if err := e.appendField(field, message.Get(field)); err != nil {
			return err
		}
	}
	return nil
}

func (e *encoder) appendField(field protoreflect.FieldDescriptor, value protoreflect.Value) error {
	if !field.IsList() {
		return e.appendValue(field, value)
	}
	for position := range value.List().Len() {
		if err := e.appendValue(field, value.List().Get(position)); err != nil {
			return err
		}
	}
	return nil
}

func (e *encoder) appendValue(field protoreflect.FieldDescriptor, value protoreflect.Value) error {
	e.current = protowire.AppendTag(e.current, field.Number(), protowire.BytesType)
	if field.Kind() == protoreflect.MessageKind {
		e.current = protowire.AppendVarint(e.current, uint64(proto.Size(value.Message().Interface())))
		return e.append(value.Message())
	}
	content := value.Bytes()
	e.current = protowire.AppendVarint(e.current, uint64(len(content)))
	if len(content) < e.minimum {
		e.current = append(e.current, content...)
		return nil
	}
	e.done = append(e.done, e.current, content)
	e.current = nil
	return nil
}

// handled reports whether this package encodes and decodes a field itself: messages and bytes, but not maps.
func handled(field protoreflect.FieldDescriptor) bool {
	return field.Kind() == protoreflect.BytesKind || field.Kind() == protoreflect.MessageKind && !field.IsMap()
}

// Unmarshal decodes a message. Byte fields of at least minimum bytes, also those of nested messages, share memory
// with encoded, which must not be modified afterwards and stays in memory as long as one of them.
func Unmarshal(encoded []byte, message proto.Message, minimum int) error {
	proto.Reset(message)
	return unmarshal(encoded, message.ProtoReflect(), minimum)
}

func unmarshal(encoded []byte, message protoreflect.Message, minimum int) error {
	if len(encoded) < minimum {
		return proto.UnmarshalOptions{Merge: true}.Unmarshal(encoded, message.Interface())
	}
	var rest []byte
	for len(encoded) > 0 {
		number, kind, tagSize := protowire.ConsumeTag(encoded)
		if tagSize < 0 {
			return errors.Wrap(protowire.ParseError(tagSize), "decode field tag")
		}
		size := protowire.ConsumeFieldValue(number, kind, encoded[tagSize:])
		if size < 0 {
			return errors.Wrap(protowire.ParseError(size), "decode field")
		}
		field := message.Descriptor().Fields().ByNumber(number)
		if field == nil || kind != protowire.BytesType || !handled(field) {
			rest = append(rest, encoded[:tagSize+size]...)
			encoded = encoded[tagSize+size:]
			continue
		}
		content, _ := protowire.ConsumeBytes(encoded[tagSize:])
		if err := unmarshalField(content, message, field, minimum); err != nil {
			return err
		}
		encoded = encoded[tagSize+size:]
	}
	return proto.UnmarshalOptions{Merge: true}.Unmarshal(rest, message.Interface())
}

func unmarshalField(content []byte, message protoreflect.Message, field protoreflect.FieldDescriptor, minimum int) error {
	switch {
	case field.Kind() == protoreflect.MessageKind && field.IsList():
		return unmarshal(content, message.Mutable(field).List().AppendMutable().Message(), minimum)
	case field.Kind() == protoreflect.MessageKind:
		return unmarshal(content, message.Mutable(field).Message(), minimum)
	}
	if len(content) < minimum {
		content = append(make([]byte, 0, len(content)), content...)
	}
	// Without spare capacity, appending to the field does not overwrite what follows it.
	value := protoreflect.ValueOfBytes(slices.Clip(content))
	if field.IsList() {
		message.Mutable(field).List().Append(value)
	} else {
		message.Set(field, value)
	}
	return nil
}
