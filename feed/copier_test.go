package feed_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/feed"
)

// memoryCopyStore keeps copies in memory. Calls for unavailable places fail.
type memoryCopyStore struct {
	mu          sync.Mutex
	pages       []feed.Page
	unavailable []bool
	saves       int
	saved       chan struct{} // receives a value at each save
}

func newMemoryCopyStore(n int) *memoryCopyStore {
	return &memoryCopyStore{pages: make([]feed.Page, n), unavailable: make([]bool, n), saved: make(chan struct{}, 64)}
}

func (s *memoryCopyStore) Places() int { return len(s.pages) }

func (s *memoryCopyStore) Save(_ context.Context, place int, page feed.Page) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable[place] {
		return errors.New("the place is unavailable")
	}
	s.pages[place] = page
	s.saves++
	s.saved <- struct{}{}
	return nil
}

func (s *memoryCopyStore) Load(_ context.Context, place int) (feed.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable[place] {
		return feed.Page{}, errors.New("the place is unavailable")
	}
	return s.pages[place], nil
}

// unreadableTopic is a topic whose reads fail.
type unreadableTopic struct{}

func (unreadableTopic) Newest(context.Context) (feed.Page, error) {
	return feed.Page{}, errors.New("the topic cannot be read")
}

func (unreadableTopic) Since(context.Context, feed.Position, time.Duration) (feed.Page, error) {
	return feed.Page{}, errors.New("the topic cannot be read")
}

// copyPage returns a copy that holds one record, of key "a".
func copyPage(next feed.Offset, value string) feed.Page {
	return page(next, record(next-1, "a", value))
}

// startCopier runs a follower and its copier until the end of the test.
func startCopier(t *testing.T, topic feed.Topic, store feed.CopyStore, isLeader func() bool) (*feed.Follower, *mapSink) {
	t.Helper()
	sink := &mapSink{values: make(map[string]string)}
	f := feed.New(feed.Config{Name: "test"}, topic, sink, log.NewNopLogger(), metrics.NewRegistry())
	c := feed.NewCopier(f, store, 0, isLeader)
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { f.Run(ctx) })
	tasks.Go(func() { c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return f, sink
}

func TestStartLoadsNewestReachableCopy(t *testing.T) {
	store := newMemoryCopyStore(4)
	store.pages = []feed.Page{copyPage(7, "old"), copyPage(9, "new"), copyPage(12, "newer, out of reach"), {}}
	store.unavailable[2] = true
	f, sink := startCopier(t, unreadableTopic{}, store, func() bool { return true })
	require.Eventually(t, func() bool { return f.View().Next.Offset == 9 }, 5*time.Second, time.Millisecond)
	sink.mu.Lock()
	require.Equal(t, "new", sink.values["a"])
	sink.mu.Unlock()
	contact, loaded := f.Contact()
	require.True(t, loaded)
	require.True(t, contact.IsZero(), "a copy may be outdated and must not set a contact time")
	require.Zero(t, store.saves, "the content of a copy must not be saved while the topic cannot be read")
}

func TestCopiesFollowTheTopic(t *testing.T) {
	for _, tc := range []struct {
		name     string
		isLeader bool
		saves    int
	}{{"leader", true, 2}, {"other", false, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			store := newMemoryCopyStore(2)
			topic := &scriptedTopic{results: []readResult{{page: copyPage(3, "x")}, {page: copyPage(4, "y")}}, done: make(chan struct{})}
			leaderChecks := make(chan struct{}, 64)
			f, _ := startCopier(t, topic, store, func() bool { leaderChecks <- struct{}{}; return tc.isLeader })
			<-topic.done // both pages were read and the next read waits
			<-leaderChecks
			for range tc.saves {
				<-store.saved
			}
			require.Equal(t, feed.Offset(4), f.View().Next.Offset)
			store.mu.Lock()
			defer store.mu.Unlock()
			require.Equal(t, tc.saves, store.saves)
			if tc.isLeader {
				require.Equal(t, []feed.Page{copyPage(4, "y"), copyPage(4, "y")}, store.pages)
			}
		})
	}
}
