package load

import (
	"strconv"
	"strings"

	"rockwind.example/rockwind/internal/engine"
)

// prefixStream makes the text of a shared prefix differ from the answer with the same hash.
const prefixStream = 0x5eed

// Prompt returns a prompt of about the given length in tokens. It starts with prefixTokens
// tokens of the shared prefix, if prefix isn't zero, and continues with text that is
// determined by unique.
func Prompt(prefix uint64, prefixTokens, tokens int, unique uint64) string {
	length := max(tokens*engine.BytesPerToken, 1)
	var text strings.Builder
	text.Grow(length + 2*engine.BytesPerToken)
	if prefix != 0 {
		fill(&text, prefix^prefixStream, min(prefixTokens*engine.BytesPerToken, length))
	}
	text.WriteString("question ")
	text.WriteString(strconv.FormatUint(unique, 36))
	text.WriteByte(' ')
	if text.Len() < length {
		fill(&text, unique, length)
	}
	return text.String()
}

// fill appends words until the text has the given length in bytes.
func fill(text *strings.Builder, seed uint64, length int) {
	for sequence := 1; text.Len() < length; sequence++ {
		word := engine.ExpectedToken(seed, sequence)
		text.WriteString(word[:min(len(word), length-text.Len())])
	}
}
