package standin_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/standin"
)

// startReplicas runs a set of replicas until the test ends.
func startReplicas(t *testing.T, configs ...standin.ReplicaConfig) (context.Context, *standin.Store, *standin.Replicas) {
	s := standin.NewStore()
	rs := standin.NewReplicas(s)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { rs.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, cfg := range configs {
		_, err := rs.Start(cfg)
		require.NoError(t, err)
	}
	return ctx, s, rs
}

// putStatus writes a status as the router does.
func putStatus(s *standin.Store, text string) {
	s.Put(standin.StatusTopic, standin.RolloutKey("desk"), []byte(text))
}

func versions(rs *standin.Replicas) (all []id.Version) {
	for _, r := range rs.Listed() {
		all = append(all, r.Config.Version)
	}
	return all
}

// ask sends a request to a replica and returns the status, 0 if the connection broke.
func ask(r *standin.Replica, expected id.Upstream, path string) int {
	rq, err := http.NewRequest(http.MethodGet, "http://"+r.Address+path, http.NoBody)
	if err != nil {
		return 0
	}
	standin.SetRequestHeaders(rq.Header, "rq-1", "key-1", time.Minute)
	standin.SetExpectedReplica(rq.Header, expected)
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return 0
	}
	defer rs.Body.Close()
	_, _ = io.Copy(io.Discard, rs.Body)
	return rs.StatusCode
}

// TestRolloutIsCarriedOut has the platform act on each status, but not on one of an order before.
func TestRolloutIsCarriedOut(t *testing.T) {
	for _, c := range []struct {
		status string
		end    standin.RolloutState
		left   id.Version
	}{
		{`{"State":"done","Target":"v2"}`, standin.RolloutDone, "v2"},
		{`{"State":"rolled_back","Target":"v2"}`, standin.RolloutRolledBack, "v1"},
	} {
		t.Run(string(c.end), func(t *testing.T) {
			t.Parallel()
			ctx, s, rs := startReplicas(t, standin.ReplicaConfig{Service: "desk", Version: "v1"})
			putStatus(s, `{"State":"done","Target":"v2"}`) // of an order before
			r, err := rs.Order(ctx, standin.RolloutOrder{Service: "desk", Target: "v2", Within: time.Minute, Replicas: []standin.ReplicaConfig{{Service: "desk", Version: "v2"}}})
			require.NoError(t, err)
			require.Eventually(t, func() bool { return len(rs.Listed()) == 2 }, 10*time.Second, time.Millisecond)
			record := r.Record()
			_, ended := record.End()
			require.False(t, ended)
			putStatus(s, `{"State":"running","Target":"v2"}`)
			require.Eventually(t, func() bool { return len(r.Record().Statuses) == 1 }, 10*time.Second, time.Millisecond)
			require.Len(t, rs.Listed(), 2)
			putStatus(s, c.status)
			require.Eventually(t, func() bool {
				left := versions(rs)
				return len(left) == 1 && left[0] == c.left
			}, 20*time.Second, 10*time.Millisecond)
			record = r.Record()
			end, ended := record.End()
			require.True(t, ended)
			require.Equal(t, c.end, end.State)
			require.Empty(t, record.Problems)
		})
	}
}

// TestReplacedOrder has the platform keep the replicas of the newest target, whatever is still reported of
// the order before, and drain those of the target that was replaced.
func TestReplacedOrder(t *testing.T) {
	ctx, s, rs := startReplicas(t, standin.ReplicaConfig{Service: "desk", Version: "v1"})
	for _, target := range []id.Version{"v2", "v3"} {
		_, err := rs.Order(ctx, standin.RolloutOrder{Service: "desk", Target: target, Within: time.Minute, Replicas: []standin.ReplicaConfig{{Service: "desk", Version: target}}})
		require.NoError(t, err)
		putStatus(s, `{"State":"running","Target":"v2"}`)
	}
	require.Eventually(t, func() bool { return len(rs.Listed()) == 3 }, 10*time.Second, time.Millisecond)
	putStatus(s, `{"State":"rolled_back","Target":"v2"}`)
	time.Sleep(100 * time.Millisecond)
	putStatus(s, `{"State":"running","Target":"v3"}`)
	require.Eventually(t, func() bool { return !slices.Contains(versions(rs), "v2") }, 20*time.Second, 10*time.Millisecond)
	require.Never(t, func() bool { return !slices.Contains(versions(rs), "v3") }, 3*time.Second, 100*time.Millisecond)
}

// TestStatusThatIsNotAllowedIsReported writes statuses that no router may write.
func TestStatusThatIsNotAllowedIsReported(t *testing.T) {
	ctx, s, rs := startReplicas(t)
	r, err := rs.Order(ctx, standin.RolloutOrder{Service: "desk", Target: "v2", Within: time.Minute})
	require.NoError(t, err)
	putStatus(s, `{"State":"rolled_back","Target":"v2"}`)
	require.Eventually(t, func() bool { return len(r.Record().Statuses) == 1 }, 10*time.Second, time.Millisecond)
	putStatus(s, `{"State":"running","Target":"v2"}`)
	require.Eventually(t, func() bool { return len(r.Record().Problems) == 1 }, 10*time.Second, time.Millisecond)
	putStatus(s, `{"State":"paused","Target":"v2"}`)
	require.Eventually(t, func() bool { return len(r.Record().Problems) == 2 }, 10*time.Second, time.Millisecond)
	require.Contains(t, r.Record().Problems[0], "from rolled_back to running")
	require.Contains(t, r.Record().Problems[1], "expected running, done or rolled_back")
}

// TestDefects sends requests that meet a defect and such that do not.
func TestDefects(t *testing.T) {
	start := func(t *testing.T, d standin.Defect) (*standin.Replica, *standin.Replicas) {
		d.Share = 1
		_, _, rs := startReplicas(t, standin.ReplicaConfig{Service: "desk", Version: "v2", Work: 20 * time.Millisecond, Defect: d})
		return rs.Listed()[0], rs
	}
	isBad := func(rs *standin.Replicas, i int) bool { return rs.Runs()[i].Bad }
	t.Run("at once", func(t *testing.T) {
		r, rs := start(t, standin.Defect{Way: standin.BadFails})
		require.Equal(t, http.StatusInternalServerError, ask(r, r.ID, "/look/x"))
		require.True(t, isBad(rs, 0))
		require.Equal(t, http.StatusMisdirectedRequest, ask(r, "i-other", "/look/x"))
		require.Len(t, rs.MisdirectedRequests(), 1)
		require.Len(t, rs.Runs(), 1)
	})
	t.Run("on a path", func(t *testing.T) {
		r, rs := start(t, standin.Defect{Way: standin.BadFails, PathPrefix: "/stream/"})
		require.Equal(t, http.StatusOK, ask(r, r.ID, "/look/x"))
		require.Equal(t, http.StatusInternalServerError, ask(r, r.ID, "/stream/x"))
		require.False(t, isBad(rs, 0))
	})
	t.Run("later", func(t *testing.T) {
		r, rs := start(t, standin.Defect{Way: standin.BadSlow, After: 300 * time.Millisecond})
		require.Equal(t, http.StatusOK, ask(r, r.ID, "/look/x"))
		require.False(t, isBad(rs, 0))
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, http.StatusOK, ask(r, r.ID, "/stream/x"))
		require.True(t, isBad(rs, 1))
	})
	t.Run("under load", func(t *testing.T) {
		r, rs := start(t, standin.Defect{Way: standin.BadSlow, AtRunning: 2})
		var tasks sync.WaitGroup
		for range 2 {
			tasks.Go(func() { ask(r, r.ID, "/look/x") })
		}
		tasks.Wait()
		require.True(t, isBad(rs, 1))
		require.False(t, isBad(rs, 0))
	})
	t.Run("crashes", func(t *testing.T) {
		r, rs := start(t, standin.Defect{Way: standin.BadCrashes})
		require.Zero(t, ask(r, r.ID, "/look/x"))
		require.Eventually(t, func() bool { all := rs.Listed(); return len(all) == 1 && all[0] != r }, 10*time.Second, time.Millisecond)
		require.Eventually(t, func() bool { return rs.Runs()[0].Cut }, 10*time.Second, time.Millisecond)
	})
}
