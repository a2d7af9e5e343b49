package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/memory"
)

// askExplanation calls the operators' page.
func askExplanation(t *testing.T, h http.Handler, query string, key string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, "http://gateway/explain?"+query, http.NoBody)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// TestInvalidQuestions answers operators who are not told which value is wrong, and what was expected.
func TestInvalidQuestions(t *testing.T) {
	h := newExplainedGateway(1, false).ExplainHandler()
	for query, parts := range map[string][]string{
		"path=x":                             {"path", `"x"`, "begins with /"},
		"tokens=many":                        {"tokens", `"many"`, "a number from 0"},
		"tokens=-1&output_tokens=9999999999": {"tokens", `"-1"`, "output-tokens", `"9999999999"`},
		"deadline_ms=0":                      {"deadline-ms", `"0"`, "from 1"},
		"top=201":                            {"top", `"201"`, "from 1 to 200"},
		"part=system":                        {"part", `"system"`, "ID:TOKENS"},
		"part=" + strings.Repeat("a:1&part=", 256) + "a:1": {"part", `"257"`, "at most 256"},
		"host=a&host=b":                        {"host", "one value"},
		"hots=a":                               {"hots", "one of the parameters method, host"},
		"workspace=nobody":                     {"workspace", `"nobody"`, "configuration 3"},
		"host=models.example&path=/&service=x": {"service", `"x"`, "a service of route batch"},
		"host=%ff":                             {"host", "UTF-8"},
		"host=%c2%9b31m":                       {"host", "control characters"},
		"host=models.example&path=/%25zz":      {"path", `"/%zz"`, "begins with /"},
		"path=http://models.example/":          {"path", `"http://models.example/"`, "begins with /"},
		"path=/%zz":                            {"invalid URL escape"},
		"path=" + strings.Repeat("x", 5000):    {"path"},
	} {
		w := askExplanation(t, h, query, "")
		require.Equal(t, http.StatusBadRequest, w.Code, query)
		for _, part := range parts {
			require.Contains(t, w.Body.String(), part, query)
		}
		require.Less(t, w.Body.Len(), 2000)
	}
	require.Equal(t, http.StatusBadRequest, askExplanation(t, h, "workspace=hinge", "key-1").Code)
	require.Equal(t, http.StatusMethodNotAllowed, func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/explain", http.NoBody))
		return w.Code
	}())
}

// TestExplanationShowsNoKey answers keys that are seen in what operators pass on.
func TestExplanationShowsNoKey(t *testing.T) {
	h := newExplainedGateway(1, false).ExplainHandler()
	for _, key := range []string{"key-1", "secret-that-is-unknown"} {
		w := askExplanation(t, h, "host=models.example&path=/chat/", key)
		require.Equal(t, http.StatusOK, w.Code)
		require.NotContains(t, w.Body.String(), key)
		require.Contains(t, w.Body.String(), map[bool]string{true: `"key":"known","workspace":"korat-forge"`, false: `"key":"unknown"`}[key == "key-1"])
	}
	require.NotContains(t, askExplanation(t, h, "host=models.example&path=/chat/&workspace=hinge", "").Body.String(), "key-2")
}

// TestManyExplanationsAtOnce answers operators, or others, who ask without end: most are told to come back, nothing
// is kept, and none takes longer than an answer of the door may.
func TestManyExplanationsAtOnce(t *testing.T) {
	x := newExplainedGateway(6, true)
	server := httptest.NewServer(x.ExplainHandler())
	defer server.Close()
	var calls sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	began := time.Now()
	for range 60 {
		calls.Go(func() {
			resp, err := http.Get(server.URL + "/explain?host=models.example&path=/&" + url.Values{"part": {"a:5", "b:6"}}.Encode())
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.StatusCode]++
		})
	}
	calls.Wait()
	require.Less(t, time.Since(began), doorWriteTime)
	require.Positive(t, statuses[http.StatusOK])
	require.Positive(t, statuses[http.StatusServiceUnavailable])
	require.Equal(t, 60, statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable])
	require.Zero(t, x.deps.Memory.Pages.Used())
}

// TestExplanationWithoutMemory answers explanations that take memory beyond that of the door.
func TestExplanationWithoutMemory(t *testing.T) {
	x := newExplainedGateway(1, false)
	x.deps.Memory.Pages = memory.NewBudget(100)
	w := askExplanation(t, x.ExplainHandler(), "host=models.example&path=/", "")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
}

// TestExplanationPanics guards against a page that explains nothing any more after one explanation has panicked.
func TestExplanationPanics(t *testing.T) {
	x := newExplainedGateway(1, false)
	fleetTime := x.deps.FleetTime
	x.deps.FleetTime = func() time.Time { panic("no time") }
	h := x.ExplainHandler()
	require.Panics(t, func() { askExplanation(t, h, "host=models.example&path=/", "") })
	x.deps.FleetTime = fleetTime
	require.Equal(t, http.StatusOK, askExplanation(t, h, "host=models.example&path=/", "").Code)
}

// TestLongExplanationsLeaveTime guards against explanations that take a large part of a processor, one after the other.
func TestLongExplanationsLeaveTime(t *testing.T) {
	const took = 50 * time.Millisecond
	x := newExplainedGateway(1, false)
	fleetTime := x.deps.FleetTime
	x.deps.FleetTime = func() time.Time {
		time.Sleep(took)
		return fleetTime()
	}
	h, began := x.ExplainHandler(), time.Now()
	for range 2 {
		require.Equal(t, http.StatusOK, askExplanation(t, h, "host=models.example&path=/", "").Code)
	}
	require.GreaterOrEqual(t, time.Since(began), (explainPauseFactor+2)*took)
}
