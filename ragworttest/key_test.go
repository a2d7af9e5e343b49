package ragworttest_test

// This file tests keys with real processes: a withdrawn key stops working at every entry,
// and no key leaks to an upstream or a log.

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// withdrawalLimit is the time within which a withdrawn key must stop working everywhere.
const withdrawalLimit = 3 * time.Second

const streamedChatBody = `{"model":"temper-70b","stream":true,"max_tokens":256,"messages":[{"role":"user","content":"a long die history"}]}`

// postChat sends a chat completion request.
func postChat(t *testing.T, e *ragworttest.Process, key, body string) *http.Response {
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	rq.Header.Set("Authorization", "Bearer "+key)
	rs, err := http.DefaultClient.Do(rq)
	require.NoError(t, err)
	return rs
}

// postRefused sends a chat completion request that must be refused, and returns the problem
// document of the response.
func postRefused(t *testing.T, e *ragworttest.Process, key, body string) problem.Problem {
	rs := postChat(t, e, key, body)
	defer rs.Body.Close()
	var p problem.Problem
	require.NoError(t, json.NewDecoder(rs.Body).Decode(&p))
	return p
}

// lastEvent reads a stream to its end and returns its last event name and its last data.
func lastEvent(t *testing.T, rs *http.Response) (event, data string) {
	defer rs.Body.Close()
	lines := bufio.NewScanner(rs.Body)
	for lines.Scan() {
		line := lines.Text()
		if e, ok := strings.CutPrefix(line, "event: "); ok {
			event = e
		}
		if d, ok := strings.CutPrefix(line, "data: "); ok {
			data = d
		}
	}
	require.NoError(t, lines.Err())
	return event, data
}

// TestWithdrawnKey guards against a withdrawn key that still works at an entry which cannot
// read the log. The key is in use through an entry that reads the log and through one whose
// connection to the log is disturbed; running, waiting and new requests must all be refused.
func TestWithdrawnKey(t *testing.T) {
	cases := map[string]struct {
		injectFault func(p *ragworttest.Proxy)
		outage      bool // the log fails once the first entry has read the withdrawal
	}{
		"log reachable":            {injectFault: func(*ragworttest.Proxy) {}},
		"disconnected":             {injectFault: func(p *ragworttest.Proxy) { p.Disable() }},
		"disconnected, log outage": {injectFault: func(p *ragworttest.Proxy) { p.Disable() }, outage: true},
		"responses blocked":        {injectFault: func(p *ragworttest.Proxy) { p.BlockDirection("downstream") }},
		"responses delayed":        {injectFault: func(p *ragworttest.Proxy) { p.AddLatency(10 * time.Second) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := ragworttest.NewFleet(t)
			f.PublishRules(strings.ReplaceAll(ragworttest.ExampleRules(t, "hingeworks.rules"), "model name=temper-70b", "model name=idle-70b # Wichai (platform): has no engine\nmodel name=temper-70b"))
			secret, keyID := f.GiveKey("bangkok-forge")
			cfg := standin.DefaultEngineConfig()
			cfg.TokenGap = 100 * time.Millisecond
			g, url := f.StartEngine(cfg)
			g.MakeWarm()
			proxy := ragworttest.NewProxy(t, strings.TrimPrefix(f.PlatformURL, "http://"))
			platformFlag := "--platform=http://" + proxy.Address()
			f.StartSidecar("s1", "th-a", url, "--models=temper-70b", platformFlag).WaitReady(t)
			entries := []*ragworttest.Process{f.StartEntry("e1", "th-a"), f.StartEntry("e2", "th-b", platformFlag)}
			for _, e := range entries {
				e.WaitReady(t)
				waitServing(t, e, secret)
			}
			var streams []*http.Response
			for _, e := range entries {
				rs := postChat(t, e, secret, streamedChatBody) //nolint:bodyclose // lastEvent closes it
				require.Equal(t, http.StatusOK, rs.StatusCode)
				streams = append(streams, rs) //nolint:bodyclose // lastEvent closes it
			}
			waiting := make(chan problem.Problem, len(entries))
			for _, e := range entries {
				go func() {
					waiting <- postRefused(t, e, secret, strings.ReplaceAll(streamedChatBody, "temper", "idle"))
				}()
			}
			time.Sleep(200 * time.Millisecond) // long enough for the requests to be queued
			c.injectFault(proxy)
			ctx, cancel := context.WithTimeout(t.Context(), ragworttest.WaitTimeout)
			defer cancel()
			require.NoError(t, f.Operator.WithdrawKey(ctx, time.Now(), keyID, "test"))
			withdrawnAt := time.Now()
			if c.outage {
				s, err := f.Operator.State(ctx)
				require.NoError(t, err)
				ragworttest.Eventually(t, func() bool { return nodeStatus(t, entries[0]).GetJournalOffset() >= uint64(s.Offset()) }, "e1 has read the withdrawal")
				f.Platform.SetFaults(standin.PlatformFaults{Outage: true})
			}
			for _, rs := range streams {
				event, data := lastEvent(t, rs)
				require.Equal(t, "error", event, data)
				var p problem.Problem
				require.NoError(t, json.Unmarshal([]byte(data), &p))
				require.Equal(t, problem.KeyWithdrawn, p.Reason)
			}
			for range entries {
				p := <-waiting
				require.Equal(t, problem.KeyWithdrawn, p.Reason, p.Detail)
				require.Equal(t, problem.NotRun, p.Run)
			}
			for _, e := range entries {
				p := postRefused(t, e, secret, streamedChatBody)
				require.Equal(t, problem.KeyWithdrawn, p.Reason)
			}
			require.Less(t, time.Since(withdrawnAt), withdrawalLimit)
			t.Logf("the key was refused everywhere %v after the withdrawal was accepted", time.Since(withdrawnAt))
			f.Platform.SetFaults(standin.PlatformFaults{})
			other, _ := f.GiveKey("korat-forge")
			waitServing(t, entries[0], other)
		})
	}
}

// waitServing waits until an entry answers a short chat with the key.
func waitServing(t *testing.T, e *ragworttest.Process, key string) {
	t.Helper()
	lastBody := ""
	defer func() {
		if t.Failed() {
			t.Log("last response: " + lastBody)
		}
	}()
	ragworttest.Eventually(t, func() bool {
		rs := postChat(t, e, key, `{"model":"temper-70b","max_tokens":4,"messages":[{"role":"user","content":"x"}]}`)
		defer rs.Body.Close()
		body, _ := io.ReadAll(rs.Body)
		lastBody = string(body)
		return rs.StatusCode == http.StatusOK
	}, "%s answers", e.Node)
}

// TestKeyIsNotLeaked guards against a key that reaches an upstream or a log, and against
// responses to wrong secrets that reveal which key IDs exist.
func TestKeyIsNotLeaked(t *testing.T) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	secret, keyID := f.GiveKey("bangkok-forge")
	withdrawn, withdrawnID := f.GiveKey("bangkok-forge")
	ctx, cancel := context.WithTimeout(t.Context(), ragworttest.WaitTimeout)
	defer cancel()
	require.NoError(t, f.Operator.WithdrawKey(ctx, time.Now(), withdrawnID, "test"))
	g := standin.NewEngine(standin.DefaultEngineConfig())
	g.MakeWarm()
	var mu sync.Mutex
	engineHeaders := make(http.Header)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		for name, values := range r.Header {
			engineHeaders[name] = append(engineHeaders[name], values...)
		}
		mu.Unlock()
		g.Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(engine.Close)
	sidecar := f.StartSidecar("s1", "th-a", engine.URL, "--models=temper-70b")
	e := f.StartEntry("e1", "th-a")
	sidecar.WaitReady(t)
	e.WaitReady(t)
	waitServing(t, e, secret)

	bodies := make(map[string]bool)
	for _, wrong := range []string{secret + "x", withdrawn + "x", "rw_nobody_x", "rw_" + string(keyID) + "_x", "sk-other", "rw_"} {
		p := postRefused(t, e, wrong, streamedChatBody)
		require.Equal(t, http.StatusUnauthorized, p.Status)
		p.Request = ""
		text, err := json.Marshal(&p)
		require.NoError(t, err)
		bodies[string(text)] = true
	}
	require.Len(t, bodies, 1, bodies)
	require.Equal(t, problem.KeyWithdrawn, postRefused(t, e, withdrawn, streamedChatBody).Reason)

	mu.Lock()
	defer mu.Unlock()
	require.NotEmpty(t, engineHeaders)
	for name, values := range engineHeaders {
		require.NotEqual(t, "Authorization", name)
		require.False(t, strings.HasPrefix(name, "Ragwort-"), name)
		require.NotContains(t, strings.Join(values, " "), string(keyID))
	}
	for _, p := range []*ragworttest.Process{e, sidecar} {
		for _, s := range []string{secret, withdrawn} {
			require.NotContains(t, p.Log.String(), strings.SplitN(s, "_", 3)[2])
		}
	}
}
