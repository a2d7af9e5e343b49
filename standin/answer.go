package standin

// This file defines the answers of the model engine: a function of the prompt
// alone, so that a load tool can tell a whole answer from a cut or crossed one.

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const defaultMaxTokens = 64

// CompletionTokens returns the tokens with which an engine answers a prompt. Their number
// lies between a quarter of max and max.
func CompletionTokens(prompt string, max int) []string {
	if max <= 0 {
		max = defaultMaxTokens
	}
	seed := xxhash.Sum64String(prompt)
	least := (max + 3) / 4
	tokens := make([]string, least+int(seed%uint64(max-least+1)))
	for i := range tokens {
		tokens[i] = "t" + strconv.Itoa(i) + "-" + strconv.FormatUint((seed+uint64(i))%4096, 16) + " "
	}
	return tokens
}

// countTokens returns how many whole tokens of Answer a text holds.
func countTokens(text string) int { return strings.Count(text, " ") }
