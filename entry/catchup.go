package entry

// This file defines how an entry uses the log offsets that its peers report: it fetches
// the state that it lacks, and learns when it has caught up with them.

import (
	"context"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// fetchIfBehind fetches the state of a peer, in the background, if the offset that the
// peer reported is ahead of this entry.
func (e *Entry) fetchIfBehind(address string, offset id.Offset) {
	if address == "" || offset <= e.deps.State.Offset() {
		return
	}
	go e.deps.PeerFetcher.ObserveHeartbeat(context.Background(), time.Now(), address, offset)
}

// heartbeatRound collects the answers to heartbeats that are sent to several peers at once.
type heartbeatRound struct {
	onComplete func(maxOffset id.Offset)

	mu        sync.Mutex
	pending   int
	maxOffset id.Offset
}

// newHeartbeatRound returns a round of n peers. onComplete is called once all of them
// have answered or failed, with the highest offset that they reported; it is not called if
// n is zero.
func newHeartbeatRound(n int, onComplete func(maxOffset id.Offset)) *heartbeatRound {
	return &heartbeatRound{pending: n, onComplete: onComplete}
}

// peerDone records the offset that a peer reported, or zero if it did not answer.
func (r *heartbeatRound) peerDone(offset id.Offset) {
	r.mu.Lock()
	r.pending--
	r.maxOffset = max(r.maxOffset, offset)
	complete := r.pending == 0
	maxOffset := r.maxOffset
	r.mu.Unlock()
	if complete {
		r.onComplete(maxOffset)
	}
}
