// Package upstream defines what an upstream bears and how far it is along in its
// life: Limiter and Lifecycle at the sidecar, and Table, the view that an entry
// has of all upstreams.
package upstream

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire"
)

// View is what an entry knows of one upstream. Views that a table has handed out
// are never changed.
type View struct {
	ID          id.Upstream
	Node        id.Node // of the sidecar
	DataCentre  id.DataCentre
	Address     string // of the sidecar
	Models      []id.Model
	Service     id.Service
	Load        wire.Load
	Outstanding int // requests this entry has sent and not seen the end of; set by All
	LastHeard   time.Time
	Leaving     bool                // it says that it leaves
	VMLeaving   bool                // the platform's list says that its VM leaves
	Prefixes    map[uint64]struct{} // hashes of prompt prefixes it may have cached: a hint

	reported int   // outstanding requests when the load was reported
	open     bool  // neither its state nor its leaving keeps it from new work
	heard    int64 // Heard in Unix nanoseconds
}

// Usable reports whether the upstream takes new work and was heard from since a time
// in Unix nanoseconds.
func (v *View) Usable(since int64) bool { return v.open && v.heard >= since }

// Serves reports whether the upstream serves model m.
func (v *View) Serves(m id.Model) bool { return slices.Contains(v.Models, m) }

// Record is one upstream in a table. It is safe for concurrent use.
type Record struct {
	Hash uint64 // of the upstream's id

	view        atomic.Pointer[View]
	outstanding atomic.Int64
}

// View returns the latest view.
func (r *Record) View() *View { return r.view.Load() }

// set replaces the view, which must not change from then on.
func (r *Record) set(v *View) {
	v.open = !v.Leaving && !v.VMLeaving && State(v.Load.State).AcceptsRequests()
	v.heard = v.LastHeard.UnixNano()
	r.view.Store(v)
}

// ActiveRequests returns how many requests the upstream is believed to have: the ones
// reported, corrected by what this entry has sent or seen end since.
func (r *Record) ActiveRequests(v *View) int {
	own := int(r.outstanding.Load())
	return max(own, v.Load.Running+v.Load.Waiting+own-v.reported)
}

// target is what requests ask for: a model or a service.
type target struct {
	model   id.Model
	service id.Service
}

// Table is an entry's view of all upstreams. Readers take no lock: they load the
// index of the records by model and service, which is replaced when an upstream
// appears, disappears or serves something else.
type Table struct {
	index     atomic.Pointer[map[target][]*Record]
	staleness atomic.Int64 // nanoseconds

	mu        sync.RWMutex // guards records and departing
	records   map[id.Upstream]*Record
	departing map[id.Node]struct{}

	changedMu sync.Mutex
	changed   chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{records: make(map[id.Upstream]*Record), changed: make(chan struct{})}
	t.index.Store(&map[target][]*Record{})
	t.SetStaleAfter(0)
	return t
}

// MinStaleAfter is the shortest time for which an upstream is used after it was
// last heard from.
const MinStaleAfter = 3 * time.Second

// SetStaleAfter sets how long an upstream is used after it was last heard from; at
// least LeastStaleness. It is longer where heartbeats are rarer: a sidecar refuses
// by itself what it must not run, so an old view costs an attempt, not an answer.
func (t *Table) SetStaleAfter(d time.Duration) { t.staleness.Store(int64(max(d, MinStaleAfter))) }

// StaleAfter returns how long an upstream is used after it was last heard from.
func (t *Table) StaleAfter() time.Duration { return time.Duration(t.staleness.Load()) }

// MarkUnreachable keeps new work from an upstream whose sidecar cannot be connected to,
// until it is heard from again.
func (t *Table) MarkUnreachable(u id.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[u]; r != nil {
		v := *r.View()
		v.Load.State = string(Gone)
		r.set(&v)
	}
}

// Lookup returns the records of the upstreams that serve a model or a service; one
// of the two is empty. The caller must not change the slice.
func (t *Table) Lookup(m id.Model, s id.Service) []*Record {
	return (*t.index.Load())[target{m, s}]
}

// Changed returns a channel that is closed when capacity may have appeared.
func (t *Table) Changed() <-chan struct{} {
	t.changedMu.Lock()
	defer t.changedMu.Unlock()
	return t.changed
}

// notify wakes those who wait for a change.
func (t *Table) notify() {
	t.changedMu.Lock()
	defer t.changedMu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// Update sets what a heartbeat told, keeping the entry's own counts. A heartbeat
// of an older incarnation is ignored.
func (t *Table) Update(v View) {
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	_, v.VMLeaving = t.departing[v.Node]
	r, known := t.records[v.ID]
	if !known {
		r = &Record{Hash: xxhash.Sum64String(string(v.ID))}
		r.set(&v)
		t.records[v.ID] = r
		t.reindex()
		return
	}
	old := r.View()
	if old.Load.Incarnation > v.Load.Incarnation {
		return
	}
	v.reported = int(r.outstanding.Load())
	r.set(&v)
	if old.Service != v.Service || !slices.Equal(old.Models, v.Models) {
		t.reindex()
	}
}

// reindex rebuilds the index. The caller holds the lock.
func (t *Table) reindex() {
	index := make(map[target][]*Record)
	for _, u := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[u]
		v := r.View()
		if v.Service != "" {
			k := target{service: v.Service}
			index[k] = append(index[k], r)
		}
		for _, m := range v.Models {
			k := target{model: m}
			index[k] = append(index[k], r)
		}
	}
	t.index.Store(&index)
}

// UpdateLoad sets the load that came with an answer.
func (t *Table) UpdateLoad(u id.Upstream, l wire.Load, now time.Time) {
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[u]
	if !ok || r.View().Load.Incarnation > l.Incarnation {
		return
	}
	v := *r.View()
	v.Load, v.LastHeard, v.reported = l, now, int(r.outstanding.Load())
	r.set(&v)
}

// SetLeavingVMs sets the sidecars whose VMs leave, according to the platform's list.
func (t *Table) SetLeavingVMs(nodes map[id.Node]struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.departing = nodes
	for _, r := range t.records {
		v := *r.View()
		if _, leaves := nodes[v.Node]; leaves != v.VMLeaving {
			v.VMLeaving = leaves
			r.set(&v)
		}
	}
}

// RequestSent counts a request sent to u.
func (t *Table) RequestSent(u id.Upstream) {
	if r := t.record(u); r != nil {
		r.outstanding.Add(1)
	}
}

// RequestEnded counts the end of a request sent to u.
func (t *Table) RequestEnded(u id.Upstream) {
	if r := t.record(u); r != nil {
		for n := r.outstanding.Load(); n > 0 && !r.outstanding.CompareAndSwap(n, n-1); {
			n = r.outstanding.Load()
		}
	}
	t.notify()
}

func (t *Table) record(u id.Upstream) *Record {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.records[u]
}

// RemoveStale drops the upstreams not heard from since a time.
func (t *Table) RemoveStale(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.records)
	maps.DeleteFunc(t.records, func(_ id.Upstream, r *Record) bool { return r.View().LastHeard.Before(since) })
	if len(t.records) != before {
		t.reindex()
	}
}

// All returns every view in the order of their ids.
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
