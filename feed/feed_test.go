package feed_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

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

func (s *scriptedTopic) Since(ctx context.Context, _ feed.Position, _ time.Duration) (feed.Page, error) {
	return s.next(ctx, "since")
}

// mapSink is a sink that keeps the newest value of each key.
type mapSink struct {
	mu         sync.Mutex
	values     map[string]string
	recoveries int
	rewinds    int
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

// Rewind implements feed.Sink. It holds every key that it has, and adds the others.
func (s *mapSink) Rewind(_ time.Time, records []feed.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rewinds++
	for _, r := range records {
		if _, held := s.values[r.Key]; !held {
			s.values[r.Key] = string(r.Value)
		}
	}
}

// record returns a record, that of a deleted key if the value is empty.
func record(offset feed.Offset, key, value string) feed.Record {
	r := feed.Record{Offset: offset, Key: key}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

func page(next feed.Offset, records ...feed.Record) feed.Page { return pageOf(0, next, records...) }

// pageOf returns a page of an era.
func pageOf(era feed.Era, next feed.Offset, records ...feed.Record) feed.Page {
	return feed.Page{Records: records, Next: feed.Position{Era: era, Offset: next}}
}

// runFollower runs a follower until its topic has returned all results. It returns the
// follower, its sink and the calls of the topic.
func runFollower(t *testing.T, results ...readResult) (*feed.Follower, *mapSink, []string) {
	topic, sink := &scriptedTopic{results: results, done: make(chan struct{})}, &mapSink{values: map[string]string{}}
	f := feed.New(feed.Config{Name: "test", ReadWait: func() time.Duration { return time.Minute }}, topic, sink, log.NewNopLogger(), metrics.NewRegistry())
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
		"a position beyond the end of the topic": {
			[]readResult{{page: page(5, record(4, "a", "5"))}, {err: &feed.BeyondEndError{From: 5, End: 3}}, {page: page(3, record(2, "a", "3"))}, {page: page(4, record(3, "a", "4"))}},
			[]string{"newest", "since", "newest", "since", "since"}, map[string]string{"a": "4"},
		},
		"a position that only one read calls wrong": {
			[]readResult{{page: page(5, record(4, "a", "5"))}, {err: &feed.BeyondEndError{From: 5, End: 3}}, {page: page(5, record(4, "a", "5"))}, {page: page(6, record(5, "a", "6"))}},
			[]string{"newest", "since", "newest", "since", "since"}, map[string]string{"a": "6"},
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

// TestLogNamesTheSourceOfRecords checks that the log of a topic that seldom changes tells whether records
// came from a read, a peer or a copy.
func TestLogNamesTheSourceOfRecords(t *testing.T) {
	var out strings.Builder
	f := feed.New(feed.Config{Name: "test", LogRecords: true}, nil, &mapSink{values: map[string]string{}}, log.NewLogfmtLogger(&out), metrics.NewRegistry())
	now := time.Now()
	require.True(t, f.Adopt(now, view(time.Time{}, 3, record(2, "a", "3"))))
	require.Contains(t, out.String(), "event=feed_applied from=copy")
	require.True(t, f.Adopt(now, view(now.Add(-time.Second), 4, record(3, "a", "4"))))
	require.Contains(t, out.String(), "event=feed_applied from=peer read_age=1s records=1 next=0/4")
}

// TestOutdatedViewIsLogged checks that the log tells when a view becomes too old, once, and when it no longer is.
func TestOutdatedViewIsLogged(t *testing.T) {
	var out strings.Builder
	f := feed.New(feed.Config{Name: "test"}, nil, &mapSink{values: map[string]string{}}, log.NewLogfmtLogger(&out), metrics.NewRegistry())
	now := time.Now()
	const limit = 2 * time.Second
	f.LogIfOutdated(now, limit)
	require.Empty(t, out.String(), "nothing is known yet")
	require.True(t, f.Adopt(now, view(now, 3, record(2, "a", "3"))))
	f.LogIfOutdated(now.Add(limit), limit)
	require.Empty(t, out.String())
	f.LogIfOutdated(now.Add(limit+time.Second), limit)
	f.LogIfOutdated(now.Add(limit+2*time.Second), limit)
	require.Equal(t, "topic=test event=feed_outdated view_age=3s at=0/3 peer_at=0/3\n", out.String())
	require.True(t, f.Adopt(now, view(now.Add(5*time.Second), 4, record(3, "a", "4"))))
	f.LogIfOutdated(now.Add(5*time.Second), limit)
	require.Contains(t, out.String(), "event=feed_current view_age=0s")
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
		v := ahead.ViewFor(feed.Position{Offset: next}, true)
		require.Equal(t, next >= 2, v.Incremental)
		if next >= 3 {
			continue // the view leaves out records that this follower lacks
		}
		require.True(t, f.Adopt(now, v))
		require.Equal(t, aheadSink.values, sink.values)
	}
	empty, sink, _ := runFollower(t, readResult{err: errUnavailable})
	require.True(t, empty.Adopt(now, ahead.ViewFor(feed.Position{}, false)))
	require.Equal(t, aheadSink.values, sink.values)
	require.Empty(t, ahead.ViewFor(feed.Position{Offset: 5}, true).Records)
}

// TestFreshPeerViewReplacesOwnReads guards against reads by every gateway: a follower with
// a recent view does not read again until it becomes the leader.
func TestFreshPeerViewReplacesOwnReads(t *testing.T) {
	topic := &scriptedTopic{results: []readResult{{page: page(1, record(0, "a", "1"))}}, done: make(chan struct{})}
	sink := &mapSink{values: map[string]string{}}
	var isLeader atomic.Bool
	f := feed.New(feed.Config{Name: "test", MaxPeerViewAge: func() time.Duration { return time.Hour }, IsLeader: isLeader.Load}, topic, sink, log.NewNopLogger(), metrics.NewRegistry())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	require.Eventually(t, func() bool { _, loaded := f.Contact(); return loaded }, 5*time.Second, time.Millisecond)
	isLeader.Store(true) // the second read must not happen before
	<-topic.done
	require.Equal(t, []string{"newest", "since"}, topic.calls)
}

// TestNewEraIsReadInFull checks that a follower whose store has come back from a copy reads
// everything anew, does not go back on what it has until the records are written again, and
// ignores what was asked for in the era before.
func TestNewEraIsReadInFull(t *testing.T) {
	f, sink, calls := runFollower(t,
		readResult{page: pageOf(1, 9, record(7, "a", "new"), record(8, "b", "new"))},
		readResult{err: &feed.EraError{Expected: 1, Actual: 2}},
		readResult{page: pageOf(2, 5, record(3, "a", "old"), record(4, "c", "old"))},
		readResult{page: pageOf(2, 6, record(5, "a", "newer"))},
		readResult{page: pageOf(1, 12, record(11, "a", "late answer"))},
	)
	require.Equal(t, []string{"newest", "since", "newest", "since", "since", "since"}, calls)
	require.Equal(t, map[string]string{"a": "newer", "b": "new", "c": "old"}, sink.values)
	require.Equal(t, 1, sink.rewinds)
	require.False(t, f.Settled())
	require.Equal(t, feed.Position{Era: 2, Offset: 6}, f.View().Next)
}

// TestFullReadsAreNoFurtherReturns guards against full reads, soon after a return of the store, that count as one more:
// listings that are removed then would stay in use.
func TestFullReadsAreNoFurtherReturns(t *testing.T) {
	_, sink, _ := runFollower(t,
		readResult{page: pageOf(1, 9, record(7, "a", "new"))},
		readResult{err: &feed.EraError{Expected: 1, Actual: 2}},
		readResult{page: pageOf(2, 5, record(3, "a", "old"))},
		readResult{err: &feed.TrimmedError{From: 5, First: 7}},
		readResult{page: pageOf(2, 8, record(7, "a", "newer"))},
	)
	require.Equal(t, 2, sink.rewinds)
	require.Equal(t, 1, sink.recoveries)
}

// TestPeersOfDifferentEras guards against a view of an older era that replaces one of a newer
// era by its higher offset, and against an incremental view across eras.
func TestPeersOfDifferentEras(t *testing.T) {
	behind, behindSink, _ := runFollower(t, readResult{page: pageOf(1, 9, record(8, "a", "new"))})
	ahead, aheadSink, _ := runFollower(t, readResult{page: pageOf(2, 3, record(2, "b", "1"))}, readResult{page: pageOf(2, 4, record(3, "b", "2"))})
	now := time.Now()
	require.False(t, ahead.Adopt(now, behind.ViewFor(feed.Position{}, false)))
	require.Equal(t, map[string]string{"b": "2"}, aheadSink.values)
	v := ahead.ViewFor(behind.View().Next, true)
	require.False(t, v.Incremental)
	require.True(t, behind.Adopt(now, v))
	require.Equal(t, map[string]string{"a": "new", "b": "2"}, behindSink.values)
	require.Empty(t, behind.ViewFor(ahead.View().Next, true).Records)
}

// eraStore is the content of a topic whose store can come back from a copy.
type eraStore struct {
	era     feed.Era
	records []feed.Record
}

func (s *eraStore) end() feed.Position {
	return feed.Position{Era: s.era, Offset: feed.Offset(len(s.records))}
}

func (s *eraStore) append(key, value string) {
	s.records = append(s.records, record(s.end().Offset, key, value))
}

// newest returns the newest record of each key that is not deleted.
func (s *eraStore) newest() feed.Page {
	latest := map[string]feed.Record{}
	for _, r := range s.records {
		latest[r.Key] = r
	}
	p := feed.Page{Next: s.end()}
	for _, r := range s.records {
		if latest[r.Key].Offset == r.Offset && r.Value != nil {
			p.Records = append(p.Records, r)
		}
	}
	return p
}

// versionSink is a sink of records whose values are versions; like the sinks of a gateway, it
// does not go back to an older version after a rewind.
type versionSink struct {
	t       require.TestingT
	highest map[string]string
}

func (s *versionSink) Replace(_ time.Time, records []feed.Record) { s.Apply(time.Time{}, records) }
func (s *versionSink) Recovered(time.Time)                        {}

func (s *versionSink) Rewind(_ time.Time, records []feed.Record) {
	for _, r := range records {
		s.highest[r.Key] = max(s.highest[r.Key], string(r.Value))
	}
}

func (s *versionSink) Apply(_ time.Time, records []feed.Record) {
	for _, r := range records {
		require.GreaterOrEqual(s.t, string(r.Value), s.highest[r.Key], "key %s went back", r.Key)
		s.highest[r.Key] = string(r.Value)
	}
}

// TestErasNeverBringBackOldRecords runs followers over random sequences of appends, reads,
// exchanges between peers and returns of the store from copies, after which writers write
// their newest records again. No follower may go back to an older version outside a rewind,
// and all must have the newest in the end.
func TestErasNeverBringBackOldRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &eraStore{era: 1}
		written := map[string]string{} // newest version of each key, as its writer knows
		version := 0
		write := func(key string) {
			version++
			written[key] = fmt.Sprintf("%06d", version)
			store.append(key, written[key])
		}
		write("a")
		var followers []*feed.Follower
		var sinks []*versionSink
		for range 3 {
			sink := &versionSink{t: t, highest: map[string]string{}}
			f := feed.New(feed.Config{Name: "test"}, nil, sink, log.NewNopLogger(), metrics.NewRegistry())
			followers, sinks = append(followers, f), append(sinks, sink)
		}
		now := time.Unix(1_800_000_000, 0)
		read := func(f *feed.Follower) { // as a peer that has just read everything
			f.Adopt(now, feed.View{Page: store.newest(), Loaded: true, Contact: now})
		}
		rewrite := func() {
			for _, key := range []string{"a", "b", "c"} {
				if written[key] != "" {
					store.append(key, written[key])
				}
			}
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			f := rapid.SampledFrom(followers).Draw(t, "follower")
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"))
			case 2, 3:
				read(f)
			case 4, 5:
				other := rapid.SampledFrom(followers).Draw(t, "peer")
				v := f.View()
				other.Adopt(now, f.ViewFor(other.View().Next, other.View().Loaded))
				require.Equal(t, v, f.View())
			case 6:
				keep := rapid.IntRange(1, len(store.records)).Draw(t, "kept")
				store.records = slices.Clone(store.records[:keep])
				store.era++
				if rapid.Bool().Draw(t, "read before the records are written again") {
					read(f)
				}
				rewrite()
			}
		}
		for i, f := range followers {
			read(f)
			require.Equal(t, store.end(), f.View().Next)
			require.Equal(t, written, sinks[i].highest)
		}
	})
}
