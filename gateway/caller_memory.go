package gateway

// This file defines which connections of callers are closed when they take all the memory or all the descriptors
// for them.
//
// A connection on which no request is being served can be closed without harm: its caller knows that
// nothing was read, and may send its request again. Those on which the process waits for a first request
// or for the rest of a head go first, the one that has kept it waiting longest before the others, so that
// callers that only connect displace each other. Idle ones that have carried requests follow.

import (
	"bytes"
	"context"
	"fmt"
	"iter"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/process"
)

const (
	// otherDescriptors is how many descriptors of a process are for other than sockets, and callerSocketFraction the
	// part of the sockets for callers: each request that is being served takes another one, to its upstream.
	otherDescriptors     = 200
	callerSocketFraction = 0.5
	// callerConnBytes is about what an open connection of a caller takes, and callerHeadReserve the part of
	// the memory for connections that is left to heads.
	callerConnBytes   = 10 << 10
	callerHeadReserve = 0.2
	// freeCallerHeadCost is the cost in bytes up to which the head of a request takes no memory of its own. Each byte
	// of a head costs callerHeadFactor, as it is kept as read and as parsed, and each line headLineBytes, as the table
	// of its fields is larger than short fields are.
	freeCallerHeadCost = 12 << 10
	callerHeadFactor   = 3
	headLineBytes      = 200
	// minHeadTime is how long the head of a request may take to arrive before its connection is closed for
	// others. Callers send theirs at once.
	minHeadTime = time.Second
	// maxHeadWait and maxAcceptWait are how long the rest of a head, or a new connection, waits for memory
	// that others give back, and roomCheckInterval the time between two looks. A connection that is closed
	// before its caller has sent everything takes half a second.
	maxHeadWait       = 500 * time.Millisecond
	maxAcceptWait     = 600 * time.Millisecond
	roomCheckInterval = 25 * time.Millisecond
	// closedLogInterval is the least time between two log lines about closed connections.
	closedLogInterval = time.Second
)

// maxCallers returns how many connections of callers a process with a number of descriptors may have; zero: not known.
func maxCallers(descriptors int) int { return socketPart(callerSocketFraction, descriptors) }

// socketPart returns a part of the sockets of a process with a number of descriptors; zero: not known.
func socketPart(fraction float64, descriptors int) int {
	return int(fraction * float64(max(0, descriptors-otherDescriptors)))
}

// callerPhase is what a connection of a caller is doing.
type callerPhase int

const (
	phaseServing callerPhase = iota // a request is being served, or the connection is closed
	phaseIdle                       // nothing of a request after the first was read
	phaseWaiting                    // the first request, or the rest of a head, has not come
	phaseHead                       // the same, and the head takes memory of its own
)

// callerState is what a connection of a caller is doing, since when.
type callerState struct {
	phase callerPhase
	since time.Time
}

// closesBefore reports whether a connection in state s is closed before one in state other.
func (s callerState) closesBefore(other callerState) bool {
	if (s.phase == phaseIdle) != (other.phase == phaseIdle) {
		return other.phase == phaseIdle
	}
	return s.since.Before(other.since)
}

// closable returns whether a connection may be closed for another one if it has been in its state for at
// least a period.
func closable(now time.Time, period time.Duration) func(callerState) bool {
	return func(s callerState) bool { return s.phase != phaseServing && now.Sub(s.since) >= period }
}

// stalled returns whether a connection may be closed for another one since it has kept the process waiting for at
// least minHeadTime.
func stalled(now time.Time) func(callerState) bool {
	return func(s callerState) bool {
		return (s.phase == phaseWaiting || s.phase == phaseHead) && now.Sub(s.since) >= minHeadTime
	}
}

// headLate returns whether a connection may be closed for the head that arrives on another one.
func headLate(now time.Time) func(callerState) bool {
	return func(s callerState) bool { return s.phase == phaseHead && now.Sub(s.since) >= minHeadTime }
}

// leastNeeded returns which of several connections to close first, of those that may be closed.
func leastNeeded[K any](states iter.Seq2[K, callerState], mayClose func(callerState) bool) (least K, found bool) {
	var of callerState
	for conn, s := range states {
		if mayClose(s) && (!found || s.closesBefore(of)) {
			least, of, found = conn, s, true
		}
	}
	return least, found
}

// makeRoom reserves memory for a connection. It closes others, of those that may be closed, as long as there
// is no room, and returns an error if none is left.
func (c *CallerConns) makeRoom(conn *callerConn, reserve func() error, mayClose func(callerState) bool) error {
	for {
		err := reserve()
		if err == nil {
			return nil
		}
		least, found := c.leastNeeded(conn, mayClose)
		if !found {
			return err
		}
		if least.closeForRoom() {
			c.noteClosed(time.Now(), "callers_closed_for_room", err)
		}
	}
}

// waitForRoom is makeRoom, but waits for a while until others give memory back.
func (c *CallerConns) waitForRoom(conn *callerConn, reserve func() error, mayClose func(callerState) bool, longest time.Duration) error {
	began := time.Now()
	err := c.makeRoom(conn, reserve, mayClose)
	for err != nil && time.Since(began) < longest {
		time.Sleep(roomCheckInterval)
		err = reserve()
	}
	return err
}

// admit reserves the descriptor and the memory for a new connection. If no other has kept the process waiting for long,
// it waits for a while, but not again at once, as more connections may have come; then it closes any that no
// request is being served on. Idle ones that have carried requests are closed only if no other keeps the process waiting.
func (c *CallerConns) admit(conn *callerConn) error {
	if conn.reserve() == nil {
		return nil
	}
	now, longest := time.Now(), maxAcceptWait
	if now.Sub(c.waitedInVain) < minHeadTime {
		longest = 0
	}
	mayClose := stalled(now)
	if _, waits := c.leastNeeded(conn, func(s callerState) bool { return s.phase == phaseWaiting || s.phase == phaseHead }); !waits {
		mayClose = closable(now, minHeadTime)
	}
	err := c.waitForRoom(conn, conn.reserve, mayClose, longest)
	if err != nil {
		c.waitedInVain = time.Now()
		err = c.makeRoom(conn, conn.reserve, closable(c.waitedInVain, 0))
	}
	if err != nil {
		c.noteClosed(time.Now(), "callers_turned_away", err)
	}
	return err
}

// leastNeeded returns which connection other than one to close first, of those that may be closed.
func (c *CallerConns) leastNeeded(except *callerConn, mayClose func(callerState) bool) (least *callerConn, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return leastNeeded(func(yield func(*callerConn, callerState) bool) {
		for conn := range c.conns {
			if conn != except && !yield(conn, conn.state()) {
				return
			}
		}
	}, mayClose)
}

// noteClosed counts a connection that was closed for want of memory, and logs it unless another one was
// logged just before.
func (c *CallerConns) noteClosed(now time.Time, counter string, err error) {
	counter = c.prefix + counter
	metrics.GetOrRegisterCounter(counter, c.registry).Inc(1)
	c.mu.Lock()
	quiet := now.Sub(c.closedLogged) < closedLogInterval
	if !quiet {
		c.closedLogged = now
	}
	open := len(c.conns)
	c.mu.Unlock()
	if !quiet {
		_ = c.logger.Log("event", counter, "connections", open, "err", err)
	}
}

// state returns what the connection is doing.
func (c *callerConn) state() callerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.serving:
		return callerState{phase: phaseServing}
	case c.idleSince.IsZero() && c.headCost > freeCallerHeadCost:
		return callerState{phaseHead, c.begunAt}
	case c.idleSince.IsZero():
		return callerState{phaseWaiting, c.begunAt}
	case c.served && process.Readable(c.Conn): // the next request has arrived
		return callerState{phase: phaseServing}
	case c.served:
		return callerState{phaseIdle, c.idleSince}
	}
	return callerState{phaseWaiting, c.idleSince}
}

// tooManyCallersError is why there is no room for a further connection.
type tooManyCallersError struct{ limit int64 }

func (e *tooManyCallersError) Error() string {
	return fmt.Sprintf("no descriptors for more than %d connections of callers", e.limit)
}

// reserve reserves the descriptor and the memory for the connection.
func (c *callerConn) reserve() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit := c.conns.maxOpen; limit > 0 && !c.counted {
		if c.conns.open.Add(1) > limit {
			c.conns.open.Add(-1)
			return &tooManyCallersError{limit}
		}
		c.counted = true
	}
	return c.share.GrowTo(callerConnBytes)
}

// reserveHead reserves the memory for the head that is being read.
func (c *callerConn) reserveHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	return c.headShare.GrowTo(c.headCost)
}

// release gives the memory of the connection back. The caller holds c.mu.
func (c *callerConn) release() {
	c.closed = true
	if c.counted {
		c.conns.open.Add(-1)
		c.counted = false
	}
	c.share.Release()
	c.headShare.Release()
}

// closeForRoom closes the connection unless a request is being served on it.
func (c *callerConn) closeForRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.serving {
		return false
	}
	c.release()
	_ = c.Close() // no request is lost: none was read
	return true
}

// releaseHead gives back the memory of the head of a request, for which the request has taken its own.
func releaseHead(ctx context.Context) {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headShare.Release()
}

// endServing records that the request of a connection was answered and nothing more is done for it, so that the
// connection may be closed for others.
func endServing(ctx context.Context, now time.Time) {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.begunAt = false, now
}

// headCost returns the bytes that a head takes of which a part was read.
func headCost(part []byte) int64 {
	return callerHeadFactor*int64(len(part)) + headLineBytes*int64(bytes.Count(part, lineEnd))
}

var lineEnd = []byte{'\n'}

// growHead reserves the memory for a head of which a further part was read, and waits for it for a while. It
// closes the connection if there is none.
func (c *callerConn) growHead(part []byte) bool {
	c.mu.Lock()
	if c.serving {
		c.mu.Unlock()
		return true
	}
	c.headCost += headCost(part)
	large := c.headCost > freeCallerHeadCost
	c.mu.Unlock()
	if !large {
		return true
	}
	err := c.conns.waitForRoom(c, c.reserveHead, headLate(time.Now()), maxHeadWait)
	if err != nil && c.closeForRoom() {
		c.conns.noteClosed(time.Now(), "heads_turned_away", err)
	}
	return err == nil
}
