package feed_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/feed"
)

// readResult is the result of one read.
type readResult struct {
	page feed.Page
	err  error
}

// scriptedTopic is a topic whose reads return the given results in turn. Further reads
// block until their context is done.
type scriptedTopic struct {
	mu      sync.Mutex
	results []readResult
	calls   []string
	done    chan struct{} // receives a value when a read blocks
}

func (s *scriptedTopic) next(ctx context.Context, call string) (feed.Page, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.results) == 0 {
		s.mu.Unlock()
		select {
		case s.done <- struct{}{}:
		case <-ctx.Done():
		}
		<-ctx.Done()
		return feed.Page{}, ctx.Err()
	}
	result := s.results[0]
	s.results = s.results[1:]
	s.mu.Unlock()
	return result.page, result.err
}

func (s *scriptedTopic) Newest(ctx context.Context) (feed.Page, error) { return s.next(ctx, "newest") }

func (s *scriptedTopic) Since(ctx context.Context, _ feed.Offset, _ time.Duration) (feed.Page, error) {
	return s.next(ctx, "since")
}

// mapSink is a sink that keeps the newest value of each key.
type mapSink struct {
	mu         sync.Mutex
	values     map[string]string
	recoveries int
}

func (s *mapSink) Replace(_ time.Time, records []feed.Record) {
	s.mu.Lock()
	s.values = map[string]string{}
	s.mu.Unlock()
	s.Apply(time.Time{}, records)
}

func (s *mapSink) Apply(_ time.Time, records []feed.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if r.Value == nil {
			delete(s.values, r.Key)
		} else {
			s.values[r.Key] = string(r.Value)
		}
	}
}

func (s *mapSink) Recovered(time.Time) { s.recoveries++ }

// record returns a record, that of a deleted key if the value is empty.
func record(offset feed.Offset, key, value string) feed.Record {
	r := feed.Record{Offset: offset, Key: key}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

func page(next feed.Offset, records ...feed.Record) feed.Page {
	return feed.Page{Records: records, Next: next}
}

// runFollower runs a follower until its topic has returned all results. It returns the
// follower, its sink and the calls of the topic.
func runFollower(t *testing.T, results ...readResult) (*feed.Follower, *mapSink, []string) {
	topic, sink := &scriptedTopic{results: results, done: make(chan struct{})}, &mapSink{values: map[string]string{}}
	f := feed.New(feed.Config{Name: "test", ReadWait: time.Minute}, topic, sink, log.NewNopLogger(), metrics.NewRegistry())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(ended)
	}()
	<-topic.done
	cancel()
	<-ended
	return f, sink, topic.calls
}

var errUnavailable = errors.New("the store is unavailable")

func TestFollowerReadsTopic(t *testing.T) {
	for name, tc := range map[string]struct {
		results []readResult
		calls   []string
		want    map[string]string
	}{
		"from the start": {
			[]readResult{{page: page(2, record(0, "a", "1"), record(1, "b", "2"))}, {page: page(4, record(2, "a", "3"), record(3, "b", ""))}},
			[]string{"newest", "since", "since"}, map[string]string{"a": "3"},
		},
		"failures before the first success": {
			[]readResult{{err: errUnavailable}, {err: errUnavailable}, {page: page(1, record(0, "a", "1"))}},
			[]string{"newest", "newest", "newest", "since"}, map[string]string{"a": "1"},
		},
		"records that are no longer kept": {
			[]readResult{{page: page(1, record(0, "a", "1"))}, {err: &feed.TrimmedError{From: 1, First: 9}}, {page: page(9, record(8, "b", "2"))}},
			[]string{"newest", "since", "newest", "since"}, map[string]string{"b": "2"},
		},
		"a full read that is older than the view": {
			[]readResult{{page: page(5, record(4, "a", "5"))}, {err: &feed.TrimmedError{From: 5, First: 6}}, {page: page(3, record(2, "a", "2"))}},
			[]string{"newest", "since", "newest", "since"}, map[string]string{"a": "5"},
		},
		"records that are repeated": {
			[]readResult{{page: page(2, record(1, "a", "new"))}, {page: page(3, record(0, "a", "old"), record(1, "a", "new"), record(2, "b", "1"))}},
			[]string{"newest", "since", "since"}, map[string]string{"a": "new", "b": "1"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, sink, calls := runFollower(t, tc.results...)
			require.Equal(t, tc.calls, calls)
			require.Equal(t, tc.want, sink.values)
		})
	}
}

func view(contact time.Time, next feed.Offset, records ...feed.Record) feed.View {
	return feed.View{Page: page(next, records...), Loaded: true, Contact: contact}
}

// TestAdoptTakesOnlyNewerViews guards against going back to an older view of a peer, and
// against losing records to a newer view that comes without them.
func TestAdoptTakesOnlyNewerViews(t *testing.T) {
	f, sink, _ := runFollower(t, readResult{page: page(5, record(4, "a", "5"))})
	now := time.Now()
	require.False(t, f.Adopt(now, view(now, 4, record(3, "a", "4"))))
	require.Equal(t, "5", sink.values["a"])
	require.False(t, f.Adopt(now, view(now, 6)), "a newer view without records must not be adopted")

	recent := now.Add(time.Hour)
	require.False(t, f.Adopt(now, view(recent, 5)))
	contact, loaded := f.Contact()
	require.True(t, loaded)
	require.Equal(t, recent, contact, "an equally new view shows that the own view is current")

	require.True(t, f.Adopt(now, view(now, 7, record(6, "b", "7"))))
	require.Equal(t, map[string]string{"b": "7"}, sink.values)
}

func TestFirstViewFromPeer(t *testing.T) {
	f, sink, _ := runFollower(t, readResult{err: errUnavailable})
	now := time.Now()
	require.NotZero(t, f.Failing(now))
	require.True(t, f.Adopt(now, view(now, 3, record(2, "a", "3"))))
	require.Equal(t, map[string]string{"a": "3"}, sink.values)
	_, loaded := f.Contact()
	require.True(t, loaded)
}

// TestPeerViewEndsOutage guards against a sink that does not learn of the end of an
// outage when a peer reads the topic again first: listings that expired meanwhile must
// get time to reappear.
func TestPeerViewEndsOutage(t *testing.T) {
	f, sink, _ := runFollower(t, readResult{page: page(5, record(4, "a", "5"))}, readResult{err: errUnavailable})
	require.NotZero(t, f.Failing(time.Now()))
	later := time.Now().Add(time.Minute)
	require.True(t, f.Adopt(later, view(later, 6, record(5, "b", "6"))))
	require.Zero(t, f.Failing(later))
	require.Equal(t, 1, sink.recoveries)
}

// TestViewForReturnsMissingRecords guards against records that do not reach a peer, also
// those of deleted keys, however many records the peer is behind.
func TestViewForReturnsMissingRecords(t *testing.T) {
	ahead, aheadSink, _ := runFollower(t,
		readResult{page: page(2, record(0, "a", "1"), record(1, "b", "2"))},
		readResult{page: page(5, record(2, "c", "3"), record(3, "b", ""), record(4, "a", "4"))},
	)
	now := time.Now()
	for next := range feed.Offset(5) {
		f, sink, _ := runFollower(t, readResult{page: page(2, record(0, "a", "1"), record(1, "b", "2"))})
		v := ahead.ViewFor(next, true)
		require.Equal(t, next >= 2, v.Incremental)
		if next >= 3 {
			continue // the view leaves out records that this follower lacks
		}
		require.True(t, f.Adopt(now, v))
		require.Equal(t, aheadSink.values, sink.values)
	}
	empty, sink, _ := runFollower(t, readResult{err: errUnavailable})
	require.True(t, empty.Adopt(now, ahead.ViewFor(0, false)))
	require.Equal(t, aheadSink.values, sink.values)
	require.Empty(t, ahead.ViewFor(5, true).Records)
}

// TestFreshPeerViewReplacesOwnReads guards against reads by every gateway: a follower with
// a recent view does not read again until it becomes the leader.
func TestFreshPeerViewReplacesOwnReads(t *testing.T) {
	topic := &scriptedTopic{results: []readResult{{page: page(1, record(0, "a", "1"))}}, done: make(chan struct{})}
	sink := &mapSink{values: map[string]string{}}
	var isLeader atomic.Bool
	f := feed.New(feed.Config{Name: "test", MaxPeerViewAge: time.Hour, IsLeader: isLeader.Load}, topic, sink, log.NewNopLogger(), metrics.NewRegistry())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	require.Eventually(t, func() bool { _, loaded := f.Contact(); return loaded }, 5*time.Second, time.Millisecond)
	isLeader.Store(true) // the second read must not happen before
	<-topic.done
	require.Equal(t, []string{"newest", "since"}, topic.calls)
}
