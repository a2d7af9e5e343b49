package process

// This file defines how the body of a request arrives: whether it keeps up with the rate that callers' bodies must have, and how
// the rest of one is read whose request was answered before.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// discardBytes is how much of a body that is not kept is read at once.
const discardBytes = 8 << 10

// bodyArrival is what has arrived of a body.
type bodyArrival struct {
	began    time.Time
	bytes    int64     // read since then
	readAt   time.Time // when the last of them were read
	answered bool      // the request was answered before
	headKept bool      // in memory of its own, although it was answered
}

// newBodyArrival returns the arrival of a body that is read from now on.
func newBodyArrival(now time.Time, answered bool) *bodyArrival {
	return &bodyArrival{began: now, readAt: now, answered: answered}
}

// add records that a part was read.
func (a *bodyArrival) add(now time.Time, bytes int64) {
	if bytes > 0 {
		a.bytes, a.readAt = a.bytes+bytes, now
	}
}

// behindSince returns since when the next part has been awaited: since the last one, or since it would have come at minBodyRate.
func (a *bodyArrival) behindSince() time.Time {
	if due := a.began.Add(time.Duration(a.bytes) * time.Second / minBodyRate); due.Before(a.readAt) {
		return due
	}
	return a.readAt
}

// late returns when the next part is late.
func (a *bodyArrival) late() time.Time { return a.behindSince().Add(minHeadTime) }

// AwaitBody records that the server begins to read the body of a request, so that its connection may be closed for others
// if the body does not come. The returned function ends that; it reports false if the connection was closed, so that the
// request must not be passed on.
func AwaitBody(ctx context.Context, now time.Time) (end func() bool) {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok || !c.awaitBody(newBodyArrival(now, false)) {
		return func() bool { return true }
	}
	return c.endBody
}

// awaitBody reports false if the connection carries other requests, too.
func (c *trackedConn) awaitBody(a *bodyArrival) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.multiplexed {
		return false
	}
	c.body = a
	return true
}

// endBody reports false if the connection was closed.
func (c *trackedConn) endBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = nil
	return !c.closed
}

// awaitRest is AwaitBody for a request that was answered. Its head is kept by the server, and counts as one of the connection.
func awaitRest(r *http.Request, now time.Time) (end func(), err error) {
	c, ok := r.Context().Value(connKey{}).(*trackedConn)
	if !ok || !c.awaitBody(newBodyArrival(now, true)) {
		return func() {}, nil
	}
	end = func() { _ = c.endBody() } // what was closed fails to be read
	cost := RequestHeadCost(r)
	if cost <= freeHeadCost {
		return end, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return end, net.ErrClosed
	}
	c.body.headKept = true
	return end, c.headShare.GrowTo(cost)
}

// UnreadError is why the rest of a body was not read to its end.
type UnreadError struct {
	Bytes int64 // read and thrown away
	Err   error // nil: the body is longer than the reader allows
}

func (e *UnreadError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%d bytes and more", e.Bytes)
	}
	return fmt.Sprintf("after %d bytes: %v", e.Bytes, e.Err)
}

func (e *UnreadError) Unwrap() error { return e.Err }

// DiscardBody reads what is left of the body of a request that was answered, up to a size in bytes, without keeping it, so that a
// caller that reads nothing before it has sent all reads the answer. It goes on for as long as the body arrives at the rate that
// callers' bodies must have. The connection may be closed for others meanwhile. SetReadDeadline sets until when the next part
// is read. The error is an *UnreadError.
func DiscardBody(r *http.Request, size int64, setReadDeadline func(time.Time) error) error {
	now := time.Now()
	end, err := awaitRest(r, now)
	defer end()
	if err != nil {
		return &UnreadError{Err: err}
	}
	arrival := newBodyArrival(now, true)
	for arrival.bytes <= size {
		if err := setReadDeadline(arrival.late()); err != nil {
			return &UnreadError{arrival.bytes, err}
		}
		n, err := io.CopyN(io.Discard, r.Body, discardBytes)
		arrival.add(time.Now(), n)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &UnreadError{arrival.bytes, err}
		}
	}
	return &UnreadError{Bytes: arrival.bytes}
}
