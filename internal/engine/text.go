package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabularySize is the number of distinct tokens in generated text.
const vocabularySize = 1024

// vocabulary holds the tokens of generated text; each ends with a space.
var vocabulary = makeVocabulary()

func makeVocabulary() [vocabularySize]string {
	const consonants = "bdfghklmnprstvwz"
	const vowels = "ae"
	var result [vocabularySize]string
	syllable := func(number int) string {
		return string([]byte{consonants[number/len(vowels)], vowels[number%len(vowels)]})
	}
	for index := range result {
		result[index] = syllable(index/32) + syllable(index%32) + " "
	}
	return result
}

// PromptHash returns the hash of a prompt, from which the output is derived.
func PromptHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt)
}

// ExpectedToken returns the output token with the given sequence number, starting
// at 1, for the prompt with the given hash.
func ExpectedToken(promptHash uint64, sequence int) string {
	mixed := promptHash + uint64(sequence)*0x9e3779b97f4a7c15
	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb
	mixed ^= mixed >> 31
	return vocabulary[mixed%vocabularySize]
}

// ExpectedText returns the complete output for a prompt. Clients compare responses
// with it to detect incomplete or misrouted ones. For chats, the prompt is the
// result of ChatPrompt.
func ExpectedText(prompt string, maxTokens int) string {
	return ExpectedRange(PromptHash(prompt), 1, maxTokens)
}

// ExpectedRange returns the output tokens from first to last.
func ExpectedRange(promptHash uint64, first, last int) string {
	if last < first {
		return ""
	}
	var text strings.Builder
	text.Grow((last - first + 1) * len(vocabulary[0]))
	for sequence := first; sequence <= last; sequence++ {
		text.WriteString(ExpectedToken(promptHash, sequence))
	}
	return text.String()
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that an engine builds from chat messages.
func ChatPrompt(messages []Message) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(message.Content)
		text.WriteString("\n")
	}
	return text.String()
}

// UserPrompt returns the prompt of a chat with a single user message.
func UserPrompt(content string) string {
	return ChatPrompt([]Message{{Role: "user", Content: content}})
}

// PromptTokens returns the length of a prompt in tokens, at least one.
func PromptTokens(prompt string) int {
	return max((len(prompt)+BytesPerToken-1)/BytesPerToken, 1)
}

// BlockHashes returns the chain hashes of the prompt's complete blocks. The hash
// of a block is the xxhash64 of the previous block's hash (eight bytes, big endian,
// zero for the first block) followed by the bytes of the block.
func BlockHashes(prompt string) []uint64 {
	count := len(prompt) / BlockBytes
	if count == 0 {
		return nil
	}
	result := make([]uint64, 0, count)
	var input [8 + BlockBytes]byte
	var previous uint64
	for block := range count {
		binary.BigEndian.PutUint64(input[:8], previous)
		copy(input[8:], prompt[block*BlockBytes:])
		previous = xxhash.Sum64(input[:])
		result = append(result, previous)
	}
	return result
}
