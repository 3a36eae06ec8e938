package configuration

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// DifferenceKind is the way in which an object differs.
type DifferenceKind string

// The kinds of difference.
const (
	Added   DifferenceKind = "added"
	Changed DifferenceKind = "changed"
	Removed DifferenceKind = "removed"
)

// Difference is one object that differs between two configurations.
type Difference struct {
	Kind DifferenceKind `json:"difference"`
	// Object is the kind of the object, for example "back end".
	Object string `json:"object"`
	// Name is empty for the policy.
	Name string `json:"name,omitempty"`
	// Fields lists the differing fields of a changed object.
	Fields []FieldDifference `json:"fields,omitempty"`
}

// FieldDifference is one field that differs. The values are readable text; an empty
// one means that the field is not set.
type FieldDifference struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// String returns the field with its old and new value.
func (d FieldDifference) String() string {
	return fmt.Sprintf("%s: %s -> %s", d.Field, orNone(d.Old), orNone(d.New))
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// Diff lists the differences between two configurations in a readable form. It
// ignores their numbers.
func Diff(before, after *Index) []Difference {
	var differences []Difference
	walkPairs(before.entries, after.entries, func(old, new *entry) {
		switch {
		case new == nil:
			differences = append(differences, difference(Removed, old.key, nil))
		case old == nil:
			differences = append(differences, difference(Added, new.key, nil))
		case old.hash != new.hash:
			fields := fieldDifferences("", messageOf(old.object), messageOf(new.object))
			differences = append(differences, difference(Changed, old.key, fields))
		}
	})
	return differences
}

func difference(kind DifferenceKind, key Key, fields []FieldDifference) Difference {
	return Difference{Kind: kind, Object: KindName(key.Kind), Name: key.Name, Fields: fields}
}

// messageOf returns the message in the object's oneof.
func messageOf(object *rockwindpb.ConfigurationObject) protoreflect.Message {
	message := object.ProtoReflect()
	union := message.Descriptor().Oneofs().Get(0)
	return message.Get(message.WhichOneof(union)).Message()
}

// fieldDifferences compares the fields of two messages of the same type, including
// those of nested messages.
func fieldDifferences(prefix string, old, new protoreflect.Message) []FieldDifference {
	var differences []FieldDifference
	fields := old.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		name := prefix + string(field.Name())
		if isNestedMessage(field) {
			below := fieldDifferences(name+".", old.Get(field).Message(), new.Get(field).Message())
			differences = append(differences, below...)
			continue
		}
		before, after := valueText(old, field), valueText(new, field)
		if before != after {
			differences = append(differences, FieldDifference{Field: name, Old: before, New: after})
		}
	}
	return differences
}

func isNestedMessage(field protoreflect.FieldDescriptor) bool {
	return field.Message() != nil && !field.IsList() && field.Message().FullName() != "google.protobuf.Duration"
}

func valueText(message protoreflect.Message, field protoreflect.FieldDescriptor) string {
	if !message.Has(field) {
		return ""
	}
	value := message.Get(field)
	switch {
	case field.IsList():
		return listText(value.List(), field)
	case field.Message() != nil:
		return messageText(value.Message().Interface())
	case field.Enum() != nil:
		named := field.Enum().Values().ByNumber(value.Enum())
		if named == nil {
			return fmt.Sprint(value.Enum())
		}
		return strings.ToLower(strings.TrimPrefix(string(named.Name()), enumPrefix(field.Enum())))
	default:
		return fmt.Sprint(value.Interface())
	}
}

func listText(list protoreflect.List, field protoreflect.FieldDescriptor) string {
	texts := make([]string, 0, list.Len())
	for i := range list.Len() {
		if field.Message() != nil {
			texts = append(texts, messageText(list.Get(i).Message().Interface()))
			continue
		}
		texts = append(texts, fmt.Sprint(list.Get(i).Interface()))
	}
	return "[" + strings.Join(texts, ", ") + "]"
}

func messageText(message proto.Message) string {
	if duration, ok := message.(*durationpb.Duration); ok {
		return duration.AsDuration().String()
	}
	encoded, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	if err != nil {
		return err.Error()
	}
	return string(slices.DeleteFunc(encoded, func(c byte) bool { return c == '"' || c == ' ' }))
}
