package entry

// This file defines what an entry makes of the offsets that its peers name: it
// fetches what it lacks, and learns when it holds as much as they do.

import (
	"context"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// heard takes the offset that a peer named. A fetch goes on beside the heartbeats.
func (e *Entry) heard(address string, offset id.Offset) {
	if address == "" || offset <= e.deps.State.Offset() {
		return
	}
	go e.deps.Catcher.ObserveHeartbeat(context.Background(), time.Now(), address, offset)
}

// round is one heartbeat to every peer.
type round struct {
	ended func(most id.Offset)

	mu   sync.Mutex
	left int
	most id.Offset
}

// newRound returns a round to n peers. Ended is called once all have answered or
// failed, with the highest offset that they named.
func newRound(n int, ended func(most id.Offset)) *round {
	return &round{left: n, ended: ended}
}

// done takes one peer's answer; zero: it did not answer.
func (r *round) done(offset id.Offset) {
	r.mu.Lock()
	r.left--
	r.most = max(r.most, offset)
	last := r.left == 0
	most := r.most
	r.mu.Unlock()
	if last {
		r.ended(most)
	}
}
