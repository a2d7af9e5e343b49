package gateway

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/quarantine"
)

// holdStore is a feed.CopyStore in memory, some of whose places may be down.
type holdStore struct {
	pages [3]feed.Page
	down  []int
	saves int
}

var errPlaceDown = errors.New("the place is down")

func (*holdStore) Places() int { return 3 }

func (s *holdStore) Save(_ context.Context, place int, p feed.Page) error {
	if slices.Contains(s.down, place) {
		return errPlaceDown
	}
	s.saves++
	s.pages[place] = p
	return nil
}

func (s *holdStore) Load(_ context.Context, place int) (feed.Page, error) {
	if slices.Contains(s.down, place) {
		return feed.Page{}, errPlaceDown
	}
	return s.pages[place], nil
}

// newHoldKeeper returns the keeper of a process that has just started.
func newHoldKeeper(store feed.CopyStore, leads bool, era *feed.Era) *holdKeeper {
	register := quarantine.New()
	return &holdKeeper{
		register: register, store: store, isLeader: func() bool { return leads }, fleetTime: time.Now, storeEra: func() feed.Era { return *era }, logger: log.NewNopLogger(),
		gateway: New(Deps{Quarantine: register, FleetTime: time.Now, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()}),
		table:   peer.NewTable(peer.Member{Node: "entry-0", Incarnation: 1}, time.Now()),
	}
}

// hold makes the keeper's register hold a part.
func (k *holdKeeper) hold(part id.PromptPart) {
	k.register.Restore(time.Now(), []quarantine.Hold{{Part: part, Since: time.Now(), Crashes: 3}})
}

// heldAfterStart returns the parts that a process holds whose first steps these are.
func heldAfterStart(store feed.CopyStore, era *feed.Era) (parts []id.PromptPart) {
	k := newHoldKeeper(store, false, era)
	for range store.Places() {
		k.step(context.Background())
	}
	for _, h := range k.register.Holds(time.Now()) {
		parts = append(parts, h.Part)
	}
	return parts
}

func TestHoldsAreSavedAndLoaded(t *testing.T) {
	store, era := &holdStore{}, feed.Era(1)
	k := newHoldKeeper(store, true, &era)
	require.True(t, k.step(t.Context()))
	require.Zero(t, store.saves, "there is nothing to save")
	k.hold("bad")
	require.True(t, k.step(t.Context()))
	require.True(t, k.step(t.Context()))
	require.Equal(t, 3, store.saves, "once at each place")
	require.Equal(t, []id.PromptPart{"bad"}, heldAfterStart(store, &era))
	k.register.Release(time.Now().Add(time.Second), "bad")
	require.True(t, k.step(t.Context()))
	require.Empty(t, heldAfterStart(store, &era), "a released part does not come back")
}

// TestHoldsAreSavedAgainInNewEra guards against a store that comes back from a copy without the
// holds.
func TestHoldsAreSavedAgainInNewEra(t *testing.T) {
	store, era := &holdStore{}, feed.Era(1)
	k := newHoldKeeper(store, true, &era)
	k.step(t.Context())
	k.hold("bad")
	k.step(t.Context())
	store.pages = [3]feed.Page{}
	era = 2
	k.step(t.Context())
	require.Equal(t, []id.PromptPart{"bad"}, heldAfterStart(store, &era))
}

// TestHoldsSurvivePlacesThatAreDown saves while one place is down and loads while another one is.
func TestHoldsSurvivePlacesThatAreDown(t *testing.T) {
	store, era := &holdStore{down: []int{2}}, feed.Era(1)
	k := newHoldKeeper(store, true, &era)
	k.step(t.Context())
	k.hold("bad")
	require.False(t, k.step(t.Context()))
	store.down = []int{0}
	require.Equal(t, []id.PromptPart{"bad"}, heldAfterStart(store, &era))
	store.down = nil
	require.True(t, k.step(t.Context()), "the missing place is saved as well")
	require.Len(t, store.pages[2].Records, 1)
}

func TestUnreadableHoldIsLeftOut(t *testing.T) {
	records, err := holdRecords([]quarantine.Hold{{Part: "bad", Since: time.UnixMilli(5), Crashes: 4}})
	require.NoError(t, err)
	records = append(records, feed.Record{Key: "other", Value: []byte("{")}, feed.Record{Key: "dropped"})
	require.Equal(t, []quarantine.Hold{{Part: "bad", Since: time.UnixMilli(5), Crashes: 4}}, parseHolds(records, log.NewNopLogger()))
}

// TestOddHoldIsLeftOut guards against a part that is held for ever, or a list of holds that no
// operator can see, because of a record that no gateway has saved.
func TestOddHoldIsLeftOut(t *testing.T) {
	store, era := &holdStore{}, feed.Era(1)
	for _, odd := range []feed.Record{
		{Key: "odd", Value: []byte("null")}, {Key: "odd", Value: []byte("{}")}, {Value: []byte(`{"since_unix_ms":5,"crashes":3}`)},
		{Key: "odd-\xff", Value: []byte(`{"since_unix_ms":5,"crashes":3}`)},
		{Key: "odd", Value: []byte(`{"since_unix_ms":5,"crashes":-3}`)}, {Key: "odd", Value: []byte(`{"since_unix_ms":5,"crashes":4294967296}`)},
		{Key: "odd", Value: []byte(`{"since_unix_ms":-5,"crashes":3}`)}, {Key: "odd", Value: []byte(`{"since_unix_ms":1e400,"crashes":3}`)},
		{Key: "odd", Value: []byte(strings.Repeat("[", 20_000))},
	} {
		require.Empty(t, parseHolds([]feed.Record{odd}, log.NewNopLogger()), "%q", odd.Value[:min(len(odd.Value), 64)])
	}
	good, err := holdRecords([]quarantine.Hold{{Part: "bad", Since: time.Now(), Crashes: 4}})
	require.NoError(t, err)
	for _, since := range []string{"9223372036854775807", "253402300800000", "1e18"} {
		store.pages[0] = feed.Page{Records: append([]feed.Record{{Key: "odd", Value: []byte(`{"since_unix_ms":` + since + `,"crashes":3}`)}}, good...)}
		require.Equal(t, []id.PromptPart{"bad"}, heldAfterStart(store, &era), since)
	}
}

// FuzzParseHolds checks that no saved record stops a start.
func FuzzParseHolds(f *testing.F) {
	f.Add("part", []byte(`{"since_unix_ms":5,"crashes":3}`))
	f.Add("", []byte(`{"since_unix_ms":1e40}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		holds := parseHolds([]feed.Record{{Key: key, Value: value}}, log.NewNopLogger())
		quarantine.New().Restore(time.Now(), holds)
		require.LessOrEqual(t, len(holds), 1)
	})
}
