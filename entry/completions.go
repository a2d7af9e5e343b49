package entry

// This file defines the handlers for requests to models.

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
)

const (
	bytesPerToken = 4   // estimates the tokens of a prompt from the bytes of its body
	prefixBytes   = 256 // bytes of a prompt that are hashed to find the engine that has cached it
)

// completions serves chat and text completions.
func (e *Entry) completions(w http.ResponseWriter, r *http.Request) {
	rq, p := e.readCompletion(time.Now(), w, r)
	if rq != nil && rq.share != nil {
		defer rq.share.Release()
	}
	if p == nil {
		p = e.limit(time.Now(), rq)
	}
	if p != nil {
		e.refuse(w, r, p)
		return
	}
	defer e.settleCharge(rq)
	e.running.Add(1)
	defer e.running.Add(-1)
	e.dispatch(w, r, rq)
}

// readCompletion checks the body and returns the classified request, also with a refusal if it has taken
// memory.
func (e *Entry) readCompletion(now time.Time, w http.ResponseWriter, r *http.Request) (*request, *problem.Problem) {
	rq, p := e.classify(now, r, e.deps.State.Rules().ModelRoute())
	if p != nil {
		return nil, p
	}
	body, p := e.readBody(w, r, rq)
	if p != nil {
		return rq, p
	}
	if !gjson.ValidBytes(body) || !gjson.ParseBytes(body).IsObject() {
		return rq, badRequest("body: expected a JSON object")
	}
	rq.uri = r.URL.Path
	rq.chat = r.URL.Path == "/v1/chat/completions"
	if p := checkPrompt(rq.chat, body); p != nil {
		return rq, p
	}
	model := gjson.GetBytes(body, "model")
	if model.Type != gjson.String || model.Str == "" {
		return rq, badRequest("model: expected a non-empty string")
	}
	rq.model = id.Model(model.Str)
	if e.deps.State.Rules().Models[rq.model] == nil {
		return rq, problem.New(problem.ModelUnknown, problem.NotRun, http.StatusNotFound, "no model %q", rq.model)
	}
	if p := checkTokenLimits(body); p != nil {
		return rq, p
	}
	rq.stream = gjson.GetBytes(body, "stream").Bool()
	rq.includeUsage = gjson.GetBytes(body, "stream_options.include_usage").Bool()
	rq.prefixHash = promptPrefixHash(rq, body)
	rq.choices = max(1, int(gjson.GetBytes(body, "n").Int()))
	rq.resumable = rq.chat && rq.stream && canResume(body)
	rq.promptTokens = id.Tokens(len(body) / bytesPerToken)
	rq.body, p = engineBody(rq, body)
	return rq, p
}

func badRequest(detail string) *problem.Problem {
	return problem.New(problem.BadRequest, problem.NotRun, http.StatusBadRequest, "%s", detail)
}

func checkPrompt(chat bool, body []byte) *problem.Problem {
	if chat {
		m := gjson.GetBytes(body, "messages")
		if !m.IsArray() || len(m.Array()) == 0 {
			return badRequest("messages: expected a list with at least one message")
		}
		return nil
	}
	if !gjson.GetBytes(body, "prompt").Exists() {
		return badRequest("prompt: missing")
	}
	return nil
}

func checkTokenLimits(body []byte) *problem.Problem {
	for _, name := range tokenLimits {
		if n := gjson.GetBytes(body, name); n.Exists() && n.Type != gjson.Null && (n.Type != gjson.Number || n.Num < 1) {
			return badRequest(name + ": expected a number of at least 1")
		}
	}
	return nil
}

// promptPrefixHash returns a hash of the model and the start of the prompt. Requests with
// the same hash are preferably routed to the engine that has the prefix in its cache.
func promptPrefixHash(rq *request, body []byte) uint64 {
	prompt := gjson.GetBytes(body, "prompt").Raw
	if rq.chat {
		prompt = gjson.GetBytes(body, "messages").Raw
	}
	h := xxhash.New()
	_, _ = h.WriteString(string(rq.model))
	_, _ = h.WriteString(prompt[:min(len(prompt), prefixBytes)])
	return h.Sum64()
}

// engineBody returns the body for the engine: with the priority of the request's tier and,
// for a stream, a request for the usage event, from which the answer is billed.
func engineBody(rq *request, body []byte) ([]byte, *problem.Problem) {
	body, err := sjson.SetBytes(body, "priority", int(rq.class.Tier))
	if err == nil && rq.stream {
		body, err = sjson.SetBytes(body, "stream_options.include_usage", true)
	}
	if err != nil {
		return nil, badRequest("body: " + err.Error())
	}
	return body, nil
}

// models lists the models of the rules in the format of the OpenAI models call.
func (e *Entry) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      id.Model `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		OwnedBy string   `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for name := range e.deps.State.Rules().Models {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "ragwortpass"})
	}
	slices.SortFunc(list.Data, func(a, b model) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
