package process

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
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// OtherDescriptors is how many descriptors of a process are for other than sockets, and callerSocketFraction the
	// part of the sockets for callers: each request that is being served takes another one, to its upstream.
	OtherDescriptors     = 200
	callerSocketFraction = 0.5
	// connBytes is about what an open connection of a caller takes, and headReserve the part of
	// the memory for connections that is left to heads.
	connBytes   = 10 << 10
	headReserve = 0.2
	// connReserve is the part of the memory for connections that heads leave to connections: requests whose bodies never
	// end keep the memory of their heads, and others must be able to come in.
	connReserve = 0.25
	// freeHeadCost is the cost in bytes up to which a head takes no memory of its own. Each byte of a head costs
	// headByteFactor, as it is kept as read and as parsed.
	freeHeadCost   = 12 << 10
	headByteFactor = 3
	// headLineBytes is what a line of a head takes besides its bytes, and requestFieldBytes what a field of a request does, beyond
	// freeFields: it is kept as received and as it is sent.
	headLineBytes     = 200
	requestFieldBytes = 2 * headLineBytes
	freeFields        = 32
	// minHeadTime is how long the head of a request may take to arrive before its connection is closed for
	// others. Callers send theirs at once.
	minHeadTime = time.Second
	// minBodyRate is how many bytes a second of a body have to arrive, from minHeadTime on, before its connection may be closed for
	// others. Callers send theirs at once.
	minBodyRate = 64 << 10
	// minUnreadTime is how long a caller has to have read nothing of an answer before its connection may be closed for
	// others.
	minUnreadTime = 5 * time.Second
	// maxHeadWait and maxRoomWait are how long the rest of a head, or a new connection, waits for memory
	// that others give back, and roomCheckInterval the time between two looks. A connection that is closed
	// before its caller has sent everything takes half a second.
	maxHeadWait       = 500 * time.Millisecond
	maxRoomWait       = 600 * time.Millisecond
	roomCheckInterval = 25 * time.Millisecond
	// closedLogInterval is the least time between two log lines about closed connections.
	closedLogInterval = time.Second
)

// MaxCallers returns how many connections of callers a process with a number of descriptors may have; zero: not known.
func MaxCallers(descriptors int) int { return SocketPart(callerSocketFraction, descriptors) }

// SocketPart returns a part of the sockets of a process with a number of descriptors; zero: not known.
func SocketPart(fraction float64, descriptors int) int {
	return int(fraction * float64(max(0, descriptors-OtherDescriptors)))
}

// connPhase is what a connection of a caller is doing.
type connPhase int

const (
	phaseServing  connPhase = iota // a request is being served, or the connection is closed
	phaseIdle                      // nothing of a request after the first was read
	phaseWaiting                   // the first request, or the rest of a head, has not come
	phaseHead                      // the same, and the head takes memory of its own
	phaseBody                      // the rest of the body has not come, since the last part or since it would have at minBodyRate
	phaseRest                      // the same, and the request was answered
	phaseRestHead                  // the same, and its head takes memory of its own
	phaseUnread                    // the caller has not read what was written of an answer
)

// connState is what a connection of a caller is doing, since when.
type connState struct {
	phase connPhase
	since time.Time
}

// closesBefore reports whether a connection in state s is closed before one in state other.
func (s connState) closesBefore(other connState) bool {
	if (s.phase == phaseIdle) != (other.phase == phaseIdle) {
		return other.phase == phaseIdle
	}
	return s.since.Before(other.since)
}

// closable returns whether a connection may be closed for another one if it has been in its state for at
// least a period, or for minHeadTime if that is longer and the body of its request is arriving.
func closable(now time.Time, period time.Duration) func(connState) bool {
	return func(s connState) bool {
		if s.readsBody() {
			return now.Sub(s.since) >= max(period, minHeadTime)
		}
		return s.phase != phaseServing && s.phase != phaseUnread && now.Sub(s.since) >= period
	}
}

// readsBody returns whether the body of a connection's request has not come whole, so that nothing was passed on.
func (s connState) readsBody() bool { return s.phase == phaseBody || s.answered() }

// answered returns whether nothing but the rest of a body is awaited, whose request was answered.
func (s connState) answered() bool { return s.phase == phaseRest || s.keepsHead() }

// keepsHead returns whether that is so, and the head of the request takes memory of its own.
func (s connState) keepsHead() bool { return s.phase == phaseRestHead }

// unread returns whether a connection may be closed for another one since its caller has not read for minUnreadTime.
func unread(now time.Time) func(connState) bool {
	return func(s connState) bool { return s.phase == phaseUnread && now.Sub(s.since) >= minUnreadTime }
}

// waits returns whether a connection keeps the process waiting. The body of a request that is arriving does not.
func waits(now time.Time) func(connState) bool {
	return func(s connState) bool {
		return s.phase == phaseWaiting || s.phase == phaseHead || s.readsBody() && now.Sub(s.since) >= minHeadTime
	}
}

// stalled returns whether a connection may be closed for another one since it has kept the process waiting for at
// least minHeadTime.
func stalled(now time.Time) func(connState) bool {
	kept := waits(now)
	return func(s connState) bool { return kept(s) && now.Sub(s.since) >= minHeadTime }
}

// headLate returns whether a connection may be closed for the head that arrives on another one.
func headLate(now time.Time) func(connState) bool {
	return func(s connState) bool { return s.phase == phaseHead && now.Sub(s.since) >= minHeadTime }
}

// leastNeeded returns which of several connections to close first, of those that may be closed.
func leastNeeded[K any](states iter.Seq2[K, connState], mayClose func(connState) bool) (least K, found bool) {
	var of connState
	for conn, s := range states {
		if mayClose(s) && (!found || s.closesBefore(of)) {
			least, of, found = conn, s, true
		}
	}
	return least, found
}

// makeRoom reserves memory for a connection. It closes others, of those that may be closed, as long as there
// is no room, and returns an error if none is left.
func (c *Conns) makeRoom(conn *trackedConn, reserve func() error, mayClose func(connState) bool) error {
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
func (c *Conns) waitForRoom(conn *trackedConn, reserve func() error, mayClose func(connState) bool, longest time.Duration) error {
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
// request is being served on. Idle ones that have carried requests are closed only if no other keeps the process waiting,
// and those on which the body of a request is arriving only if nothing else is left, first those whose request was answered.
// Last go those whose callers have not read their answers for long: the requests may have run.
func (c *Conns) admit(conn *trackedConn) error {
	if conn.reserve() == nil {
		return nil
	}
	now, longest := time.Now(), maxRoomWait
	if now.Sub(c.waitedInVain) < minHeadTime {
		longest = 0
	}
	mayClose := stalled(now)
	if _, kept := c.leastNeeded(conn, waits(now)); !kept {
		mayClose = closable(now, minHeadTime)
	}
	err := c.waitForRoom(conn, conn.reserve, mayClose, longest)
	if err != nil {
		c.waitedInVain = time.Now()
		err = c.makeRoom(conn, conn.reserve, closable(c.waitedInVain, 0))
	}
	if err != nil {
		err = c.makeRoom(conn, conn.reserve, connState.answered)
	}
	if err != nil {
		err = c.makeRoom(conn, conn.reserve, connState.readsBody)
	}
	if err != nil {
		err = c.makeRoom(conn, conn.reserve, unread(time.Now()))
	}
	if err != nil {
		c.noteClosed(time.Now(), "callers_turned_away", err)
	}
	return err
}

// leastNeeded returns which connection other than one to close first, of those that may be closed.
func (c *Conns) leastNeeded(except *trackedConn, mayClose func(connState) bool) (least *trackedConn, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return leastNeeded(func(yield func(*trackedConn, connState) bool) {
		for conn := range c.conns {
			if conn != except && !yield(conn, conn.state()) {
				return
			}
		}
	}, mayClose)
}

// noteClosed counts a connection that was closed for want of memory, and logs it unless another one was
// logged just before.
func (c *Conns) noteClosed(now time.Time, counter string, err error) {
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
func (c *trackedConn) state() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.closed && c.serving && c.body != nil && c.body.answered && c.body.headKept:
		return connState{phaseRestHead, c.body.behindSince()}
	case !c.closed && c.serving && c.body != nil && c.body.answered:
		return connState{phaseRest, c.body.behindSince()}
	case !c.closed && c.serving && c.body != nil:
		return connState{phaseBody, c.body.behindSince()}
	case !c.closed && c.serving && !c.multiplexed && !c.unreadSince.IsZero():
		return connState{phaseUnread, c.unreadSince}
	case c.closed || c.serving:
		return connState{phase: phaseServing}
	case c.multiplexed && Readable(c.Conn):
		return connState{phase: phaseServing}
	case c.multiplexed && c.framesReadAt.After(c.idleSince):
		return connState{phaseIdle, c.framesReadAt}
	case c.multiplexed:
		return connState{phaseIdle, c.idleSince}
	case c.idleSince.IsZero() && c.headCost > freeHeadCost:
		return connState{phaseHead, c.begunAt}
	case c.idleSince.IsZero():
		return connState{phaseWaiting, c.begunAt}
	case c.served && Readable(c.Conn): // the next request has arrived
		return connState{phase: phaseServing}
	case c.served:
		return connState{phaseIdle, c.idleSince}
	}
	return connState{phaseWaiting, c.idleSince}
}

// tooManyConnsError is why there is no room for a further connection.
type tooManyConnsError struct{ limit int64 }

func (e *tooManyConnsError) Error() string {
	return fmt.Sprintf("no descriptors for more than %d connections of callers", e.limit)
}

// reserve reserves the descriptor and the memory for the connection.
func (c *trackedConn) reserve() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit := c.conns.maxOpen; limit > 0 && !c.counted {
		if c.conns.open.Add(1) > limit {
			c.conns.open.Add(-1)
			return &tooManyConnsError{limit}
		}
		c.counted = true
	}
	return c.share.GrowTo(connBytes)
}

// reserveHead reserves the memory for the head that is being read.
func (c *trackedConn) reserveHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	return c.headShare.GrowTo(c.headCost)
}

// release gives the memory of the connection back. The caller holds c.mu.
func (c *trackedConn) release() {
	c.closed = true
	if c.counted {
		c.conns.open.Add(-1)
		c.counted = false
	}
	c.share.Release()
	c.headShare.Release()
}

// closeForRoom closes the connection unless a request is being served on it whose body was read, and whose answer the caller reads.
func (c *trackedConn) closeForRoom() bool {
	if !c.closeUnlessServing(time.Now()) {
		return false
	}
	c.conns.untrack(c) // the server tells later
	return true
}

func (c *trackedConn) closeUnlessServing(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	stuck := !c.multiplexed && !c.unreadSince.IsZero() && now.Sub(c.unreadSince) >= minUnreadTime
	if c.closed || c.serving && c.body == nil && !stuck {
		return false
	}
	c.release()
	_ = c.Close() // no request is lost: none was read whole, or its caller does not read its answer
	return true
}

// CloseUnread closes the connections whose callers have read nothing of an answer for minUnreadTime, because other answers lack
// memory. The context is that of a request of the same server, and err says what is lacking.
func CloseUnread(ctx context.Context, now time.Time, err error) {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return
	}
	mayClose := unread(now)
	for _, conn := range c.conns.all() {
		if mayClose(conn.state()) && conn.closeForRoom() {
			c.conns.noteClosed(now, "callers_closed_unread", err)
		}
	}
}

// ReleaseHead gives back the memory of the head of a request, for which the request has taken its own.
func ReleaseHead(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headShare.Release()
}

// EndServing records that the request of a connection was answered and nothing more is done for it, so that the
// connection may be closed for others.
func EndServing(ctx context.Context, now time.Time) {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.multiplexed { // other requests may be served
		c.serving, c.begunAt = false, now
	}
}

// headCost returns the bytes that a head takes of which a part was read.
func headCost(part []byte) int64 {
	return headByteFactor*int64(len(part)) + headLineBytes*int64(bytes.Count(part, lineEnd))
}

// HeadSize returns the approximate size in bytes of a request's line and headers.
func HeadSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// RequestHeadCost returns the bytes that the head of a request takes while the request is served.
func RequestHeadCost(r *http.Request) int64 {
	fields := 0
	for _, values := range r.Header {
		fields += len(values)
	}
	return headByteFactor*int64(HeadSize(r)) + requestFieldBytes*int64(max(0, fields-freeFields))
}

var lineEnd = []byte{'\n'}

// growHead reserves the memory for a head of which a further part was read, and waits for it for a while. Connections that keep
// heads of requests that were answered are closed for it only if nothing else is left. It closes the connection if there is none.
func (c *trackedConn) growHead(part []byte) bool {
	c.mu.Lock()
	if c.serving {
		c.mu.Unlock()
		return true
	}
	c.headCost += headCost(part)
	large := c.headCost > freeHeadCost
	c.mu.Unlock()
	if !large {
		return true
	}
	err := c.conns.waitForRoom(c, c.reserveHead, headLate(time.Now()), maxHeadWait)
	if err != nil { // others have become late meanwhile
		err = c.conns.makeRoom(c, c.reserveHead, headLate(time.Now()))
	}
	if err != nil {
		err = c.conns.makeRoom(c, c.reserveHead, connState.keepsHead)
	}
	if err != nil && c.closeForRoom() {
		c.conns.noteClosed(time.Now(), "heads_turned_away", err)
	}
	return err == nil
}
