package process

// This file defines handlers that bound the bodies of requests which callers have no business to send: they are not
// read, or the memory for them is taken first.

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/memory"
)

// callBodyFactor is the memory that the body of a peer's call takes, which is kept as received, in a buffer that doubles,
// and as parsed.
const callBodyFactor = 4

const (
	// CallTime is how long the body of a call between entries and sidecars may take to arrive, maxCallBytes the size of the largest one,
	// and maxUnreadTime how long a server waits for what is left
	// of a body after its request was answered. Whoever sends a body first and reads then would find its connection
	// reset otherwise.
	CallTime      = 5 * time.Second
	maxCallBytes  = 16 << 20
	maxUnreadTime = 500 * time.Millisecond
)

// endedBody is a body that tells whether it was read to its end.
type endedBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *endedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// discarded reports whether the server has read a body as the answer began. It does so with HTTP/1.1 only, and not for callers
// that wait to be told to send.
func discarded(r *http.Request, body io.Reader) bool {
	if r.ProtoMajor != 1 || r.Header.Get("Expect") != "" {
		return false
	}
	_, err := body.Read(nil)
	return err != nil
}

// boundUnreadBodies returns a handler that bounds the time for which the server waits for what a handler has not read of a
// body. Once all was read, the server reads to notice that the caller disconnects: a deadline would look like that, and cancel
// the next request.
func boundUnreadBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !hasBody(r) {
			next.ServeHTTP(w, r)
			return
		}
		body := &endedBody{ReadCloser: r.Body}
		r.Body = body
		next.ServeHTTP(w, r)
		if !body.ended.Load() && !discarded(r, body) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(maxUnreadTime)) // fails only if the connection is closed
		}
	})
}

// hasBody reports whether a request may have a body. One of HTTP/2 has a reader of it in any case.
func hasBody(r *http.Request) bool { return r.Body != http.NoBody && r.ContentLength != 0 }

// WithoutBodies returns a handler that answers requests without reading their bodies, and closes the connections of
// those that have one.
func WithoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !hasBody(r) {
			next.ServeHTTP(w, r)
			return
		}
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(time.Now()) // fails only if the connection is closed
		w.Header().Set("Connection", "close")
		next.ServeHTTP(w, r)
		if controller.Flush() == nil {
			EndServing(r.Context(), time.Now())
		}
	})
}

// callRefusal is why the call of a peer is not served.
type callRefusal struct {
	reason string // of the counter and the log line
	status int
}

// CallBounds takes the memory for the heads and bodies of calls of peers before it reads the bodies, or passes them on to be read where the
// server bounds the time for that. It counts the calls that it refuses, and logs one in closedLogInterval. It is safe for concurrent use.
type CallBounds struct {
	memory   *memory.Budget // nil: not bounded
	bodyTime time.Duration
	registry metrics.Registry
	logger   log.Logger

	mu     sync.Mutex
	logged time.Time
}

// NewCallBounds returns bounds within the memory for peers, whose bodies may take bodyTime to arrive, or as long as the
// server allows if that is zero; nil: there are none.
func NewCallBounds(m *memory.Budgets, bodyTime time.Duration, registry metrics.Registry, logger log.Logger) *CallBounds {
	c := &CallBounds{bodyTime: bodyTime, registry: registry, logger: logger}
	if m != nil {
		c.memory = m.Peers
	}
	return c
}

// Handler returns the handler of a path within the bounds.
func (c *CallBounds) Handler(path string, next http.Handler) (samePath string, bounded http.Handler) {
	if c.memory == nil {
		return path, next
	}
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		share := c.memory.Share(memory.Holder(r.RemoteAddr))
		defer share.Release()
		refusal := c.readBody(w, r, share)
		if refusal == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.note(time.Now(), refusal, r)
		WithoutBodies(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(refusal.status) })).ServeHTTP(w, r)
	})
}

// readBody replaces the body of a call by what was read of it. Peers send what they call with as it is, and say how long
// it is.
func (c *CallBounds) readBody(w http.ResponseWriter, r *http.Request, share *memory.Share) *callRefusal {
	head := RequestHeadCost(r) // of a stream of HTTP/2, nothing else counts it
	switch {
	case share.GrowTo(head) != nil:
		return &callRefusal{"memory", http.StatusServiceUnavailable}
	case !hasBody(r):
		return nil
	case r.Header.Get("Content-Encoding") != "":
		return &callRefusal{"encoding", http.StatusUnsupportedMediaType}
	case r.ContentLength < 0:
		return &callRefusal{"length", http.StatusLengthRequired}
	case r.ContentLength > maxCallBytes || share.GrowTo(head+callBodyFactor*r.ContentLength) != nil:
		return &callRefusal{"memory", http.StatusServiceUnavailable}
	case c.bodyTime == 0:
		return nil
	}
	endWait := AwaitBody(r.Context(), time.Now())
	controller := http.NewResponseController(w)
	err := controller.SetReadDeadline(time.Now().Add(c.bodyTime))
	body := make([]byte, r.ContentLength)
	if err == nil {
		_, err = io.ReadFull(r.Body, body)
	}
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	if !endWait() || err != nil {
		return &callRefusal{"late", http.StatusRequestTimeout}
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

func (c *CallBounds) note(now time.Time, refusal *callRefusal, r *http.Request) {
	metrics.GetOrRegisterCounter("peer_calls_refused_"+refusal.reason, c.registry).Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.logged) < closedLogInterval {
		return
	}
	c.logged = now
	_ = c.logger.Log("event", "peer_call_refused", "reason", refusal.reason, "status", refusal.status, "address", r.RemoteAddr, "length", r.ContentLength)
}
