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

// step is the answer to one read.
type step struct {
	page feed.Page
	err  error
}

// script is a topic that answers reads in turn, then nothing until the read ends.
type script struct {
	mu    sync.Mutex
	steps []step
	asked []string
	done  chan struct{}
}

func (s *script) next(ctx context.Context, call string) (feed.Page, error) {
	s.mu.Lock()
	s.asked = append(s.asked, call)
	if len(s.steps) == 0 {
		s.mu.Unlock()
		select {
		case s.done <- struct{}{}:
		case <-ctx.Done():
		}
		<-ctx.Done()
		return feed.Page{}, ctx.Err()
	}
	x := s.steps[0]
	s.steps = s.steps[1:]
	s.mu.Unlock()
	return x.page, x.err
}

func (s *script) Newest(ctx context.Context) (feed.Page, error) { return s.next(ctx, "newest") }

func (s *script) Since(ctx context.Context, _ feed.Offset, _ time.Duration) (feed.Page, error) {
	return s.next(ctx, "since")
}

// held is a sink that keeps the newest value of each key.
type held struct {
	mu       sync.Mutex
	values   map[string]string
	regained int
}

func (h *held) Replace(_ time.Time, records []feed.Record) {
	h.mu.Lock()
	h.values = map[string]string{}
	h.mu.Unlock()
	h.Apply(time.Time{}, records)
}

func (h *held) Apply(_ time.Time, records []feed.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		if r.Value == nil {
			delete(h.values, r.Key)
		} else {
			h.values[r.Key] = string(r.Value)
		}
	}
}

func (h *held) Recovered(time.Time) { h.regained++ }

func record(at feed.Offset, key, value string) feed.Record {
	r := feed.Record{Offset: at, Key: key}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

func page(next feed.Offset, records ...feed.Record) feed.Page {
	return feed.Page{Records: records, Next: next}
}

// follow runs a follower until its topic has given every answer.
func follow(t *testing.T, steps ...step) (*feed.Follower, *held, []string) {
	s, h := &script{steps: steps, done: make(chan struct{})}, &held{values: map[string]string{}}
	f := feed.New(feed.Config{Name: "test", ReadWait: time.Minute}, s, h, log.NewNopLogger(), metrics.NewRegistry())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(ended)
	}()
	<-s.done
	cancel()
	<-ended
	return f, h, s.asked
}

var errAway = errors.New("the store is away")

func TestFollowsATopic(t *testing.T) {
	for name, x := range map[string]struct {
		steps []step
		asked []string
		want  map[string]string
	}{
		"from the start": {
			[]step{{page: page(2, record(0, "a", "1"), record(1, "b", "2"))}, {page: page(4, record(2, "a", "3"), record(3, "b", ""))}},
			[]string{"newest", "since", "since"}, map[string]string{"a": "3"},
		},
		"failures before the first answer": {
			[]step{{err: errAway}, {err: errAway}, {page: page(1, record(0, "a", "1"))}},
			[]string{"newest", "newest", "newest", "since"}, map[string]string{"a": "1"},
		},
		"records that are gone": {
			[]step{{page: page(1, record(0, "a", "1"))}, {err: &feed.TrimmedError{From: 1, First: 9}}, {page: page(9, record(8, "b", "2"))}},
			[]string{"newest", "since", "newest", "since"}, map[string]string{"b": "2"},
		},
		"a full read that is behind": {
			[]step{{page: page(5, record(4, "a", "5"))}, {err: &feed.TrimmedError{From: 5, First: 6}}, {page: page(3, record(2, "a", "2"))}},
			[]string{"newest", "since", "newest", "since"}, map[string]string{"a": "5"},
		},
		"records that come again": {
			[]step{{page: page(2, record(1, "a", "new"))}, {page: page(3, record(0, "a", "old"), record(1, "a", "new"), record(2, "b", "1"))}},
			[]string{"newest", "since", "since"}, map[string]string{"a": "new", "b": "1"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, h, asked := follow(t, x.steps...)
			require.Equal(t, x.asked, asked)
			require.Equal(t, x.want, h.values)
		})
	}
}

func view(contact time.Time, next feed.Offset, records ...feed.Record) feed.View {
	return feed.View{Page: page(next, records...), Loaded: true, Contact: contact}
}

// TestAdoptsOnlyWhatReachesFurther takes views of peers.
func TestAdoptsOnlyWhatReachesFurther(t *testing.T) {
	f, h, _ := follow(t, step{page: page(5, record(4, "a", "5"))})
	now := time.Now()
	require.False(t, f.Adopt(now, view(now, 4, record(3, "a", "4"))))
	require.Equal(t, "5", h.values["a"])
	require.False(t, f.Adopt(now, view(now, 6)), "a peer that is ahead and was not asked sends no records")

	recent := now.Add(time.Hour)
	require.False(t, f.Adopt(now, view(recent, 5)))
	contact, known := f.Contact()
	require.True(t, known)
	require.Equal(t, recent, contact, "a peer that reaches as far vouches for what is known")

	require.True(t, f.Adopt(now, view(now, 7, record(6, "b", "7"))))
	require.Equal(t, map[string]string{"b": "7"}, h.values)
}

func TestPeerGivesTheFirstView(t *testing.T) {
	f, h, _ := follow(t, step{err: errAway})
	now := time.Now()
	require.NotZero(t, f.Failing(now))
	require.True(t, f.Adopt(now, view(now, 3, record(2, "a", "3"))))
	require.Equal(t, map[string]string{"a": "3"}, h.values)
	_, known := f.Contact()
	require.True(t, known)
}

// TestPeerTellsOfTheStoresReturn adopts a view that was read after the own reads
// failed: entries that lapsed meanwhile must get their time to come back.
func TestPeerTellsOfTheStoresReturn(t *testing.T) {
	f, h, _ := follow(t, step{page: page(5, record(4, "a", "5"))}, step{err: errAway})
	require.NotZero(t, f.Failing(time.Now()))
	later := time.Now().Add(time.Minute)
	require.True(t, f.Adopt(later, view(later, 6, record(5, "b", "6"))))
	require.Zero(t, f.Failing(later))
	require.Equal(t, 1, h.regained)
}

// TestPeerGetsWhatItLacks passes changes on, dropped keys too, from a follower that
// reads to others that are behind by any number of records.
func TestPeerGetsWhatItLacks(t *testing.T) {
	reads, h, _ := follow(t,
		step{page: page(2, record(0, "a", "1"), record(1, "b", "2"))},
		step{page: page(5, record(2, "c", "3"), record(3, "b", ""), record(4, "a", "4"))},
	)
	now := time.Now()
	for behind := range feed.Offset(5) {
		f, mine, _ := follow(t, step{page: page(2, record(0, "a", "1"), record(1, "b", "2"))})
		v := reads.ViewFor(behind, true)
		require.Equal(t, behind >= 2, v.Incremental)
		if behind >= 3 {
			continue // this follower lacks more than it would be given
		}
		require.True(t, f.Adopt(now, v))
		require.Equal(t, h.values, mine.values)
	}
	unknown, mine, _ := follow(t, step{err: errAway})
	require.True(t, unknown.Adopt(now, reads.ViewFor(0, false)))
	require.Equal(t, h.values, mine.values)
	require.Empty(t, reads.ViewFor(5, true).Records)
}

// TestOneReadsForAll lets peers vouch for a follower's view: it reads only when the
// view has become old.
func TestOneReadsForAll(t *testing.T) {
	s := &script{steps: []step{{page: page(1, record(0, "a", "1"))}}, done: make(chan struct{})}
	h := &held{values: map[string]string{}}
	var leads atomic.Bool
	f := feed.New(feed.Config{Name: "test", MaxPeerViewAge: time.Hour, IsLeader: leads.Load}, s, h, log.NewNopLogger(), metrics.NewRegistry())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	require.Eventually(t, func() bool { _, known := f.Contact(); return known }, 5*time.Second, time.Millisecond)
	leads.Store(true) // only now is there a second read
	<-s.done
	require.Equal(t, []string{"newest", "since"}, s.asked)
}
