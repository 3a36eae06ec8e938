package configuration

import (
	"bytes"
	"unicode/utf8"
)

// Limits on the time and memory that the YAML parser takes. It creates about one
// node for each line, list element and bracket: about 100,000 for 11,000 tenants.
const (
	maximumLineBytes = 64 << 10
	maximumNodes     = 400_000
)

const (
	lineSeparator      = '\u2028'
	paragraphSeparator = '\u2029'
	byteOrderMark      = '\ufeff'
	firstPrintable     = 0x20
	lastControl        = 0x9f
	deleteCharacter    = 0x7f
)

// checkText checks the size and characters of a file before it is parsed. It reports
// whether the text may be parsed.
func checkText(data []byte, problems *problemList) bool {
	if len(data) > MaximumFileBytes {
		problems.addf(Position{}, "split the fleet, or check that this is the right file",
			"the file has %d bytes, more than the %d allowed", len(data), MaximumFileBytes)
		return false
	}
	if nodes := estimateNodes(data); nodes > maximumNodes {
		problems.addf(Position{}, "check that this is the right file",
			"the file has %d lines, list elements and brackets, more than the %d allowed", nodes, maximumNodes)
		return false
	}
	line := 1
	for len(data) > 0 {
		current, rest := cutLine(data)
		if !checkLine(current, line, problems) {
			return false
		}
		data = rest
		line++
	}
	return true
}

// estimateNodes returns an upper estimate of the nodes that the YAML parser creates.
func estimateNodes(data []byte) int {
	nodes := 0
	for _, token := range []string{"\n", ",", "[", "{", "- ", "? "} {
		nodes += bytes.Count(data, []byte(token))
	}
	return nodes
}

func cutLine(data []byte) (line, rest []byte) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return data, nil
	}
	return bytes.TrimSuffix(data[:end], []byte{'\r'}), data[end+1:]
}

func checkLine(line []byte, number int, problems *problemList) bool {
	if len(line) > maximumLineBytes {
		problems.addf(Position{Line: number, Column: 1}, "write one field a line",
			"the line has %d bytes, more than the %d allowed", len(line), maximumLineBytes)
		return false
	}
	column := 1
	for offset := 0; offset < len(line); {
		character, size := utf8.DecodeRune(line[offset:])
		if message := badCharacter(character, size); message != "" {
			problems.addf(Position{Line: number, Column: column}, "save the file as plain UTF-8 text",
				"%s at this place", message)
			return false
		}
		offset += size
		column++
	}
	return true
}

// badCharacter describes a character that is not allowed, or returns "".
func badCharacter(character rune, size int) string {
	switch {
	case character == utf8.RuneError && size <= 1:
		return "a byte that is not UTF-8"
	case character == '\t':
		return ""
	case character < firstPrintable:
		return "a control character"
	case character >= deleteCharacter && character <= lastControl:
		return "a control character"
	case character == lineSeparator, character == paragraphSeparator:
		return "a Unicode line separator"
	case character == byteOrderMark:
		return "a byte order mark"
	default:
		return ""
	}
}
