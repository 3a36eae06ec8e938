package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// wordCount is the number of different words that answers consist of.
const wordCount = 1024

// words are the tokens of answers; each ends with a space.
var words = makeWords()

func makeWords() [wordCount]string {
	const consonants = "bdfghklmnprstvwz"
	const vowels = "ae"
	var result [wordCount]string
	syllable := func(number int) string {
		return string([]byte{consonants[number/len(vowels)], vowels[number%len(vowels)]})
	}
	for index := range result {
		result[index] = syllable(index/32) + syllable(index%32) + " "
	}
	return result
}

// PromptHash identifies a prompt; answers are derived from it.
func PromptHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt)
}

// ExpectedToken returns the token with the given sequence number, from 1, of
// the answer to the prompt with the given hash.
func ExpectedToken(promptHash uint64, sequence int) string {
	mixed := promptHash + uint64(sequence)*0x9e3779b97f4a7c15
	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb
	mixed ^= mixed >> 31
	return words[mixed%wordCount]
}

// ExpectedText returns the whole answer to a prompt: maxTokens tokens. Any
// reader can compare an answer with it to see that the answer is whole and its
// own. The prompt of a chat is what ChatPrompt returns.
func ExpectedText(prompt string, maxTokens int) string {
	return ExpectedRange(PromptHash(prompt), 1, maxTokens)
}

// ExpectedRange returns the text of the tokens first to last of an answer.
func ExpectedRange(promptHash uint64, first, last int) string {
	if last < first {
		return ""
	}
	var text strings.Builder
	text.Grow((last - first + 1) * len(words[0]))
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

// ChatPrompt returns the prompt that an engine makes of the messages of a chat.
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

// UserPrompt returns the prompt of a chat with a single message of the user.
func UserPrompt(content string) string {
	return ChatPrompt([]Message{{Role: "user", Content: content}})
}

// PromptTokens returns the length of a prompt in tokens, at least one.
func PromptTokens(prompt string) int {
	return max((len(prompt)+BytesPerToken-1)/BytesPerToken, 1)
}

// BlockHashes returns the chain hashes of the prompt's whole blocks: the hash of
// a block is xxhash64 over the hash of the block before it, eight bytes big
// endian and zero for the first, and the bytes of the block.
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
