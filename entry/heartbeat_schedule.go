package entry

// This file defines heartbeatSchedule, which determines when heartbeats are due. In a
// small fleet every peer gets one at each tick; in a large fleet the interval grows so
// that heartbeats stay within a bandwidth budget.

import (
	"math/rand/v2"
	"time"
)

const (
	heartbeatExchangeBytes = 300 // request and response of one heartbeat

	// Budgets of an entry's heartbeats to entries and to sidecars. With them, the entry's
	// control traffic stays below 6 KB/s, including reads of the log and the VM list.
	entryBytesPerSecond   = 1200
	sidecarBytesPerSecond = 3000

	failedRetryDelay = time.Second // after a heartbeat that failed
	jitterFraction   = 0.1         // largest fraction by which an interval is shortened
)

// scheduledPeer is a process that heartbeats are sent to.
type scheduledPeer struct {
	entry bool      // the process is an entry
	due   time.Time // of the next heartbeat
}

// heartbeatSchedule holds the peers by address. It is not safe for concurrent use.
type heartbeatSchedule struct {
	peers   map[string]*scheduledPeer
	entries int // number of peers that are entries
}

func newHeartbeatSchedule() *heartbeatSchedule {
	return &heartbeatSchedule{peers: make(map[string]*scheduledPeer)}
}

// setPeers replaces the peers. Known peers keep their due time; new ones are due at once.
// An address in both lists counts as an entry.
func (s *heartbeatSchedule) setPeers(now time.Time, entries, others []string) {
	old := s.peers
	s.peers = make(map[string]*scheduledPeer, len(entries)+len(others))
	put := func(address string, entry bool) {
		if s.peers[address] != nil {
			return
		}
		p := old[address]
		if p == nil {
			p = &scheduledPeer{due: now}
		}
		p.entry = entry
		s.peers[address] = p
	}
	for _, a := range entries {
		put(a, true)
	}
	s.entries = len(s.peers)
	for _, a := range others {
		put(a, false)
	}
}

// due returns the addresses of the peers that are due, or of all peers, and sets the next due
// time of each returned peer.
func (s *heartbeatSchedule) due(now time.Time, all bool) []string {
	var addresses []string
	for a, p := range s.peers {
		if !all && now.Before(p.due) {
			continue
		}
		p.due = now.Add(withJitter(s.interval(p.entry)))
		addresses = append(addresses, a)
	}
	return addresses
}

// withJitter shortens an interval at random, so that heartbeats to many peers spread out.
// An interval of one tick loses half a tick instead, so that each tick finds the peer due.
func withJitter(d time.Duration) time.Duration {
	if d <= heartbeatInterval {
		return d - heartbeatInterval/2
	}
	return d - time.Duration(jitterFraction*rand.Float64()*float64(d))
}

// retrySoon makes a peer due again after failedRetryDelay, unless it is due earlier.
func (s *heartbeatSchedule) retrySoon(now time.Time, address string) {
	if p := s.peers[address]; p != nil && p.due.After(now.Add(failedRetryDelay)) {
		p.due = now.Add(failedRetryDelay)
	}
}

// interval returns the time between two heartbeats to the same entry or sidecar.
func (s *heartbeatSchedule) interval(entry bool) time.Duration {
	n, budget := len(s.peers)-s.entries, sidecarBytesPerSecond
	if entry {
		n, budget = s.entries, entryBytesPerSecond
	}
	return max(heartbeatInterval, time.Duration(n*heartbeatExchangeBytes)*time.Second/time.Duration(budget))
}
