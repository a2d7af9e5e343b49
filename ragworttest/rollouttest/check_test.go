package rollouttest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/ragworttest/rollouttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// playedRollout is a roll-out of 10 s with a request every 10 ms, of which the target gets one in share. Every
// bad one of these has a bad answer.
type playedRollout struct {
	share, bad int
	last       time.Duration // of the requests at the target
	state      standin.RolloutState
	endedAt    time.Duration
}

func (p playedRollout) exposure() rollouttest.Exposure {
	start := time.Unix(1000, 0)
	record := &standin.RolloutRecord{Service: "desk", Target: "v2", OrderedAt: start, Deadline: start.Add(10 * time.Second)}
	if p.state != "" {
		record.Statuses = []standin.StatusChange{
			{At: start, RolloutStatus: standin.RolloutStatus{State: standin.RolloutRunning, Target: "v2"}},
			{At: start.Add(p.endedAt), RolloutStatus: standin.RolloutStatus{State: p.state, Target: "v2"}},
		}
	}
	var runs []standin.ReplicaRun
	for i := range 1000 {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		run := standin.ReplicaRun{Request: id.Request(fmt.Sprint(i)), Service: "desk", Version: "v1", At: at, Ended: at}
		if i%p.share == 0 && at.Sub(start) <= p.last {
			run.Version = "v2"
			run.Bad = p.bad > 0 && i/p.share%p.bad == 0
		}
		runs = append(runs, run, standin.ReplicaRun{Service: "other", Version: "v2", At: at})
	}
	return rollouttest.Count(runs, record, rollouttest.TestedBounds, rollouttest.NoExcuse)
}

func TestExposure(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name   string
		played playedRollout
		bad    []string // violations if the version is bad
		good   []string // and if it is good
	}{
		{"rolled back in time", playedRollout{5, 2, 5 * second, standin.RolloutRolledBack, 5 * second}, nil, []string{"the good version was reported as rolled_back"}},
		{"done in time", playedRollout{1, 0, 10 * second, standin.RolloutDone, 9 * second}, []string{
			"the bad version got 1000 of 1000 requests, allowed 150", "the bad version was reported as done",
		}, nil},
		{"too much", playedRollout{2, 0, 5 * second, standin.RolloutRolledBack, 5 * second}, []string{"the bad version got 251 of 1000 requests, allowed 150"}, []string{"the good version was reported as rolled_back"}},
		{"too long", playedRollout{7, 1, 10 * second, standin.RolloutRolledBack, 10 * second}, []string{"the bad version got 22 requests later than 5s after bad answer 50"}, []string{"the good version was reported as rolled_back"}},
		{"late", playedRollout{20, 0, 5 * second, standin.RolloutRolledBack, 11 * second}, []string{"the bad version was reported as rolled_back 1s after the deadline"}, []string{"the good version was reported as rolled_back"}},
		{"done late", playedRollout{10, 0, 10 * second, standin.RolloutDone, 11 * second}, []string{"the bad version was reported as done"}, []string{"the good version was reported as done 1s after the deadline"}},
		{"never ended", playedRollout{20, 0, 5 * second, "", 0}, []string{"the bad version was not reported as rolled_back"}, []string{"the good version was not reported as done"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := c.played.exposure()
			require.Equal(t, c.bad, e.BadViolations(rollouttest.TestedBounds))
			require.Equal(t, c.good, e.GoodViolations())
		})
	}
}
