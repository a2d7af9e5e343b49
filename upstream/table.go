// Package upstream defines the state of upstreams. A sidecar uses Limiter, which adapts
// the number of concurrent requests, and Lifecycle, the state machine of its upstream.
// An entry uses Table, which holds what it knows about all upstreams.
package upstream

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire"
)

// View is a snapshot of what an entry knows about one upstream. Views that a table has
// returned are never modified.
type View struct {
	ID          id.Upstream
	Node        id.Node // of the sidecar
	DataCentre  id.DataCentre
	Address     string // of the sidecar
	Models      []id.Model
	Service     id.Service
	Load        wire.Load
	Outstanding int                 // requests that this entry has sent and that have not ended; set by All
	LastHeard   time.Time           // of the last heartbeat or answer
	Leaving     bool                // the upstream announced its shutdown
	VMLeaving   bool                // the platform's VM list says that its VM is leaving
	Prefixes    map[uint64]struct{} // hashes of prompt prefixes that it may have cached; only a hint

	outstandingAtReport int           // Outstanding when Load was reported
	acceptsRequests     bool          // derived from the state, Leaving and VMLeaving
	lastHeard           clock.Instant // LastHeard
}

// Usable reports whether the upstream accepts new requests and was last heard from at
// or after since.
func (v *View) Usable(since clock.Instant) bool { return v.acceptsRequests && v.lastHeard >= since }

// Serves reports whether the upstream serves model m.
func (v *View) Serves(m id.Model) bool { return slices.Contains(v.Models, m) }

// Record holds the latest view of one upstream in a Table. It is safe for concurrent
// use.
type Record struct {
	Hash uint64 // of the upstream's id

	view        atomic.Pointer[View]
	outstanding atomic.Int64
}

// View returns the latest view.
func (r *Record) View() *View { return r.view.Load() }

// storeView fills in the derived fields of v and stores it. The caller must not modify
// v afterwards.
func (r *Record) storeView(v *View) {
	v.acceptsRequests = !v.Leaving && !v.VMLeaving && State(v.Load.State).AcceptsRequests()
	v.lastHeard = clock.InstantOf(v.LastHeard)
	r.view.Store(v)
}

// ActiveRequests estimates the number of requests at the upstream: those in the last
// reported load, corrected by the requests that this entry has started or ended since.
func (r *Record) ActiveRequests(v *View) int {
	own := int(r.outstanding.Load())
	return max(own, v.Load.Running+v.Load.Waiting+own-v.outstandingAtReport)
}

// indexKey identifies what an upstream serves, a model or a service.
type indexKey struct {
	model   id.Model
	service id.Service
}

// Table holds what an entry knows about all upstreams. Lookup takes no lock: it loads
// an index of the records by model and service, which is replaced when an upstream is
// added or removed or serves something else.
type Table struct {
	index      atomic.Pointer[map[indexKey][]*Record]
	staleAfter atomic.Int64 // nanoseconds

	mu         sync.RWMutex // guards records and leavingVMs
	records    map[id.Upstream]*Record
	leavingVMs map[id.Node]struct{} // sidecars on VMs that are leaving

	changedMu sync.Mutex
	changed   chan struct{} // closed and replaced by notify
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{records: make(map[id.Upstream]*Record), changed: make(chan struct{})}
	t.index.Store(&map[indexKey][]*Record{})
	t.SetStaleAfter(0)
	return t
}

// MinStaleAfter is the lower bound of the time for which an upstream is used after it
// was last heard from.
const MinStaleAfter = 3 * time.Second

// SetStaleAfter sets the time for which an upstream is used after it was last heard
// from, at least MinStaleAfter. It should be longer if heartbeats are less frequent. An
// outdated view costs only an attempt, not an answer, because a sidecar itself refuses
// requests that it must not run.
func (t *Table) SetStaleAfter(d time.Duration) { t.staleAfter.Store(int64(max(d, MinStaleAfter))) }

// StaleAfter returns the time for which an upstream is used after it was last heard
// from.
func (t *Table) StaleAfter() time.Duration { return time.Duration(t.staleAfter.Load()) }

// MarkUnreachable marks an upstream whose sidecar cannot be connected to. It gets no new
// requests until it is heard from again.
func (t *Table) MarkUnreachable(u id.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[u]; r != nil {
		v := *r.View()
		v.Load.State = string(Gone)
		r.storeView(&v)
	}
}

// Lookup returns the records of the upstreams that serve a model or a service, one of
// which must be empty. The caller must not modify the slice.
func (t *Table) Lookup(m id.Model, s id.Service) []*Record {
	return (*t.index.Load())[indexKey{m, s}]
}

// Changed returns a channel that is closed when capacity may have become available.
func (t *Table) Changed() <-chan struct{} {
	t.changedMu.Lock()
	defer t.changedMu.Unlock()
	return t.changed
}

// notify closes the channel that Changed returned and creates a new one.
func (t *Table) notify() {
	t.changedMu.Lock()
	defer t.changedMu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// Update stores the view from a heartbeat and keeps the entry's own request counts. A
// heartbeat of an older incarnation is ignored.
func (t *Table) Update(v View) {
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	_, v.VMLeaving = t.leavingVMs[v.Node]
	r, known := t.records[v.ID]
	if !known {
		r = &Record{Hash: xxhash.Sum64String(string(v.ID))}
		r.storeView(&v)
		t.records[v.ID] = r
		t.reindex()
		return
	}
	old := r.View()
	if old.Load.Incarnation > v.Load.Incarnation {
		return
	}
	v.outstandingAtReport = int(r.outstanding.Load())
	r.storeView(&v)
	if old.Service != v.Service || !slices.Equal(old.Models, v.Models) {
		t.reindex()
	}
}

// reindex rebuilds the index. The caller must hold t.mu.
func (t *Table) reindex() {
	index := make(map[indexKey][]*Record)
	for _, u := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[u]
		v := r.View()
		if v.Service != "" {
			k := indexKey{service: v.Service}
			index[k] = append(index[k], r)
		}
		for _, m := range v.Models {
			k := indexKey{model: m}
			index[k] = append(index[k], r)
		}
	}
	t.index.Store(&index)
}

// UpdateLoad stores the load that was reported with an answer. A load of an older
// incarnation is ignored.
func (t *Table) UpdateLoad(u id.Upstream, l wire.Load, now time.Time) {
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[u]
	if !ok || r.View().Load.Incarnation > l.Incarnation {
		return
	}
	v := *r.View()
	v.Load, v.LastHeard, v.outstandingAtReport = l, now, int(r.outstanding.Load())
	r.storeView(&v)
}

// SetLeavingVMs sets the sidecars whose VMs are leaving, according to the platform's VM
// list.
func (t *Table) SetLeavingVMs(nodes map[id.Node]struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leavingVMs = nodes
	for _, r := range t.records {
		v := *r.View()
		if _, leaves := nodes[v.Node]; leaves != v.VMLeaving {
			v.VMLeaving = leaves
			r.storeView(&v)
		}
	}
}

// RequestSent counts a request sent to u.
func (t *Table) RequestSent(u id.Upstream) {
	if r := t.record(u); r != nil {
		r.outstanding.Add(1)
	}
}

// RequestEnded counts the end of a request that was sent to u.
func (t *Table) RequestEnded(u id.Upstream) {
	if r := t.record(u); r != nil {
		for n := r.outstanding.Load(); n > 0 && !r.outstanding.CompareAndSwap(n, n-1); {
			n = r.outstanding.Load()
		}
	}
	t.notify()
}

// record returns the record of u, or nil.
func (t *Table) record(u id.Upstream) *Record {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.records[u]
}

// RemoveStale removes the upstreams that were last heard from before since.
func (t *Table) RemoveStale(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.records)
	maps.DeleteFunc(t.records, func(_ id.Upstream, r *Record) bool { return r.View().LastHeard.Before(since) })
	if len(t.records) != before {
		t.reindex()
	}
}

// All returns the views of all upstreams, sorted by id.
func (t *Table) All() []View {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]View, 0, len(t.records))
	for _, r := range t.records {
		v := *r.View()
		v.Outstanding = int(r.outstanding.Load())
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b View) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}
