package load

import (
	"strconv"
	"strings"

	"rockwind.example/rockwind/internal/engine"
)

// prefixStream separates the texts of shared prefixes from answers.
const prefixStream = 0x5eed

// Prompt returns the content of a message of about the given length in tokens.
// It begins with the first prefixTokens tokens of the shared text prefix and
// goes on with a text that no other unique number gives.
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
