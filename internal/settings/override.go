package settings

import (
	"os"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/configuration"
)

// environmentPrefix is the prefix of all environment variables.
const environmentPrefix = "ROCKWIND_"

const durationName = protoreflect.FullName("google.protobuf.Duration")

// fieldPath is the path to a possibly nested field, by the names in the schema.
type fieldPath []string

func parsePath(text string) fieldPath {
	return strings.Split(strings.ReplaceAll(text, "-", "_"), ".")
}

// String joins the names with dots.
func (p fieldPath) String() string {
	return strings.Join(p, ".")
}

func (p fieldPath) environmentVariable() string {
	return environmentPrefix + strings.ToUpper(strings.Join(p, "_"))
}

func (p fieldPath) steps() []configuration.Step {
	steps := make([]configuration.Step, 0, len(p))
	for _, name := range p {
		steps = append(steps, configuration.Step{Field: name, Element: -1})
	}
	return steps
}

// leafPaths returns the paths of all settings: scalars, durations and lists, including
// those in nested messages.
func leafPaths(descriptor protoreflect.MessageDescriptor) []fieldPath {
	var paths []fieldPath
	for i := range descriptor.Fields().Len() {
		field := descriptor.Fields().Get(i)
		name := string(field.Name())
		if !isNested(field) {
			paths = append(paths, fieldPath{name})
			continue
		}
		for _, below := range leafPaths(field.Message()) {
			paths = append(paths, append(fieldPath{name}, below...))
		}
	}
	return paths
}

func isNested(field protoreflect.FieldDescriptor) bool {
	return field.Message() != nil && !field.IsList() && field.Message().FullName() != durationName
}

func (l *loader) readEnvironment(message proto.Message) {
	for _, path := range leafPaths(message.ProtoReflect().Descriptor()) {
		value, given := os.LookupEnv(path.environmentVariable())
		if given {
			l.set(path, value, path.environmentVariable(), message)
		}
	}
}

func (l *loader) readOverrides(overrides []string, message proto.Message) {
	for _, override := range overrides {
		name, value, found := strings.Cut(override, "=")
		if !found {
			l.problems = append(l.problems, configuration.Problem{
				File: "--set " + override, Message: "the override has no value", Remedy: "write --set FIELD=VALUE",
			})
			continue
		}
		l.set(parsePath(name), value, "--set "+name, message)
	}
}

// set sets a field from an environment variable or a flag.
func (l *loader) set(path fieldPath, value, source string, message proto.Message) {
	l.sources[path.String()] = source
	target := message.ProtoReflect()
	for i, name := range path {
		field := target.Descriptor().Fields().ByName(protoreflect.Name(name))
		if field == nil || (i < len(path)-1) != isNested(field) {
			l.add(path, "there is no setting "+strconv.Quote(path.String()), "use one of: "+settingNames(message))
			return
		}
		if isNested(field) {
			target = target.Mutable(field).Message()
			continue
		}
		if remedy := setField(target, field, value); remedy != "" {
			l.add(path, "the value "+strconv.Quote(value)+" of "+path.String()+" cannot be read", remedy)
		}
	}
}

func settingNames(message proto.Message) string {
	var names []string
	for _, path := range leafPaths(message.ProtoReflect().Descriptor()) {
		names = append(names, path.String())
	}
	return strings.Join(names, ", ")
}

// setField parses and sets one field. It returns a remedy if the value is invalid.
func setField(target protoreflect.Message, field protoreflect.FieldDescriptor, value string) string {
	switch {
	case field.IsList():
		return setMachines(target, field, value)
	case field.Message() != nil:
		length, err := time.ParseDuration(value)
		if err != nil {
			return "write a duration with its unit, for example 500ms"
		}
		target.Set(field, protoreflect.ValueOfMessage(durationpb.New(length).ProtoReflect()))
	case field.Kind() == protoreflect.Uint32Kind:
		number, err := strconv.ParseUint(value, 10, 32)
		if err != nil {
			return "write a whole number"
		}
		target.Set(field, protoreflect.ValueOfUint32(uint32(number)))
	case field.Kind() == protoreflect.DoubleKind:
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return "write a number"
		}
		target.Set(field, protoreflect.ValueOfFloat64(number))
	case field.Kind() == protoreflect.BoolKind:
		boolean, err := strconv.ParseBool(value)
		if err != nil {
			return "write true or false"
		}
		target.Set(field, protoreflect.ValueOfBool(boolean))
	default:
		target.Set(field, protoreflect.ValueOfString(value))
	}
	return ""
}

// setMachines replaces the list of control machines with one parsed from
// "machine=ip:port@zone,...".
func setMachines(target protoreflect.Message, field protoreflect.FieldDescriptor, value string) string {
	target.Clear(field)
	list := target.Mutable(field).List()
	for _, text := range strings.Split(value, ",") {
		machine, rest, found := strings.Cut(strings.TrimSpace(text), "=")
		if !found {
			return "write machine=ip:port@zone, with commas between machines"
		}
		address, zone, _ := strings.Cut(rest, "@")
		added := list.AppendMutable().Message()
		fields := added.Descriptor().Fields()
		added.Set(fields.ByName("machine"), protoreflect.ValueOfString(machine))
		added.Set(fields.ByName("address"), protoreflect.ValueOfString(address))
		added.Set(fields.ByName("zone"), protoreflect.ValueOfString(zone))
	}
	return ""
}
