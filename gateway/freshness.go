package gateway

// This file defines freshness, the time limits within which the platform's topics are read, so that a
// configuration is in force in time.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/feed"
)

const (
	// maxOperatorReadWait, maxGroupReadWait, maxPeerViewAge and maxGroupViewAge are the fields of
	// a freshness where the bound on configurations is long.
	maxOperatorReadWait = 2 * time.Second
	maxGroupReadWait    = 350 * time.Millisecond
	maxPeerViewAge      = 1100 * time.Millisecond
	maxGroupViewAge     = 1600 * time.Millisecond
	// shortestReadWait is the least that a freshness has, whatever the bound.
	shortestReadWait = 100 * time.Millisecond
	// newReadTime is how long a read on a new connection may take, with what it brings being put in force.
	newReadTime = 200 * time.Millisecond
	// lateRead is how long after it should have ended a read whose connection is silent has been
	// replaced by another.
	lateRead = feed.ReadOverdue + newReadTime
	// boundReserve is the part of the bound that is left for a gateway that is slow.
	boundReserve = 0.1
)

// freshness holds time limits that keep a fleet's view of the operators' topic within a bound, also if all
// connections to the store fall silent at once.
type freshness struct {
	// operatorReadWait is how long a read of the operators' topic waits for a record, so that it also
	// limits how long a silent connection goes unnoticed.
	operatorReadWait time.Duration
	// groupReadWait is the same for a gateway that reads for others. A view is up to two waits old before the next
	// read ends, and two rounds of peers later those of all must not be older than maxPeerViewAge.
	groupReadWait time.Duration
	// maxPeerViewAge limits the age of a peer's view of a topic that replaces an own read.
	maxPeerViewAge time.Duration
	// maxGroupViewAge is the same for a gateway that takes over the views of the reader of its group. That
	// one has then had the time to read for itself.
	maxGroupViewAge time.Duration
}

// newFreshness returns the limits for a bound on the time from the publication of a configuration until it is
// in force. A bound of less than about 0.7 s can only be kept while no connection falls silent.
func newFreshness(bound time.Duration) freshness {
	longest := time.Duration(float64(bound)*(1-boundReserve)) - lateRead
	longestWait, longestViewAge := max(longest, shortestReadWait), max(longest-feed.ViewCheckInterval, shortestReadWait)
	return freshness{
		operatorReadWait: min(maxOperatorReadWait, bound/2, longestWait),
		groupReadWait:    min(maxGroupReadWait, bound/4, longestWait),
		maxPeerViewAge:   min(maxPeerViewAge, longestViewAge),
		maxGroupViewAge:  min(maxGroupViewAge, longestViewAge),
	}
}
