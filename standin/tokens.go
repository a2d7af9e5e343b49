package standin

// This file defines the text that the model engine generates. It depends on the prompt and
// the token limit alone, so that a load tool can tell a complete answer from one that was cut
// off or belongs to another request.

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const defaultMaxTokens = 64

// CompletionTokens returns the tokens that an engine generates for a prompt. Their number
// lies between a quarter of maxTokens and maxTokens.
func CompletionTokens(prompt string, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	seed := xxhash.Sum64String(prompt)
	minTokens := (maxTokens + 3) / 4
	tokens := make([]string, minTokens+int(seed%uint64(maxTokens-minTokens+1)))
	for i := range tokens {
		tokens[i] = "t" + strconv.Itoa(i) + "-" + strconv.FormatUint((seed+uint64(i))%4096, 16) + " "
	}
	return tokens
}

// countTokens returns how many complete tokens of CompletionTokens a text holds; each ends
// with a space.
func countTokens(text string) int { return strings.Count(text, " ") }
