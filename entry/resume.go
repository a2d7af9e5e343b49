package entry

// This file defines how an interrupted answer is resumed: the next attempt sends the same
// chat, with the text so far as a final assistant message that the engine continues.

import (
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/ragwortpass/ragwortpass/id"
)

// tokenLimits are the members of a request body that limit the length of an answer.
var tokenLimits = []string{"max_tokens", "max_completion_tokens"}

// canResume reports whether an answer to body can be resumed from its text: the answer
// must be a single plain text without further data, such as log probabilities.
func canResume(body []byte) bool {
	n := gjson.GetBytes(body, "n")
	format := gjson.GetBytes(body, "response_format.type").Str
	switch {
	case n.Exists() && n.Int() != 1,
		gjson.GetBytes(body, "logprobs").Bool(),
		format != "" && format != "text",
		gjson.GetBytes(body, "continue_final_message").Bool():
		return false
	}
	return true
}

// resumable reports whether the answer can be resumed from what the caller has received.
func (a *answer) resumable() bool { return a.rq.resumable && !a.opaque }

// remainingTokens returns how many tokens the engine may still generate; it reports false
// if the caller set no limit.
func (a *answer) remainingTokens() (id.Tokens, bool) {
	for _, name := range tokenLimits {
		if n := gjson.GetBytes(a.rq.body, name); n.Type == gjson.Number {
			return id.Tokens(n.Int()) - a.output, true
		}
	}
	return 0, false
}

// attemptBody returns the body of the next attempt.
func (a *answer) attemptBody() []byte {
	if !a.started || !a.resumable() {
		return a.rq.body
	}
	body, err := sjson.SetBytes(a.rq.body, "messages.-1", struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", a.text.String()})
	for _, flag := range []struct {
		name  string
		value bool
	}{{"continue_final_message", true}, {"add_generation_prompt", false}} {
		if err == nil {
			body, err = sjson.SetBytes(body, flag.name, flag.value)
		}
	}
	for _, name := range tokenLimits {
		if n := gjson.GetBytes(body, name); err == nil && n.Type == gjson.Number {
			body, err = sjson.SetBytes(body, name, n.Int()-int64(a.output))
		}
	}
	if err != nil {
		panic("resumed body cannot be built: " + err.Error())
	}
	return body
}

// exhausted reports whether the caller has received every token it asked for, so that
// only the end of the answer is missing.
func (a *answer) exhausted() bool {
	left, bounded := a.remainingTokens()
	return a.started && a.resumable() && bounded && left <= 0
}
