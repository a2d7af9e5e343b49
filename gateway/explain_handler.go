package gateway

// This file defines the operators' page that explains where a request would go. Whoever reaches the door may ask: a
// question is short, explanations are made one at a time and with pauses, and answers take the memory of the door.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/setting"
)

const (
	// explainPause is the least time between two explanations, each of which keeps requests waiting for as long as it takes to
	// copy the state of a service, and explainPauseFactor the least relative to the time that the first of them has taken: they
	// take a tenth of a processor at most. explainPatience is how long one waits for its turn.
	explainPause       = 50 * time.Millisecond
	explainPauseFactor = 9
	explainPatience    = time.Second
	// defaultTop and maxTop bound the upstreams that an explanation lists.
	defaultTop, maxTop = 20, 200
	// The following bound the numbers and the parts of a question. More tokens count as that many for requests, too.
	maxQuestionTokens = 1 << 30
	maxQuestionParts  = 256
	maxShownValue     = 64
	explainKeyScheme  = "Bearer "
)

// explanationHolder holds the memory for explanations.
const explanationHolder memory.Holder = "explanations"

// questionFields are the names of the fields of a question.
var questionFields = []string{"method", "host", "path", "workspace", "service", "model", "tokens", "output_tokens", "hint_tokens", "part", "deadline_ms", "top"}

// ExplainHandler returns the handler for operators: GET /explain says where a request would go that its parameters
// describe. The key of the request, if it has one, is that of the Authorization header.
func (g *Gateway) ExplainHandler() http.Handler {
	turn := make(chan struct{}, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) {
		question, err := parseQuestion(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		select {
		case turn <- struct{}{}:
		case <-r.Context().Done():
			return
		case <-time.After(explainPatience):
			refuseExplanation(w, "other explanations are being made")
			return
		}
		explanation, err := g.explainInTurn(time.Now(), question, func() { <-turn })
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := json.Marshal(explanation)
		if err != nil {
			_ = g.deps.Logger.Log("event", "explanation_not_sent", "err", err)
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		share := g.deps.Memory.Pages.Share(explanationHolder)
		if err := share.GrowTo(int64(cap(answer))); err != nil {
			refuseExplanation(w, err.Error())
			return
		}
		defer share.Release()
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write(answer); err != nil {
			_ = g.deps.Logger.Log("event", "explanation_not_sent", "err", err)
		}
	})
	return mux
}

// explainInTurn is Explain, and ends the turn after a pause, also if that panics.
func (g *Gateway) explainInTurn(began time.Time, q *Question, end func()) (*Explanation, error) {
	defer func() { time.AfterFunc(max(explainPause, explainPauseFactor*time.Since(began)), end) }()
	return g.Explain(began, q)
}

// refuseExplanation answers that there is no explanation now.
func refuseExplanation(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, why, http.StatusServiceUnavailable)
}

// parseQuestion returns the question that a call asks. Its error names every field that is wrong, with its value.
func parseQuestion(r *http.Request) (*Question, error) {
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, fmt.Errorf("the parameters: %w", err)
	}
	p := questionParser{values: values}
	for name, given := range values {
		known := slices.Contains(questionFields, name)
		p.Require(known, name, shownValue(given[0]), "one of the parameters "+strings.Join(questionFields, ", "))
		p.Require(!known || name == "part" || len(given) == 1, name, shownValue(given[len(given)-1]), "one value")
	}
	q := &Question{
		Method: p.text("method", http.MethodPost), Host: p.text("host", ""), Path: p.text("path", "/"), Workspace: id.Workspace(p.text("workspace", "")),
		Service: id.Service(p.text("service", "")), Top: int(p.number("top", defaultTop, 1, maxTop)),
	}
	q.Info.Key = strings.TrimPrefix(r.Header.Get("Authorization"), explainKeyScheme)
	p.Require(q.Info.Key == "" || q.Workspace == "", "workspace", shownValue(string(q.Workspace)), "a workspace or a key")
	q.Info.Timeout = time.Duration(p.number("deadline_ms", 0, 1, maxTime.Milliseconds())) * time.Millisecond
	q.Info.Prompt = pool.Prompt{
		Model: id.Model(p.text("model", "")), Length: p.tokens("tokens"), Output: p.tokens("output_tokens"), Hint: p.tokens("hint_tokens"), Parts: p.parts(),
	}
	if q.Info.Prompt.Length == 0 {
		for _, part := range q.Info.Prompt.Parts {
			q.Info.Prompt.Length += part.Tokens
		}
	}
	if err := p.Err(); err != nil {
		return nil, err
	}
	return q, nil
}

// questionParser parses the fields of a question and collects the errors.
type questionParser struct {
	setting.Checker
	values url.Values
}

// Require adds an error unless ok is true. It names the field as ragwortctl does.
func (p *questionParser) Require(ok bool, name, value, expected string) {
	p.Checker.Require(ok, strings.ReplaceAll(name, "_", "-"), value, expected)
}

// text returns a field without control characters.
func (p *questionParser) text(name, absent string) string {
	if !p.values.Has(name) {
		return absent
	}
	text := p.values.Get(name)
	p.Require(text != "" && utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl), name, shownValue(text), "text in UTF-8 without control characters")
	return text
}

// number returns a field that is a number within bounds.
func (p *questionParser) number(name string, absent, least, most int64) int64 {
	if !p.values.Has(name) {
		return absent
	}
	n, err := strconv.ParseInt(p.values.Get(name), 10, 64)
	p.Require(err == nil && n >= least && n <= most, name, shownValue(p.values.Get(name)), fmt.Sprintf("a number from %d to %d", least, most))
	return n
}

// tokens returns a field that is a number of tokens.
func (p *questionParser) tokens(name string) id.Tokens {
	return id.Tokens(p.number(name, 0, 0, maxQuestionTokens))
}

// parts returns the parts of the prompt, each of the form ID:TOKENS.
func (p *questionParser) parts() (parts []pool.PromptPart) {
	given := p.values["part"]
	p.Require(len(given) <= maxQuestionParts, "part", strconv.Itoa(len(given)), fmt.Sprintf("at most %d parts", maxQuestionParts))
	for _, text := range given {
		name, size, ok := strings.Cut(text, ":")
		n, err := strconv.ParseInt(size, 10, 64)
		p.Require(ok && name != "" && utf8.ValidString(name) && err == nil && n >= 0 && n <= maxQuestionTokens, "part", shownValue(text), "ID:TOKENS, such as system:3000")
		parts = append(parts, pool.PromptPart{ID: id.PromptPart(name), Tokens: id.Tokens(n)})
	}
	return parts
}

// shownValue returns a value as an error shows it.
func shownValue(text string) string { return text[:min(len(text), maxShownValue)] }
