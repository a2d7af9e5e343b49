// Package upstream defines what an upstream bears and how far it is along in its
// life: Limiter and Lifecycle at the sidecar, and Table, the view that an entry
// has of all upstreams.
package upstream

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire"
)

// View is what an entry knows of one upstream. Views are copies; changing one
// changes nothing else.
type View struct {
	ID          id.Upstream
	Node        id.Node // of the sidecar
	DataCentre  id.DataCentre
	Address     string // of the sidecar
	Models      []id.Model
	Service     id.Service
	Load        wire.Load
	Outstanding int // requests this entry has sent and not seen the end of
	Heard       time.Time
	Leaving     bool
	Prefixes    map[uint64]struct{} // hashes of the prompt prefixes it has cached
}

// Serves reports whether the upstream serves model m.
func (v *View) Serves(m id.Model) bool { return slices.Contains(v.Models, m) }

// Table is an entry's view of all upstreams.
type Table struct {
	mu      sync.RWMutex
	views   map[id.Upstream]*View
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{views: make(map[id.Upstream]*View), changed: make(chan struct{})}
}

// Changed returns a channel that is closed when capacity may have appeared.
func (t *Table) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

// notify wakes those who wait for a change. The caller holds the lock.
func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Update sets what a heartbeat told, keeping the entry's own counts. A heartbeat
// of an older incarnation is ignored.
func (t *Table) Update(v View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.views[v.ID]
	if ok && old.Load.Incarnation > v.Load.Incarnation {
		return
	}
	if ok {
		v.Outstanding = old.Outstanding
	}
	t.views[v.ID] = &v
	t.notify()
}

// Piggyback sets the load that came with an answer.
func (t *Table) Piggyback(u id.Upstream, l wire.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.views[u]
	if !ok || v.Load.Incarnation > l.Incarnation {
		return
	}
	v.Load = l
	v.Heard = now
	t.notify()
}

// Start counts a request sent to u.
func (t *Table) Start(u id.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v, ok := t.views[u]; ok {
		v.Outstanding++
	}
}

// Finish counts the end of a request sent to u.
func (t *Table) Finish(u id.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v, ok := t.views[u]; ok && v.Outstanding > 0 {
		v.Outstanding--
	}
	t.notify()
}

// Forget drops the upstreams not heard from since a time.
func (t *Table) Forget(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for u, v := range t.views {
		if v.Heard.Before(since) {
			delete(t.views, u)
		}
	}
}

// All returns every view in the order of their ids.
func (t *Table) All() []View {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]View, 0, len(t.views))
	for _, v := range t.views {
		all = append(all, *v)
	}
	slices.SortFunc(all, func(a, b View) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}
