package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/platform"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// safeText is text that several goroutines write.
type safeText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *safeText) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *safeText) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// entryProgram is an entry that follows a stand-in store.
type entryProgram struct {
	settings *gateway.Settings
	store    *standin.Store
	log      safeText
}

// startEntry starts an entry with one route to a service.
func startEntry(t *testing.T) *entryProgram {
	t.Helper()
	e := &entryProgram{settings: &gateway.Settings{Node: "g-0", DataCentre: "th-a"}, store: standin.NewStore()}
	server := httptest.NewServer(e.store.Handler())
	t.Cleanup(server.Close)
	c := &catalog.Catalog{
		Version: 1, Services: map[id.Service]*catalog.Service{"models": {Name: "models"}},
		Routes: []catalog.Route{{Name: "chat", Host: "models.example", PathPrefix: "/", Kind: catalog.KindSafe, MaxAttempts: 1, Timeout: 4 * time.Second, LatencyObjective: 2 * time.Second, Services: []catalog.WeightedService{{Service: "models", Weight: 1}}}},
	}
	c.Index()
	require.NoError(t, e.store.PutCatalog(c))
	s := e.settings
	s.StoreAddress, s.Metrics = strings.TrimPrefix(server.URL, "http://"), ragworttest.FreeAddress(t)
	s.Listen.Callers, s.Listen.Ready = ragworttest.FreeAddress(t), ragworttest.FreeAddress(t)
	s.Bounds = gateway.Bounds{ConfigMS: 2000, RetryRatio: 0.2, RetrySlack: 50, RetryWindowS: 10, GraceS: 1, ExposeShare: 0.1, ExposeSlack: 50, RollbackMS: 5000}
	logger := log.NewLogfmtLogger(&e.log)
	program := gateway.NewProgram(s, func() (*gateway.Settings, error) { return s, nil }, clock.New(), platform.New(s, logger), logger)
	ended := make(chan error, 1)
	ctx := t.Context()
	go func() { ended <- program.Run(ctx, gateway.Signals{}) }()
	t.Cleanup(func() {
		err := <-ended
		if t.Failed() {
			t.Log(err, e.log.String())
		}
	})
	return e
}

// startModel lists an upstream that answers with its id.
func (e *entryProgram) startModel(t *testing.T, name id.Upstream, draining bool) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		standin.SignResponse(w.Header(), standin.ParseReplicaRequest(r.Header).Request)
		_, _ = io.WriteString(w, string(name))
	}))
	t.Cleanup(server.Close)
	require.NoError(t, e.store.PutListing(pool.Listing{ID: name, Service: "models", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "th-a", Slots: 8, Draining: draining, StartUnixMS: 7, Sequence: 1}))
}

// explain runs the command and returns what it prints.
func (e *entryProgram) explain(c explainCommand, asJSON bool) (string, error) {
	var out bytes.Buffer
	c.Entry, c.Top = e.settings.Metrics, 20
	err := c.Run(&commandEnv{out: &out, json: asJSON})
	return out.String(), err
}

// call sends a prompt, and returns which upstream has answered.
func (e *entryProgram) call(t *testing.T, request, prompt string) string {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+e.settings.Listen.Callers+"/x", strings.NewReader("p"))
	require.NoError(t, err)
	r.Host = "models.example"
	r.Header.Set("X-Request-Id", request)
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Count", "3200,50")
	r.Header.Set("X-Prompt-Prefix", prompt+":3000,own:200")
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, string(body))
	return string(body)
}

// TestExplainUnsentRequest asks an entry where prompts would go, and sends them. They must arrive where the entry said, and
// the questions must leave no trace of a request.
func TestExplainUnsentRequest(t *testing.T) {
	e := startEntry(t)
	for i := range 4 {
		e.startModel(t, id.Upstream(fmt.Sprint("m-", i)), i == 3)
	}
	c := explainCommand{Host: "models.example", Path: "/x", Model: "m", OutputTokens: 50}
	require.Eventually(t, func() bool {
		out, err := e.explain(c, false)
		return err == nil && strings.Contains(out, "verdict=sent") && strings.Contains(out, "excluded=draining")
	}, 10*time.Second, 50*time.Millisecond)
	for _, prompt := range []string{"system", "manual", "story"} {
		c.Part = []string{prompt + ":3000", "own:200"}
		text, err := e.explain(c, true)
		require.NoError(t, err)
		var said gateway.Explanation
		require.NoError(t, json.Unmarshal([]byte(text), &said))
		require.Equal(t, gateway.WouldBeSent, said.Verdict)
		require.Equal(t, "affine", said.Target.Choice)
		require.Len(t, said.Candidates, 4)
		require.Equal(t, 4, said.Known)
		require.NotContains(t, e.log.String(), "request="+prompt)
		lines := strings.Count(e.log.String(), "request=")
		require.Equal(t, string(said.Target.Upstream), e.call(t, prompt, prompt))
		require.Greater(t, strings.Count(e.log.String(), "request="), lines)
	}
	require.NotContains(t, e.log.String(), "request=explanation")

	out, err := e.explain(explainCommand{Host: "other.example", Path: "/x"}, false)
	require.NoError(t, err)
	require.Contains(t, out, "refusal reason=route_unknown status=404")
	_, err = e.explain(explainCommand{Host: "models.example", Path: "/x", Tokens: -3}, false)
	require.ErrorContains(t, err, `--tokens: bad value "-3": expected a number from 0`)
	_, err = e.explain(explainCommand{Host: "models.example", Path: "/x", Workspace: "nobody"}, false)
	require.ErrorContains(t, err, `--workspace: bad value "nobody"`)
}

// TestExplainNeedsOneSubject refuses a request that is both sent and not, or neither.
func TestExplainNeedsOneSubject(t *testing.T) {
	require.ErrorContains(t, (&explainCommand{}).Run(&commandEnv{}), "--entry")
	require.ErrorContains(t, (&explainCommand{Request: "rq", Entry: "127.0.0.1:1"}).Run(&commandEnv{}), `"127.0.0.1:1"`)
	require.ErrorContains(t, (&explainCommand{Entry: "127.0.0.1:1", Logs: []string{"a.log"}}).Run(&commandEnv{}), "--logs")
}
