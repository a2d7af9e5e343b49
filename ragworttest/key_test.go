package ragworttest_test

// This file defines the process tests of keys: a withdrawn one stops everywhere, and
// none is seen where it does not belong.

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

// withdrawnWithin is the time in which a withdrawn key stops working.
const withdrawnWithin = 3 * time.Second

const streamBody = `{"model":"temper-70b","stream":true,"max_tokens":256,"messages":[{"role":"user","content":"a long die history"}]}`

func post(t *testing.T, e *ragworttest.Process, key, body string) *http.Response {
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	rq.Header.Set("Authorization", "Bearer "+key)
	rs, err := http.DefaultClient.Do(rq)
	require.NoError(t, err)
	return rs
}

// refusal returns the problem with which a call was refused.
func refusal(t *testing.T, e *ragworttest.Process, key, body string) problem.Problem {
	rs := post(t, e, key, body)
	defer rs.Body.Close()
	var p problem.Problem
	require.NoError(t, json.NewDecoder(rs.Body).Decode(&p))
	return p
}

// lastEvent reads a stream to its end.
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

// TestWithdrawnKey withdraws a key while it is in use through an entry that reads the
// log and through one that is cut off from it.
func TestWithdrawnKey(t *testing.T) {
	cases := map[string]struct {
		cut func(p *ragworttest.Proxy)
		out bool // the log goes out once one entry has read the withdrawal
	}{
		"log in reach":     {cut: func(*ragworttest.Proxy) {}},
		"cut off":          {cut: func(p *ragworttest.Proxy) { p.Disable() }},
		"cut off, log out": {cut: func(p *ragworttest.Proxy) { p.Disable() }, out: true},
		"half open":        {cut: func(p *ragworttest.Proxy) { p.BlockDirection("downstream") }},
		"slow":             {cut: func(p *ragworttest.Proxy) { p.AddLatency(10 * time.Second) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := ragworttest.NewFleet(t)
			f.PublishRules(strings.ReplaceAll(ragworttest.ExampleRules(t, "hingeworks.rules"), "model name=temper-70b", "model name=idle-70b # Wichai (platform): has no engine\nmodel name=temper-70b"))
			secret, kid := f.GiveKey("bangkok-forge")
			cfg := standin.DefaultEngineConfig()
			cfg.TokenGap = 100 * time.Millisecond
			g, url := f.StartEngine(cfg)
			g.MakeWarm()
			proxy := ragworttest.NewProxy(t, strings.TrimPrefix(f.PlatformURL, "http://"))
			through := "--platform=http://" + proxy.Address()
			f.StartSidecar("s1", "th-a", url, "--models=temper-70b", through).WaitReady(t)
			entries := []*ragworttest.Process{f.StartEntry("e1", "th-a"), f.StartEntry("e2", "th-b", through)}
			for _, e := range entries {
				e.WaitReady(t)
				whole(t, e, secret)
			}
			var streams []*http.Response
			for _, e := range entries {
				rs := post(t, e, secret, streamBody) //nolint:bodyclose // lastEvent closes it
				require.Equal(t, http.StatusOK, rs.StatusCode)
				streams = append(streams, rs) //nolint:bodyclose // lastEvent closes it
			}
			waiting := make(chan problem.Problem, len(entries))
			for _, e := range entries {
				go func() {
					waiting <- refusal(t, e, secret, strings.ReplaceAll(streamBody, "temper", "idle"))
				}()
			}
			time.Sleep(200 * time.Millisecond) // they wait now
			c.cut(proxy)
			ctx, cancel := context.WithTimeout(t.Context(), ragworttest.WaitTimeout)
			defer cancel()
			require.NoError(t, f.Operator.WithdrawKey(ctx, time.Now(), kid, "test"))
			begin := time.Now()
			if c.out {
				s, err := f.Operator.State(ctx)
				require.NoError(t, err)
				ragworttest.Eventually(t, func() bool { return status(t, entries[0]).GetJournalOffset() >= uint64(s.Offset()) }, "e1 has read it")
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
				p := refusal(t, e, secret, streamBody)
				require.Equal(t, problem.KeyWithdrawn, p.Reason)
			}
			require.Less(t, time.Since(begin), withdrawnWithin)
			t.Logf("stopped everywhere %v after the withdrawal was folded", time.Since(begin))
			f.Platform.SetFaults(standin.PlatformFaults{})
			other, _ := f.GiveKey("korat-forge")
			whole(t, entries[0], other)
		})
	}
}

// whole waits until an entry answers a short call.
func whole(t *testing.T, e *ragworttest.Process, key string) {
	t.Helper()
	last := ""
	defer func() {
		if t.Failed() {
			t.Log("last answer: " + last)
		}
	}()
	ragworttest.Eventually(t, func() bool {
		rs := post(t, e, key, `{"model":"temper-70b","max_tokens":4,"messages":[{"role":"user","content":"x"}]}`)
		defer rs.Body.Close()
		body, _ := io.ReadAll(rs.Body)
		last = string(body)
		return rs.StatusCode == http.StatusOK
	}, "%s answers", e.Node)
}

// TestKeyStaysHere checks that no key reaches an upstream or a log, and that a wrong
// secret is told the same whatever the id.
func TestKeyStaysHere(t *testing.T) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	secret, kid := f.GiveKey("bangkok-forge")
	gone, goneID := f.GiveKey("bangkok-forge")
	ctx, cancel := context.WithTimeout(t.Context(), ragworttest.WaitTimeout)
	defer cancel()
	require.NoError(t, f.Operator.WithdrawKey(ctx, time.Now(), goneID, "test"))
	g := standin.NewEngine(standin.DefaultEngineConfig())
	g.MakeWarm()
	var mu sync.Mutex
	seen := make(http.Header)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		for name, values := range r.Header {
			seen[name] = append(seen[name], values...)
		}
		mu.Unlock()
		g.Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(engine.Close)
	side := f.StartSidecar("s1", "th-a", engine.URL, "--models=temper-70b")
	e := f.StartEntry("e1", "th-a")
	side.WaitReady(t)
	e.WaitReady(t)
	whole(t, e, secret)

	bodies := make(map[string]bool)
	for _, wrong := range []string{secret + "x", gone + "x", "rw_nobody_x", "rw_" + string(kid) + "_x", "sk-other", "rw_"} {
		p := refusal(t, e, wrong, streamBody)
		require.Equal(t, http.StatusUnauthorized, p.Status)
		p.Request = ""
		text, err := json.Marshal(&p)
		require.NoError(t, err)
		bodies[string(text)] = true
	}
	require.Len(t, bodies, 1, bodies)
	require.Equal(t, problem.KeyWithdrawn, refusal(t, e, gone, streamBody).Reason)

	mu.Lock()
	defer mu.Unlock()
	require.NotEmpty(t, seen)
	for name, values := range seen {
		require.NotEqual(t, "Authorization", name)
		require.False(t, strings.HasPrefix(name, "Ragwort-"), name)
		require.NotContains(t, strings.Join(values, " "), string(kid))
	}
	for _, p := range []*ragworttest.Process{e, side} {
		for _, s := range []string{secret, gone} {
			require.NotContains(t, p.Log.String(), strings.SplitN(s, "_", 3)[2])
		}
	}
}
