package configuration

import (
	"bytes"
	"unicode/utf8"
)

// Bounds that keep the YAML reader's time and memory small: it makes a node for
// about each line, list element and bracket. A fleet of 11,000 tenants has
// about 100,000 of them.
const (
	maximumLineBytes = 64 << 10
	maximumMarks     = 400_000
)

const (
	lineSeparator      = '\u2028'
	paragraphSeparator = '\u2029'
	byteOrderMark      = '\ufeff'
	firstPrintable     = 0x20
	lastControl        = 0x9f
	deleteCharacter    = 0x7f
)

// checkText refuses what is not a plain text file of moderate size, before the
// YAML reader sees it. It tells whether the text may be parsed.
func checkText(data []byte, problems *problemList) bool {
	if len(data) > MaximumFileBytes {
		problems.addf(Position{}, "split the fleet, or check that this is the right file",
			"the file has %d bytes, more than the %d allowed", len(data), MaximumFileBytes)
		return false
	}
	if marks := countMarks(data); marks > maximumMarks {
		problems.addf(Position{}, "check that this is the right file",
			"the file has %d lines, list elements and brackets, more than the %d allowed", marks, maximumMarks)
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

// countMarks estimates from above how many nodes the YAML reader would make.
func countMarks(data []byte) int {
	marks := 0
	for _, mark := range []string{"\n", ",", "[", "{", "- ", "? "} {
		marks += bytes.Count(data, []byte(mark))
	}
	return marks
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

// badCharacter names what is wrong with a character, or returns nothing.
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
