package tier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/tier"
)

// BenchmarkAdmission queues and dispatches one request while a request of each of
// 2,100 workspaces waits.
func BenchmarkAdmission(b *testing.B) {
	const workspaces = 2100
	q := tier.NewQueue(tier.DefaultConfig())
	now := epoch
	for i := range workspaces {
		k := classSpecs[i%len(classSpecs)]
		q.Push(now, &tier.Waiter{
			Request: id.Request(fmt.Sprintf("rq_%06d", i)), Workspace: id.Workspace(fmt.Sprintf("ws-%d", i)),
			Class: k.class, Tier: k.tier, Floor: k.floor, Share: 1, Cost: id.Tokens(10 + i%500), Arrived: now, StartBy: now.Add(100 * time.Hour),
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(200 * time.Microsecond)
		w, _ := tier.Selected(q.Next(now))
		q.Dispatch(now, w)
		w.Arrived = now
		q.Push(now, w)
	}
}
