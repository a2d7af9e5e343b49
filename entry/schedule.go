package entry

// This file defines schedule, which says to whom heartbeats are due. Each peer of a
// small fleet is asked at every tick; among many, each is asked as often as the
// bytes a second allow that control may take.

import (
	"math/rand/v2"
	"time"
)

const (
	heartbeatBytes = 300 // of one exchange, there and back

	// Bytes a second that heartbeats may take, to entries and to sidecars. With the
	// log and the VM list they stay below 6 KB/s.
	entryBudget   = 1200
	sidecarBudget = 3000

	askAgain = time.Second // after a heartbeat that failed
	jitter   = 0.1         // of an interval
)

// peer is a process that heartbeats are sent to.
type peer struct {
	entry bool
	due   time.Time
}

// schedule holds the peers by their addresses. It is not safe for concurrent use.
type schedule struct {
	peers   map[string]*peer
	entries int // of the peers
}

func newSchedule() *schedule { return &schedule{peers: make(map[string]*peer)} }

// set replaces the peers. Those that stay keep their time; new ones are due at once.
// An address in both lists is an entry's.
func (s *schedule) set(now time.Time, entries, others []string) {
	old := s.peers
	s.peers = make(map[string]*peer, len(entries)+len(others))
	keep := func(address string, entry bool) {
		if s.peers[address] != nil {
			return
		}
		p := old[address]
		if p == nil {
			p = &peer{due: now}
		}
		p.entry = entry
		s.peers[address] = p
	}
	for _, a := range entries {
		keep(a, true)
	}
	s.entries = len(s.peers)
	for _, a := range others {
		keep(a, false)
	}
}

// due returns the peers to ask now, or all of them, and sets when each is asked
// next.
func (s *schedule) due(now time.Time, all bool) []string {
	var addresses []string
	for a, p := range s.peers {
		if !all && now.Before(p.due) {
			continue
		}
		p.due = now.Add(spread(s.interval(p.entry)))
		addresses = append(addresses, a)
	}
	return addresses
}

// spread shortens an interval at random, so that peers do not fall due together.
// Within half a tick an interval stays as it is.
func spread(d time.Duration) time.Duration {
	if d <= heartbeatEvery {
		return d - heartbeatEvery/2
	}
	return d - time.Duration(jitter*rand.Float64()*float64(d))
}

// failed asks a peer again soon.
func (s *schedule) failed(now time.Time, address string) {
	if p := s.peers[address]; p != nil && p.due.After(now.Add(askAgain)) {
		p.due = now.Add(askAgain)
	}
}

// interval returns the time between two heartbeats to one entry, or one sidecar.
func (s *schedule) interval(entry bool) time.Duration {
	n, budget := len(s.peers)-s.entries, sidecarBudget
	if entry {
		n, budget = s.entries, entryBudget
	}
	return max(heartbeatEvery, time.Duration(n*heartbeatBytes)*time.Second/time.Duration(budget))
}
