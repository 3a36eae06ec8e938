package configuration

import (
	"strings"

	yaml "go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// maximumAbbreviatedRunes is the length to which names are cut in messages.
const maximumAbbreviatedRunes = 40

// checkStructure checks a YAML node against a message of the schema. It reports
// anchors, aliases, and unknown and repeated fields, which it removes, and expands
// short names of enum values. The decoder checks all other values.
func checkStructure(node *yaml.Node, descriptor protoreflect.MessageDescriptor, problems *problemList) {
	if rejectAnchorOrAlias(node, problems) || node.Kind != yaml.MappingNode {
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

// checkField returns the field that a key names. It returns nil if it reported a
// problem.
func checkField(key *yaml.Node, descriptor protoreflect.MessageDescriptor, seen map[protoreflect.FieldNumber]bool, problems *problemList) protoreflect.FieldDescriptor {
	if rejectAnchorOrAlias(key, problems) {
		return nil
	}
	field := findField(key.Value, descriptor)
	if field == nil || key.Kind != yaml.ScalarNode {
		problems.addf(positionOf(key), "remove it, or use one of: "+fieldNames(descriptor),
			"unknown field %q of %s", abbreviate(key.Value), messageName(descriptor))
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
	if rejectAnchorOrAlias(value, problems) {
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
	case rejectAnchorOrAlias(value, problems):
	case field.Enum() != nil:
		expandEnumName(value, field.Enum())
	}
}

// rejectAnchorOrAlias reports an anchor or alias: a few lines of them can expand to
// gigabytes, and they make a file hard to review.
func rejectAnchorOrAlias(node *yaml.Node, problems *problemList) bool {
	if node.Kind != yaml.AliasNode && node.Anchor == "" {
		return false
	}
	problems.add(positionOf(node), "YAML anchors and aliases are not accepted", "write the value out")
	return true
}

// expandEnumName expands a short name, for example "throughput" to
// OBJECTIVE_THROUGHPUT.
func expandEnumName(node *yaml.Node, enum protoreflect.EnumDescriptor) {
	wanted := strings.ToUpper(strings.ReplaceAll(node.Value, "-", "_"))
	for i := range enum.Values().Len() {
		name := string(enum.Values().Get(i).Name())
		if name == enumPrefix(enum)+wanted {
			node.Value = name
			return
		}
	}
}

// enumPrefix returns the common prefix of an enum's values, derived from its
// UNSPECIFIED value.
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

// messageName returns the name of a message type for problems: "back end" for
// BackEnd.
func messageName(descriptor protoreflect.MessageDescriptor) string {
	var text strings.Builder
	for i, letter := range string(descriptor.Name()) {
		if i > 0 && letter >= 'A' && letter <= 'Z' {
			text.WriteByte(' ')
		}
		text.WriteRune(letter)
	}
	return strings.ToLower(text.String())
}

func abbreviate(text string) string {
	runes := []rune(text)
	if len(runes) <= maximumAbbreviatedRunes {
		return text
	}
	return string(runes[:maximumAbbreviatedRunes]) + "..."
}

func positionOf(node *yaml.Node) Position {
	return Position{Line: node.Line, Column: node.Column}
}

// Document is a parsed file, used to find the positions of fields.
type Document struct {
	root *yaml.Node
}

// Step is one step of a path to a value: a field, and possibly an element of it.
type Step struct {
	// Field is the name in the schema, for example "back_ends".
	Field string
	// Element is the 0-based index in a repeated field, or negative for the whole
	// field.
	Element int
}

// Position returns the position of the value at a path, or of the innermost
// enclosing value if the file does not contain it.
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

// sameField reports whether a key of the file, in snake case or lower camel case,
// names a field of the schema.
func sameField(key, field string) bool {
	if key == field {
		return true
	}
	return strings.EqualFold(key, strings.ReplaceAll(field, "_", "")) && !strings.Contains(key, "_")
}
