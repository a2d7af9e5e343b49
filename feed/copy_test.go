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

// places keeps copies in memory. Those that are out of reach answer nothing.
type places struct {
	mu    sync.Mutex
	held  []feed.Page
	away  []bool
	saves int
	saved chan struct{} // signalled at each copy
}

func newPlaces(n int) *places {
	return &places{held: make([]feed.Page, n), away: make([]bool, n), saved: make(chan struct{}, 64)}
}

func (p *places) Places() int { return len(p.held) }

func (p *places) Save(_ context.Context, place int, page feed.Page) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.away[place] {
		return errors.New("away")
	}
	p.held[place] = page
	p.saves++
	p.saved <- struct{}{}
	return nil
}

func (p *places) Load(_ context.Context, place int) (feed.Page, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.away[place] {
		return feed.Page{}, errors.New("away")
	}
	return p.held[place], nil
}

// outOfReach is a topic that cannot be read.
type outOfReach struct{}

func (outOfReach) Newest(context.Context) (feed.Page, error) {
	return feed.Page{}, errors.New("out of reach")
}

func (outOfReach) Since(context.Context, feed.Offset, time.Duration) (feed.Page, error) {
	return feed.Page{}, errors.New("out of reach")
}

func copied(next feed.Offset, value string) feed.Page { return page(next, record(next-1, "a", value)) }

func start(t *testing.T, topic feed.Topic, copies feed.CopyStore, leads func() bool) (*feed.Follower, *held) {
	t.Helper()
	sink := &held{values: make(map[string]string)}
	f := feed.New(feed.Config{Name: "test"}, topic, sink, log.NewNopLogger(), metrics.NewRegistry())
	c := feed.NewCopier(f, copies, 0, leads)
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

func TestStartTakesTheNewestCopyThatIsInReach(t *testing.T) {
	copies := newPlaces(4)
	copies.held = []feed.Page{copied(7, "old"), copied(9, "new"), copied(12, "newer, out of reach"), {}}
	copies.away[2] = true
	f, sink := start(t, outOfReach{}, copies, func() bool { return true })
	require.Eventually(t, func() bool { return f.View().Next == 9 }, 5*time.Second, time.Millisecond)
	sink.mu.Lock()
	require.Equal(t, "new", sink.values["a"])
	sink.mu.Unlock()
	contact, known := f.Contact()
	require.True(t, known)
	require.True(t, contact.IsZero(), "a copy does not say that it is current")
	require.Zero(t, copies.saves, "a copy is not copied while the topic cannot be read")
}

func TestCopiesFollowTheTopic(t *testing.T) {
	for _, tc := range []struct {
		name  string
		leads bool
		saves int
	}{{"leader", true, 2}, {"other", false, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			copies := newPlaces(2)
			topic := &script{steps: []step{{page: copied(3, "x")}, {page: copied(4, "y")}}, done: make(chan struct{})}
			asked := make(chan struct{}, 64)
			f, _ := start(t, topic, copies, func() bool { asked <- struct{}{}; return tc.leads })
			<-topic.done // both were read; the next read waits
			<-asked
			for range tc.saves {
				<-copies.saved
			}
			require.Equal(t, feed.Offset(4), f.View().Next)
			copies.mu.Lock()
			defer copies.mu.Unlock()
			require.Equal(t, tc.saves, copies.saves)
			if tc.leads {
				require.Equal(t, []feed.Page{copied(4, "y"), copied(4, "y")}, copies.held)
			}
		})
	}
}
