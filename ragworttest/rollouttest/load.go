package rollouttest

// This file defines Load, which sends requests to gateways at a steady rate, however long the answers take.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/standin"
)

const (
	// callerDeadline is how long a caller waits for its answer.
	callerDeadline = 3 * time.Second
	// idleConnections is how many idle connections the callers keep to each gateway.
	idleConnections = 32
)

// paths are those of the requests, in turn. The second answer is a stream.
var paths = []string{"/look/x", "/stream/x"}

// HostOf returns the host name to which requests for a service are sent.
func HostOf(service id.Service) string { return string(service) + ".example" }

// Result is a request and how it ended.
type Result struct {
	Request    id.Request
	Service    id.Service
	Node       id.Node // that it was sent to
	Path       string
	Sent, Done time.Time
	Status     int  // zero: no response
	Whole      bool // the whole answer to this request was received
	Refused    bool // the status promises that the request has not run
	NotSent    bool // no connection was made
}

// String describes the result.
func (r Result) String() string {
	return fmt.Sprintf("%s of %s at %s, sent %s: status %d after %v, whole %t", r.Request, r.Service+id.Service(r.Path), r.Node, r.Sent.Format("05.000"), r.Status, r.Done.Sub(r.Sent), r.Whole)
}

// Load sends requests for a service. It is safe for concurrent use.
type Load struct {
	service id.Service
	pick    func() (id.Node, string) // the gateway for the next request and its address
	client  *http.Client
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu      sync.Mutex
	results []Result
}

// StartLoad sends perSecond requests a second until Stop is called.
func StartLoad(service id.Service, perSecond int, pick func() (id.Node, string)) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{service: service, pick: pick, cancel: cancel, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}}}
	l.tasks.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				path := paths[n%len(paths)]
				l.tasks.Go(func() { l.send(path) })
			}
		}
	})
	return l
}

// Stop ends the load, waits for the answers and returns all results in the order of their ends.
func (l *Load) Stop() []Result {
	l.cancel()
	l.tasks.Wait()
	l.client.CloseIdleConnections()
	return l.Results()
}

// Results returns the results so far, in the order of their ends.
func (l *Load) Results() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.results)
}

// send sends one request and records its result.
func (l *Load) send(path string) {
	node, address := l.pick()
	r := Result{Request: id.Request(fmt.Sprintf("%016x", rand.Uint64())), Service: l.service, Node: node, Path: path, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("steel"))
	if err != nil {
		panic("building a request: " + err.Error())
	}
	rq.Host = HostOf(l.service)
	standin.SetRequestHeaders(rq.Header, r.Request, "key-1", callerDeadline)
	rs, err := l.client.Do(rq)
	if err == nil {
		r.read(rs)
	} else {
		r.NotSent = isDialError(err)
	}
	r.Done = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// read reads a response to its end.
func (r *Result) read(rs *http.Response) {
	defer rs.Body.Close()
	r.Status = rs.StatusCode
	switch rs.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.Refused = true
	}
	body, err := io.ReadAll(rs.Body)
	r.Whole = err == nil && rs.StatusCode == http.StatusOK && standin.ResponseRequestID(rs.Header) == r.Request && standin.IsWholeAnswer(r.Path, r.Request, body)
}

// isDialError reports whether a request failed before it had a connection.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
