package standin

// This file defines Replicas, the replicas of the users' platform that have a version. A version may be
// bad: a share of its answers fail or are slow, or its replicas crash, at once, later, under load or on one
// path only. What every request met is recorded.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// The times of a replica.
const (
	heartbeatInterval  = 500 * time.Millisecond
	silentHeartbeats   = 3 // after which the listing of a replica that is gone is removed
	drainTime          = 2 * time.Second
	servesAfterRemoval = 500 * time.Millisecond
	restartAfterCrash  = time.Second
	slowFactor         = 6 // times as long as a sound answer takes a slow one
	streamEvents       = 4 // of an answer that is a stream
	streamPath         = "/stream/"
	replicaSlots       = 16
)

// BadWay is what a bad version does.
type BadWay string

// The ways in which a version is bad.
const (
	BadFails   BadWay = "fails"   // answers with status 500
	BadSlow    BadWay = "slow"    // takes slowFactor times as long
	BadCrashes BadWay = "crashes" // the replica ends, and another one starts
)

// Defect is what is wrong with a version. The zero value is a sound version.
type Defect struct {
	Way        BadWay
	Share      float64       // of the answers that could be bad
	After      time.Duration // since the start of the replica; zero: at once
	AtRunning  int           // only while the replica runs as many requests; zero: always
	PathPrefix string        // only on paths that begin with it; empty: on all
}

// applies reports whether the next answer is to be bad.
func (d Defect) applies(age time.Duration, running int, path string) bool {
	return d.Way != "" && age >= d.After && running >= d.AtRunning && strings.HasPrefix(path, d.PathPrefix) && rand.Float64() < d.Share
}

// ReplicaConfig configures a replica.
type ReplicaConfig struct {
	Service    id.Service
	Version    id.Version
	DataCentre id.DataCentre
	Address    string        // empty: any
	Work       time.Duration // that a sound answer takes
	Defect     Defect
}

// ReplicaRun is a request that a replica has run.
type ReplicaRun struct {
	Request   id.Request
	Service   id.Service
	Version   id.Version
	Replica   id.Upstream
	Path      string
	At, Ended time.Time // Ended is zero while it runs
	Bad       bool      // the version's defect was met
	Cut       bool      // the replica stopped, or the caller left, before the answer was complete
}

// Misdirected is a request that was meant for another replica and has not run.
type Misdirected struct {
	Request        id.Request
	Expected, Self id.Upstream
	At             time.Time
}

// Replicas starts, lists and ends replicas. It is safe for concurrent use.
type Replicas struct {
	store *Store
	tasks sync.WaitGroup

	mu          sync.Mutex
	started     int
	listed      []*Replica
	runs        []*ReplicaRun
	misdirected []Misdirected
}

// Replica is a replica with a version.
type Replica struct {
	ID      id.Upstream
	Config  ReplicaConfig
	Address string

	set    *Replicas
	born   time.Time
	server *http.Server

	mu       sync.Mutex
	running  int
	draining bool
	gone     bool
}

// NewReplicas returns a set without replicas that lists them in a store.
func NewReplicas(store *Store) *Replicas { return &Replicas{store: store} }

// Run writes the listings of all replicas until ctx ends, and then ends the replicas.
func (rs *Replicas) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			rs.tasks.Wait()
			for _, r := range rs.Listed() {
				r.close()
			}
			return
		case <-ticker.C:
			for _, r := range rs.Listed() {
				r.list()
			}
		}
	}
}

// Listed returns the replicas that run.
func (rs *Replicas) Listed() []*Replica {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return append([]*Replica(nil), rs.listed...)
}

// Runs returns what replicas have run, in the order of arrival.
func (rs *Replicas) Runs() []ReplicaRun {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	runs := make([]ReplicaRun, len(rs.runs))
	for i, run := range rs.runs {
		runs[i] = *run
	}
	return runs
}

// MisdirectedRequests returns the requests that were meant for other replicas.
func (rs *Replicas) MisdirectedRequests() []Misdirected {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return append([]Misdirected(nil), rs.misdirected...)
}

// Start starts and lists a replica.
func (rs *Replicas) Start(cfg ReplicaConfig) (*Replica, error) {
	address := cfg.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	rs.mu.Lock()
	rs.started++
	r := &Replica{
		ID: id.Upstream(fmt.Sprintf("i-%s-%s-%d", cfg.Service, cfg.Version, rs.started)), Config: cfg, Address: l.Addr().String(), set: rs, born: time.Now(),
	}
	rs.listed = append(rs.listed, r)
	rs.mu.Unlock()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }() // ends with http.ErrServerClosed
	r.list()
	return r, nil
}

// list writes the replica's listing, unless it is gone.
func (r *Replica) list() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return
	}
	err := r.set.store.PutListing(pool.Listing{
		ID: r.ID, Service: r.Config.Service, Address: r.Address, DataCentre: r.Config.DataCentre, Draining: r.draining,
		Slots: replicaSlots, StartUnixMS: r.born.UnixMilli(), Version: r.Config.Version,
	})
	if err != nil {
		panic("encoding a listing: " + err.Error())
	}
}

// close ends the replica at once: all its connections are closed. It reports whether it still ran.
func (r *Replica) close() bool {
	r.mu.Lock()
	ran := !r.gone
	r.gone = true
	r.mu.Unlock()
	rs := r.set
	rs.mu.Lock()
	for i, other := range rs.listed {
		if other == r {
			rs.listed = append(rs.listed[:i:i], rs.listed[i+1:]...)
			break
		}
	}
	rs.mu.Unlock()
	r.server.Close()
	return ran
}

// Stop ends the replica at once. Its listing expires.
func (r *Replica) Stop() {
	if r.close() {
		r.set.tasks.Go(func() {
			time.Sleep(silentHeartbeats * heartbeatInterval)
			r.set.store.DeleteListing(r.ID)
		})
	}
}

// drain announces that the replica drains, and ends it later.
func (r *Replica) drain(ctx context.Context) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.list()
	if !sleepFor(ctx, drainTime) {
		return
	}
	r.mu.Lock()
	r.gone = true
	r.mu.Unlock()
	r.set.store.DeleteListing(r.ID)
	if sleepFor(ctx, servesAfterRemoval) {
		r.close()
	}
}

// crash ends the replica and starts one of the same version later.
func (r *Replica) crash() {
	if !r.close() {
		return
	}
	time.Sleep(restartAfterCrash)
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	if !draining {
		cfg := r.Config
		cfg.Address = ""
		_, _ = r.set.Start(cfg) // a port is free
	}
	time.Sleep(max(0, silentHeartbeats*heartbeatInterval-restartAfterCrash))
	r.set.store.DeleteListing(r.ID)
}

// stopOthers ends the replicas of a service that are of another version than the one to keep, at once.
func (rs *Replicas) stopOthers(service id.Service, keep id.Version) {
	for _, r := range rs.Listed() {
		if r.Config.Service == service && r.Config.Version != keep {
			r.Stop()
		}
	}
}

// drainVersion drains the replicas of a version.
func (rs *Replicas) drainVersion(ctx context.Context, service id.Service, version id.Version) {
	for _, r := range rs.Listed() {
		if r.Config.Service == service && r.Config.Version == version {
			rs.tasks.Go(func() { r.drain(ctx) })
		}
	}
}

// sleepFor reports false if ctx ended first.
func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// ServeHTTP implements http.Handler. A path that begins with streamPath is answered with a stream.
func (r *Replica) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		return // the sender disconnected before anything ran
	}
	head := ParseReplicaRequest(rq.Header)
	if head.ExpectedReplica != r.ID {
		r.set.addMisdirected(Misdirected{head.Request, head.ExpectedReplica, r.ID, time.Now()})
		RefuseRequest(w, head, r.ID)
		return
	}
	run, full := r.begin(head.Request, rq.URL.Path)
	if full {
		RefuseRequest(w, head, r.ID)
		return
	}
	complete := false
	defer func() { r.end(run, complete) }()
	work := r.Config.Work
	if run.Bad {
		switch r.Config.Defect.Way {
		case BadFails:
			SignResponse(w.Header(), head.Request)
			w.WriteHeader(http.StatusInternalServerError)
			complete = true
			return
		case BadCrashes:
			r.set.tasks.Go(r.crash)
			<-rq.Context().Done()
			panic(http.ErrAbortHandler)
		case BadSlow:
			work *= slowFactor
		}
	}
	SignResponse(w.Header(), head.Request)
	if !strings.HasPrefix(rq.URL.Path, streamPath) {
		if complete = sleepFor(rq.Context(), work); complete {
			_, _ = io.WriteString(w, replicaAnswer(head.Request))
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= streamEvents; n++ {
		if !sleepFor(rq.Context(), work/streamEvents) {
			return
		}
		_, _ = io.WriteString(w, replicaEvent(head.Request, n))
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
	complete = true
}

// replicaAnswer returns the sound answer to a request that is not a stream.
func replicaAnswer(rq id.Request) string { return "answer to " + string(rq) }

// replicaEvent returns an event of the answer to a request that is a stream.
func replicaEvent(rq id.Request, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, rq, n)
}

// IsWholeAnswer reports whether body is the sound answer of a Replica to a request.
func IsWholeAnswer(path string, rq id.Request, body []byte) bool {
	if !strings.HasPrefix(path, streamPath) {
		return string(body) == replicaAnswer(rq)
	}
	var want strings.Builder
	for n := 1; n <= streamEvents; n++ {
		want.WriteString(replicaEvent(rq, n))
	}
	return string(body) == want.String()
}

// begin records that a request runs. It reports true if the replica is full.
func (r *Replica) begin(rq id.Request, path string) (run *ReplicaRun, full bool) {
	now := time.Now()
	r.mu.Lock()
	if r.running >= replicaSlots {
		r.mu.Unlock()
		return nil, true
	}
	r.running++
	bad := r.Config.Defect.applies(now.Sub(r.born), r.running, path)
	r.mu.Unlock()
	run = &ReplicaRun{Request: rq, Service: r.Config.Service, Version: r.Config.Version, Replica: r.ID, Path: path, At: now, Bad: bad}
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	r.set.runs = append(r.set.runs, run)
	return run, false
}

// end records that a request no longer runs.
func (r *Replica) end(run *ReplicaRun, complete bool) {
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	run.Ended, run.Cut = time.Now(), !complete
}

func (rs *Replicas) addMisdirected(m Misdirected) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.misdirected = append(rs.misdirected, m)
}
