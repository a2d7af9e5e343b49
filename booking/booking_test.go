package booking_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/booking"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

var (
	start       = time.Unix(1_800_000_000, 0)
	digest      = booking.DigestOf("POST", "/bookings", []byte("a"))
	otherDigest = booking.DigestOf("POST", "/bookings", []byte("b"))
	callKey     = booking.CallKey{Workspace: "forge", IdempotencyKey: "key"}
)

func intend(t *booking.Table, rq string, d booking.Digest) bool {
	return t.ApplyIntent(1, start, &ragwortv1.BookingIntended{Workspace: "forge", IdempotencyKey: "key", Request: rq, BodyDigest: d[:]})
}

func settle(t *booking.Table, rq string, o booking.Outcome) bool {
	return t.ApplySettlement(start, &ragwortv1.BookingSettled{Workspace: "forge", IdempotencyKey: "key", Request: rq, Outcome: string(o)})
}

// TestDecide applies records to a table and checks the decisions for two requests with
// the same call. At most one of them may own the call, and so run it.
func TestDecide(t *testing.T) {
	type step func(t *booking.Table) bool
	intended := func(rq string) step { return func(t *booking.Table) bool { return intend(t, rq, digest) } }
	settled := func(rq string, o booking.Outcome) step {
		return func(t *booking.Table) bool { return settle(t, rq, o) }
	}
	refused := func(s step) step { return func(t *booking.Table) bool { return !s(t) } }
	cases := []struct {
		name  string
		steps []step
		one   booking.Decision // for request one
		two   booking.Decision // for request two
	}{
		{"no records", nil, &booking.Free{}, &booking.Free{}},
		{"one intends", []step{intended("one")}, &booking.Owned{}, &booking.Pending{}},
		{"both intend", []step{intended("one"), refused(intended("two"))}, &booking.Owned{}, &booking.Pending{}},
		{"answered", []step{intended("one"), settled("one", booking.Answered)}, &booking.Replay{}, &booking.Replay{}},
		{"unknown", []step{intended("one"), settled("one", booking.Unknown)}, &booking.Replay{}, &booking.Replay{}},
		{"first settlement wins", []step{
			intended("one"), settled("one", booking.Unknown), refused(settled("one", booking.Answered)), refused(settled("one", booking.NotRun)),
		}, &booking.Replay{}, &booking.Replay{}},
		{"not run is free", []step{intended("one"), settled("one", booking.NotRun)}, &booking.Free{}, &booking.Free{}},
		{"the next intent after not run owns the call", []step{intended("one"), settled("one", booking.NotRun), intended("two")}, &booking.Pending{}, &booking.Owned{}},
		{"late settlement of an intent that was settled as not run", []step{
			intended("one"), settled("one", booking.NotRun), intended("two"), refused(settled("one", booking.Unknown)),
		}, &booking.Pending{}, &booking.Owned{}},
		{"settlement by a request that is not the owner", []step{refused(settled("one", booking.Answered)), intended("one"), refused(settled("two", booking.NotRun))}, &booking.Owned{}, &booking.Pending{}},
	}
	for _, c := range cases {
		table := booking.NewTable()
		for i, s := range c.steps {
			require.True(t, s(table), "%s: step %d", c.name, i)
		}
		require.IsType(t, c.one, booking.Decide(table.Find(callKey), "one", digest), c.name)
		require.IsType(t, c.two, booking.Decide(table.Find(callKey), "two", digest), c.name)
		if table.Find(callKey) != nil && !isFree(c.one) {
			require.IsType(t, &booking.Mismatch{}, booking.Decide(table.Find(callKey), "two", otherDigest), c.name)
		}
	}
}

func isFree(d booking.Decision) bool {
	_, ok := d.(*booking.Free)
	return ok
}

// TestRetention checks that a call expires when its retention has passed since its last
// record.
func TestRetention(t *testing.T) {
	table := booking.NewTable()
	require.True(t, intend(table, "one", digest))
	table.Expire(start.Add(booking.Retention - time.Second))
	require.Equal(t, 1, table.Len())
	require.True(t, table.ApplySettlement(start.Add(time.Hour), &ragwortv1.BookingSettled{
		Workspace: "forge", IdempotencyKey: "key", Request: "one", Outcome: string(booking.Answered),
	}))
	table.Expire(start.Add(booking.Retention))
	require.Equal(t, 1, table.Len(), "the settlement must restart the retention")
	table.Expire(start.Add(booking.Retention + time.Hour))
	require.Zero(t, table.Len())
}
