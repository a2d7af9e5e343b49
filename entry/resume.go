package entry

// This file defines how an answer that was cut goes on: the same chat with the
// text so far as a final assistant message that the engine continues.

import (
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/ragwortpass/ragwortpass/id"
)

// tokenLimits are the members that bound the length of an answer.
var tokenLimits = []string{"max_tokens", "max_completion_tokens"}

// canResume reports whether an answer to body can go on from its text: a single
// plain text, of which the caller gets nothing else than the text.
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

// resumable reports whether the answer can go on from what the caller has got.
func (a *answer) resumable() bool { return a.rq.resumable && !a.opaque }

// left returns how many tokens the engine may still add; it reports false if the
// caller set no bound.
func (a *answer) left() (id.Tokens, bool) {
	for _, name := range tokenLimits {
		if n := gjson.GetBytes(a.rq.body, name); n.Type == gjson.Number {
			return id.Tokens(n.Int()) - a.output, true
		}
	}
	return 0, false
}

// body returns the body of the next attempt.
func (a *answer) body() []byte {
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
		panic("a checked body takes more members")
	}
	return body
}

// exhausted reports whether the caller has got every token it asked for, and
// lacks only the end of the answer.
func (a *answer) exhausted() bool {
	left, bounded := a.left()
	return a.started && a.resumable() && bounded && left <= 0
}
