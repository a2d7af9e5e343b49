package gateway

// This file defines the doors of a gateway that callers have no business with: the check of readiness, the calls
// of peers and the pages of operators. Whoever reaches the VM may come to them all the same, and must
// neither take the memory and the descriptors that callers need nor keep those away that a door is for. Each door
// has memory and connections of its own, which CallerConns gives out, and a bound on the time of a request.

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/process"
)

const (
	// doorHeaderBytes limits the head of a request. Those whom the doors are for send less than one kilobyte.
	doorHeaderBytes = 16 << 10
	// doorRequestTime is how long a request may take to arrive, and doorWriteTime an answer to be read. The load balancer
	// asks once a second and does not wait for longer. A peer gives up after 0.6 s, so that its request has
	// peerRequestTime.
	doorRequestTime = 5 * time.Second
	peerRequestTime = time.Second
	doorWriteTime   = 5 * time.Second
	// The parts of the sockets for the doors, and the least number of connections that one may have.
	readySocketFraction = 1.0 / 32
	peerSocketFraction  = 1.0 / 8
	pageSocketFraction  = 1.0 / 32
	minDoorConns        = 16
	// peerBodyFactor is the memory that the body of a peer's call takes, which is kept as received, in a buffer that
	// doubles, and as parsed.
	peerBodyFactor = 4
)

// door is a server with bounds of its own.
type door struct {
	name, address string
	patience      time.Duration // for the port; zero: for ever
	sockets       float64       // part of the sockets of the process
	requestTime   time.Duration // in which a request has to arrive
	memory        *memory.Budget
	handler       http.Handler
}

// maxConns returns how many connections a door may have in a process with a number of descriptors; zero: no limit.
func (d *door) maxConns(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(minDoorConns, socketPart(d.sockets, descriptors))
}

// openDoor starts the server of a door.
func (p *Program) openDoor(d *door) {
	server := &http.Server{
		Handler: d.handler, ReadHeaderTimeout: d.requestTime, ReadTimeout: d.requestTime, WriteTimeout: doorWriteTime,
		IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: doorHeaderBytes,
	}
	conns := &CallerConns{
		DrainingListener: process.NewDrainingListener(p.servers.listen(d.name, d.address, d.patience)), prefix: d.name + "_",
		idleTimeout: func() time.Duration { return defaultIdleTimeout }, memory: d.memory, maxOpen: int64(d.maxConns(p.settings.MaxDescriptors)),
		registry: p.registry, logger: p.logger, conns: make(map[*callerConn]struct{}),
	}
	conns.bind(server)
	p.servers.start(d.name, server, conns)
}

// withoutBodies returns a handler that answers requests without reading their bodies, and closes the connections of
// those that have one.
func withoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(time.Now()) // fails only if the connection is closed
		w.Header().Set("Connection", "close")
		next.ServeHTTP(w, r)
		if controller.Flush() == nil {
			endServing(r.Context(), time.Now())
		}
	})
}

// callRefusal is why the call of a peer is not read.
type callRefusal struct {
	reason string // of the counter and the log line
	status int
}

// refusalOfCall returns why a call is not read, for whose body the memory is taken first; nil: it is read. Peers send
// what they call with as it is, and say how long it is.
func refusalOfCall(r *http.Request, share *memory.Share) *callRefusal {
	switch {
	case r.Body == http.NoBody:
	case r.Header.Get("Content-Encoding") != "":
		return &callRefusal{"encoding", http.StatusUnsupportedMediaType}
	case r.ContentLength < 0:
		return &callRefusal{"length", http.StatusLengthRequired}
	case share.GrowTo(peerBodyFactor*r.ContentLength) != nil:
		return &callRefusal{"memory", http.StatusServiceUnavailable}
	}
	return nil
}

// withBodiesIn returns a handler that takes the memory for the body of a request before it reads it.
func withBodiesIn(budget *memory.Budget, refusals *callRefusals, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		share := budget.Share(memory.Holder(r.RemoteAddr))
		defer share.Release()
		refusal := refusalOfCall(r, share)
		if refusal == nil {
			next.ServeHTTP(w, r)
			return
		}
		refusals.note(refusal, r)
		withoutBodies(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(refusal.status) })).ServeHTTP(w, r)
	})
}

// callRefusals counts the calls of peers that were not read, and logs one in closedLogInterval. It is safe for concurrent use.
type callRefusals struct {
	registry metrics.Registry
	logger   log.Logger

	mu     sync.Mutex
	logged time.Time
}

func (c *callRefusals) note(refusal *callRefusal, r *http.Request) {
	metrics.GetOrRegisterCounter("peer_calls_refused_"+refusal.reason, c.registry).Inc(1)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.logged) < closedLogInterval {
		return
	}
	c.logged = now
	_ = c.logger.Log("event", "peer_call_refused", "reason", refusal.reason, "status", refusal.status, "address", r.RemoteAddr, "length", r.ContentLength)
}
