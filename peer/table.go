// Package peer keeps what gateways tell one another: who is alive, what each has
// running, what began at upstreams, and what the platform's store says to those that
// it answers.
//
// Table is the view, without clock or socket. Every gateway says one row of itself
// and passes on the rows it has heard, so that a row reaches all of them in a few
// rounds and outlives its gateway. Exchanger is the driver.
package peer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const (
	// aliveFor is how long a gateway counts as alive after its row last changed: six
	// rounds, since rows travel over others.
	aliveFor = 1500 * time.Millisecond
	// keepFor is how long the row of a gateway that has ended is kept: what it counted
	// must reach the report of its last window.
	keepFor = 20 * time.Second
	// skewFor is how long the difference to a peer's clock is used after it was seen.
	skewFor = 10 * time.Second
)

// Name is one incarnation of a gateway.
type Name struct {
	Node        id.Node
	Incarnation id.Incarnation
}

// Row is what one incarnation says of itself.
type Row = ragwortv1.PeerRow

// heard is a row and when it last changed.
type heard struct {
	row *Row
	at  time.Time
}

// skew is a peer's clock ahead of the own one.
type skew struct {
	ahead time.Duration
	at    time.Time
}

// Table is the rows that a gateway has heard. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	self  Name
	rows  map[Name]heard
	skews map[id.Node]skew
}

// NewTable returns a table with no rows but the own one, which Say sets.
func NewTable(self Name) *Table {
	return &Table{self: self, rows: make(map[Name]heard), skews: make(map[id.Node]skew)}
}

// Self returns the own incarnation.
func (t *Table) Self() Name { return t.self }

func nameOf(r *Row) Name {
	return Name{Node: id.Node(r.GetNode()), Incarnation: id.Incarnation(r.GetIncarnation())}
}

// Say replaces the own row. The row must not be changed afterwards.
func (t *Table) Say(now time.Time, r *Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Node, r.Incarnation = string(t.self.Node), uint64(t.self.Incarnation)
	r.Sequence = t.rows[t.self].row.GetSequence() + 1
	t.rows[t.self] = heard{row: r, at: now}
}

// Merge takes rows that a peer has passed on, and returns the incarnations that were
// not known.
func (t *Table) Merge(now time.Time, rows []*Row) (fresh []Name) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows {
		name := nameOf(r)
		old, known := t.rows[name]
		if name == t.self || known && old.row.GetSequence() >= r.GetSequence() {
			continue
		}
		if !known {
			fresh = append(fresh, name)
		}
		t.rows[name] = heard{row: r, at: now}
	}
	maps.DeleteFunc(t.rows, func(n Name, h heard) bool { return n != t.self && now.Sub(h.at) > keepFor })
	return fresh
}

// Rows returns every row that is kept, in the order of their names.
func (t *Table) Rows() []*Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*Row, 0, len(t.rows))
	for _, h := range t.rows {
		out = append(out, h.row)
	}
	slices.SortFunc(out, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(a.GetNode(), b.GetNode()), cmp.Compare(a.GetIncarnation(), b.GetIncarnation()))
	})
	return out
}

// Live returns the rows of the gateways that are alive, the own one among them, in
// the order of their nodes. Of a node that was started again only the last
// incarnation can be.
func (t *Table) Live(now time.Time) []*Row {
	latest := make(map[string]*Row)
	for _, r := range t.Rows() {
		if !t.alive(now, nameOf(r)) {
			continue
		}
		if old := latest[r.GetNode()]; old == nil || old.GetIncarnation() < r.GetIncarnation() {
			latest[r.GetNode()] = r
		}
	}
	return slices.SortedFunc(maps.Values(latest), func(a, b *Row) int { return cmp.Compare(a.GetNode(), b.GetNode()) })
}

func (t *Table) alive(now time.Time, n Name) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return n == t.self || now.Sub(t.rows[n].at) <= aliveFor
}

// Clock notes that a peer's clock is ahead of the own one by d.
func (t *Table) Clock(now time.Time, n id.Node, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skews[n] = skew{ahead: d, at: now}
}

// Ahead returns how far the clocks of the fleet are ahead of the own one: the median
// over all, so that no single clock decides what time it is.
func (t *Table) Ahead(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []time.Duration{0}
	for n, s := range t.skews {
		if now.Sub(s.at) > skewFor {
			delete(t.skews, n)
			continue
		}
		all = append(all, s.ahead)
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
