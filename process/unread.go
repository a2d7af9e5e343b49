package process

// This file defines how a server that shuts down waits for requests that are on their way. http.Server.Shutdown closes connections
// by the state of the server: also those on which a request has arrived in part, and it drops a request whose head was read and that
// is not served yet.

import "time"

const (
	// unreadTimeout is how long a server that is shutting down waits for the request of a connection that it has accepted, or
	// answered a request on, just before.
	unreadTimeout      = 500 * time.Millisecond
	unreadPollInterval = 10 * time.Millisecond
)

// settle returns once no request may be on its way, and unreadTimeout later at the latest. It closes the connections of HTTP/1.1 that
// have no request. Time is counted by the looks, as a process that was stopped for a while has read nothing meanwhile.
func (c *Conns) settle() {
	recent := time.Now().Add(-unreadTimeout)
	for range unreadTimeout / unreadPollInterval {
		if !c.closeUnused(recent) {
			return
		}
		time.Sleep(unreadPollInterval)
	}
	c.closeUnused(time.Now())
}

// closeUnused closes the connections of HTTP/1.1 that have been idle since t or longer, and reports whether a request may be on its way
// on others.
func (c *Conns) closeUnused(t time.Time) (awaits bool) {
	for _, conn := range c.all() {
		if !conn.isMultiplexed() && !conn.closeIfIdleSince(t) && conn.mayBringRequest(t) {
			awaits = true
		}
	}
	return awaits
}

func (c *trackedConn) isMultiplexed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.multiplexed
}

// mayBringRequest reports whether a request of the connection is not served yet, or may be on its way: the connection has been idle, or the
// head incomplete, for less time than since t.
func (c *trackedConn) mayBringRequest(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.handled:
		return false
	case c.serving:
		return true
	case c.idleSince.IsZero():
		return c.begunAt.After(t)
	}
	return true // closeIfIdleSince has left it
}
