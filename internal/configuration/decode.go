package configuration

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"strings"

	"buf.build/go/protoyaml"
	"github.com/cockroachdb/errors"
	yaml "go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
)

// Decode decodes YAML text into a protobuf message. It returns the document, for
// positions, or nil if the text cannot be parsed, and the problems found so far.
// The settings of daemons are decoded with it as well.
func Decode(fileName string, data []byte, message proto.Message) (*Document, *problemList) {
	problems := newProblemList(fileName)
	if !checkText(data, problems) {
		return nil, problems
	}
	if !checkDocuments(data, problems) {
		return nil, problems
	}
	reader := &structureChecker{problems: problems}
	options := protoyaml.UnmarshalOptions{CustomUnmarshaler: reader}
	err := options.Unmarshal(data, message)
	if reader.root == nil {
		addSyntaxError(err, problems)
		return nil, problems
	}
	if reader.tooManyProblems {
		return nil, problems
	}
	if !isBlockMapping(reader.root) && hasTrailingText(data) {
		problems.add(positionOf(reader.root), "more text follows the end of the YAML document", "keep one document a file")
		return nil, problems
	}
	addDecodingErrors(err, problems)
	return &Document{root: reader.root}, problems
}

// DecodeProblems is Decode for callers that need only the problems.
func DecodeProblems(fileName string, data []byte, message proto.Message) (*Document, []Problem) {
	document, problems := Decode(fileName, data, message)
	return document, problems.result()
}

// errTooManyProblems stops the decoder if the structure of the document has too many
// problems already.
var errTooManyProblems = errors.New("too many problems")

// structureChecker checks the YAML nodes against the schema before their values are
// decoded.
type structureChecker struct {
	problems        *problemList
	root            *yaml.Node
	tooManyProblems bool
}

// Unmarshal implements protoyaml.CustomUnmarshaler. It decodes nothing: on the first
// call it keeps the root node and checks the structure below it.
func (r *structureChecker) Unmarshal(node *yaml.Node, message proto.Message) (bool, error) {
	if r.root != nil {
		return false, nil
	}
	r.root = node
	checkStructure(node, message.ProtoReflect().Descriptor(), r.problems)
	if r.problems.full() {
		r.tooManyProblems = true
		return false, errTooManyProblems
	}
	return false, nil
}

// checkDocuments reports a file with more than one YAML document, since the decoder
// would silently ignore all but the first.
func checkDocuments(data []byte, problems *problemList) bool {
	content := false
	line := 0
	for len(data) > 0 {
		var current []byte
		current, data = cutLine(data)
		line++
		marker := isMarker(current, "---")
		if isMarker(current, "...") || (marker && content) {
			problems.add(Position{Line: line, Column: 1}, "the file holds more than one YAML document", "keep one document a file")
			return false
		}
		trimmed := bytes.TrimSpace(current)
		if marker || (len(trimmed) > 0 && trimmed[0] != '#') {
			content = true
		}
	}
	return true
}

func isMarker(line []byte, marker string) bool {
	rest, found := bytes.CutPrefix(line, []byte(marker))
	if !found {
		return false
	}
	return len(rest) == 0 || rest[0] == ' ' || rest[0] == '\t'
}

// isBlockMapping reports whether the root is a block mapping, which can only end at
// the end of the file.
func isBlockMapping(root *yaml.Node) bool {
	return root.Kind == yaml.MappingNode && root.Style&yaml.FlowStyle == 0 && root.Column == 1
}

// hasTrailingText reports whether text follows a flow-style document, which the
// decoder would ignore.
func hasTrailingText(data []byte) bool {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var first, second yaml.Node
	if decoder.Decode(&first) != nil {
		return false
	}
	return !errors.Is(decoder.Decode(&second), io.EOF)
}

var syntaxPosition = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)

func addSyntaxError(err error, problems *problemList) {
	if err == nil {
		problems.add(Position{}, "the file is empty", "write at least 'number'")
		return
	}
	const remedy = "mend the YAML: indentation, quotes and brackets"
	text := err.Error()
	found := syntaxPosition.FindStringSubmatch(text)
	if found == nil {
		// The parser gives no line for errors in the first one.
		problems.add(Position{Line: 1, Column: 1}, "the file is not YAML: "+strings.TrimPrefix(text, "yaml: "), remedy)
		return
	}
	line, _ := strconv.Atoi(found[1])
	problems.add(Position{Line: line, Column: 1}, "the file is not YAML: "+found[2], remedy)
}

var decodingPosition = regexp.MustCompile(`^:(\d+):(\d+) `)

// addDecodingErrors adds the decoder's errors about values to the problems.
func addDecodingErrors(err error, problems *problemList) {
	if err == nil {
		return
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		problems.add(Position{}, err.Error(), "")
		return
	}
	for _, each := range joined.Unwrap() {
		if problems.full() {
			problems.omitted++
			continue
		}
		addDecodingError(each, problems)
	}
}

func addDecodingError(err error, problems *problemList) {
	found := decodingPosition.FindStringSubmatch(err.Error())
	if found == nil {
		problems.add(Position{}, err.Error(), "")
		return
	}
	line, _ := strconv.Atoi(found[1])
	column, _ := strconv.Atoi(found[2])
	at := Position{Line: line, Column: column}
	cause := errors.UnwrapOnce(err)
	problems.undecodable[at.lineColumn()] = true
	problems.add(at, cause.Error(), remedyFor(cause.Error()))
}

// remedyFor returns the remedy for a message of the decoder.
func remedyFor(message string) string {
	switch {
	case strings.Contains(message, "duration"), strings.Contains(message, "unit"):
		return "write a duration with its unit, for example 30s, 5m or 24h"
	case strings.Contains(message, "enum"):
		return "use one of the listed values"
	case strings.Contains(message, "integer"), strings.Contains(message, "float"):
		return "write a plain number"
	case strings.Contains(message, "expected bool"):
		return "write true or false"
	default:
		return "compare with docs/operations/configuration.md"
	}
}
