package problem_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/problem"
)

func TestPromisesNotRun(t *testing.T) {
	var promises []int
	for status := 100; status < 600; status++ {
		if problem.PromisesNotRun(status) {
			promises = append(promises, status)
		}
	}
	require.Equal(t, []int{408, 421, 429, 503}, promises)
}

// TestUnknownRunIsNotPromisedAway writes refusals with every status of a refusal. One whose run
// is unknown, or not stated, must not have a status or a header that says that it did not run.
func TestUnknownRunIsNotPromisedAway(t *testing.T) {
	for _, run := range []problem.RunStatus{problem.NotRun, problem.RunUnknown, ""} {
		for status := 400; status < 600; status++ {
			for _, repeatable := range []bool{false, true} {
				p := problem.New(problem.UpstreamFailed, run, status, "broken").WithRetryAfter(1500 * time.Millisecond)
				p.Repeatable = repeatable
				w := httptest.NewRecorder()
				w.Header().Set("Retry-After", "7") // by a writer that has not looked at the run
				p.Write(w)

				wantStatus, wantWait := status, "2"
				if run != problem.NotRun {
					if problem.PromisesNotRun(status) {
						wantStatus = http.StatusBadGateway
					}
					if !repeatable {
						wantWait = ""
					}
				}
				name := string(run) + " " + strconv.Itoa(status)
				require.Equal(t, wantStatus, w.Code, name)
				require.Equal(t, wantWait, w.Header().Get("Retry-After"), name)
				var document map[string]any
				require.NoError(t, json.Unmarshal(w.Body.Bytes(), &document))
				require.EqualValues(t, wantStatus, document["status"], name)
				require.Equal(t, http.StatusText(wantStatus), document["title"], name)
				require.Equal(t, status, p.Status, "Write must not change the problem")
			}
		}
	}
}

// TestWriteKeepsHeaderOfNotRun writes a refusal whose Retry-After its writer has set itself.
func TestWriteKeepsHeaderOfNotRun(t *testing.T) {
	w := httptest.NewRecorder()
	w.Header().Set("Retry-After", "0.300")
	problem.New(problem.UpstreamBusy, problem.NotRun, http.StatusServiceUnavailable, "full").Write(w)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "0.300", w.Header().Get("Retry-After"))
}
