package gateway

// This file defines why connections to upstreams are closed, which is why others are opened in their place.

import (
	"github.com/rcrowley/go-metrics"
)

// closeReason is why a connection to an upstream was closed, as in counters.
type closeReason string

const (
	closedIdle       closeReason = "idle"      // it was idle for too long
	closedByUpstream closeReason = "upstream"  // while it was idle
	closedAsked      closeReason = "asked"     // the response asked for it, or could only end so
	closedForeign    closeReason = "foreign"   // a response came that belongs to no request, or to another one
	closedRefusals   closeReason = "refusals"  // many requests were refused on it
	closedCancelled  closeReason = "cancelled" // the request was given up: its caller has left, or its time was over
	closedBroken     closeReason = "broken"    // the response did not come, or not all of it
	closedUnread     closeReason = "unread"    // nobody wanted the rest of the response
	closedUnwritten  closeReason = "unwritten" // the response ended before the request
	closedTooMany    closeReason = "too_many"  // enough others to the upstream were idle
	closedMemory     closeReason = "memory"    // there was no memory to keep it
)

// closeConn closes a connection and counts why.
func (c *UpstreamClient) closeConn(conn *upstreamConn, reason closeReason) {
	c.mu.Lock()
	c.noteClosed(conn, reason)
	c.mu.Unlock()
	conn.Close()
}

// noteClosed records that a connection is being closed. The caller holds c.mu.
func (c *UpstreamClient) noteClosed(conn *upstreamConn, reason closeReason) {
	metrics.GetOrRegisterCounter("upstream_closed_"+string(reason), c.registry).Inc(1)
	if c.open[conn.start]--; c.open[conn.start] <= 0 {
		delete(c.open, conn.start)
	}
}
