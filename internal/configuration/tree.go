package configuration

import (
	"strings"

	yaml "go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// maximumQuoted bounds how much of a wrong name is repeated in a message.
const maximumQuoted = 40

// checkStructure walks the tree along the schema. It reports unknown and
// repeated fields, anchors and aliases, and completes short names of enum
// values. Values are left to the decoder.
func checkStructure(node *yaml.Node, descriptor protoreflect.MessageDescriptor, problems *problemList) {
	if hasReference(node, problems) || node.Kind != yaml.MappingNode {
		return
	}
	seen := make(map[protoreflect.FieldNumber]bool)
	kept := node.Content[:0]
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		field := checkField(key, descriptor, seen, problems)
		if field == nil {
			continue
		}
		checkValue(value, field, problems)
		kept = append(kept, key, value)
	}
	node.Content = kept
}

// checkField returns the field that a key names, or nil after it reported why
// there is none.
func checkField(key *yaml.Node, descriptor protoreflect.MessageDescriptor, seen map[protoreflect.FieldNumber]bool, problems *problemList) protoreflect.FieldDescriptor {
	if hasReference(key, problems) {
		return nil
	}
	field := findField(key.Value, descriptor)
	if field == nil || key.Kind != yaml.ScalarNode {
		problems.addf(positionOf(key), "remove it, or use one of: "+fieldNames(descriptor),
			"unknown field %q of %s", quotable(key.Value), describe(descriptor))
		return nil
	}
	if seen[field.Number()] {
		problems.addf(positionOf(key), "keep one of them", "the field %q is given twice", field.Name())
		return nil
	}
	seen[field.Number()] = true
	return field
}

func checkValue(value *yaml.Node, field protoreflect.FieldDescriptor, problems *problemList) {
	if hasReference(value, problems) {
		return
	}
	if field.IsList() && value.Kind == yaml.SequenceNode {
		for _, element := range value.Content {
			checkElement(element, field, problems)
		}
		return
	}
	checkElement(value, field, problems)
}

func checkElement(value *yaml.Node, field protoreflect.FieldDescriptor, problems *problemList) {
	switch {
	case field.Message() != nil:
		checkStructure(value, field.Message(), problems)
	case hasReference(value, problems):
	case field.Enum() != nil:
		completeEnum(value, field.Enum())
	}
}

// hasReference reports anchors and aliases: a few lines of them can stand for
// gigabytes, and they hide what a file says.
func hasReference(node *yaml.Node, problems *problemList) bool {
	if node.Kind != yaml.AliasNode && node.Anchor == "" {
		return false
	}
	problems.add(positionOf(node), "YAML anchors and aliases are not accepted", "write the value out")
	return true
}

// completeEnum lets a file say "throughput" for OBJECTIVE_THROUGHPUT.
func completeEnum(node *yaml.Node, enum protoreflect.EnumDescriptor) {
	wanted := strings.ToUpper(strings.ReplaceAll(node.Value, "-", "_"))
	for i := range enum.Values().Len() {
		name := string(enum.Values().Get(i).Name())
		if name == enumPrefix(enum)+wanted {
			node.Value = name
			return
		}
	}
}

// enumPrefix is the common prefix of an enum's values, taken from the one with
// the number zero.
func enumPrefix(enum protoreflect.EnumDescriptor) string {
	return strings.TrimSuffix(string(enum.Values().Get(0).Name()), "UNSPECIFIED")
}

func findField(name string, descriptor protoreflect.MessageDescriptor) protoreflect.FieldDescriptor {
	if field := descriptor.Fields().ByTextName(name); field != nil {
		return field
	}
	return descriptor.Fields().ByJSONName(name)
}

func fieldNames(descriptor protoreflect.MessageDescriptor) string {
	names := make([]string, 0, descriptor.Fields().Len())
	for i := range descriptor.Fields().Len() {
		names = append(names, string(descriptor.Fields().Get(i).Name()))
	}
	return strings.Join(names, ", ")
}

// describe is the message's name as people say it: "back end" for BackEnd.
func describe(descriptor protoreflect.MessageDescriptor) string {
	var text strings.Builder
	for i, letter := range string(descriptor.Name()) {
		if i > 0 && letter >= 'A' && letter <= 'Z' {
			text.WriteByte(' ')
		}
		text.WriteRune(letter)
	}
	return strings.ToLower(text.String())
}

func quotable(text string) string {
	runes := []rune(text)
	if len(runes) <= maximumQuoted {
		return text
	}
	return string(runes[:maximumQuoted]) + "..."
}

func positionOf(node *yaml.Node) Position {
	return Position{Line: node.Line, Column: node.Column}
}

// Document finds the position of a field in a file.
type Document struct {
	root *yaml.Node
}

// Step is one step of a path: a field, and for a repeated field the element.
type Step struct {
	// Field is the name in the schema, for example "back_ends".
	Field string
	// Element counts from zero; it is below zero for a field that is not
	// repeated, or for the list as a whole.
	Element int
}

// Position returns where the value at the path stands, or where the closest
// value around it stands when the file does not give it.
func (d *Document) Position(path ...Step) Position {
	node := d.root
	for _, step := range path {
		next := child(node, step)
		if next == nil {
			return positionOf(node)
		}
		node = next
	}
	position := positionOf(node)
	position.given = true
	return position
}

func child(node *yaml.Node, step Step) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return nil
	}
	value := valueOf(node, step.Field)
	if value == nil || step.Element < 0 {
		return value
	}
	if value.Kind != yaml.SequenceNode || step.Element >= len(value.Content) {
		return nil
	}
	return value.Content[step.Element]
}

func valueOf(node *yaml.Node, field string) *yaml.Node {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if sameField(node.Content[i].Value, field) {
			return node.Content[i+1]
		}
	}
	return nil
}

// sameField compares a key of the file, in snake case or in lower camel case,
// with a name of the schema.
func sameField(key, field string) bool {
	if key == field {
		return true
	}
	return strings.EqualFold(key, strings.ReplaceAll(field, "_", "")) && !strings.Contains(key, "_")
}
