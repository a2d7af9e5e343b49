// Package peer keeps what gateways tell one another: who is alive, what each has
// running, what began at upstreams, and what the platform's store says to those that
// it answers.
//
// Table is the view, without clock or socket. Every gateway says one row of itself
// and passes on the rows it has heard, so that a row reaches all of them in a few
// rounds and outlives its gateway. Marks tell which rows a peer has, and carry signs of
// life, so that a row travels only when it has changed. Exchanger is the driver.
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
	// aliveFor is how long a gateway counts as alive after its last sign of life: six
	// rounds, since these travel over others.
	aliveFor = 1500 * time.Millisecond
	// keepFor is how long the row of a gateway that has ended is kept: what it counted
	// must reach the report of its last window.
	keepFor = 20 * time.Second
	// A row is replaced each round in a small fleet, and less often for each rowShare
	// gateways more, so that what travels grows with the fleet and not with its square.
	// longestSaid bounds how much a gateway that ends has counted in vain.
	rowShare    = 8
	longestSaid = 2 * time.Second
	// skewFor is how long the difference to a peer's clock is used after it was seen.
	skewFor = 10 * time.Second
)

// Member is one incarnation of a gateway.
type Member struct {
	Node        id.Node
	Incarnation id.Incarnation
}

// Row is what one incarnation says of itself.
type Row = ragwortv1.PeerRow

// Mark says which row of an incarnation is known, and its last sign of life.
type Mark = ragwortv1.PeerMark

// heard is a row with the last sign of life of its gateway.
type heard struct {
	row  *Row
	beat uint64
	at   time.Time // when the sign of life came
	said time.Time // when the row was, if it is the own one
}

// skew is a peer's clock ahead of the own one.
type skew struct {
	ahead time.Duration
	at    time.Time
}

// Table is the rows that a gateway has heard. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	self  Member
	rows  map[Member]heard
	skews map[id.Node]skew
}

// NewTable returns a table with no rows but the own one, which Publish sets.
func NewTable(self Member) *Table {
	return &Table{self: self, rows: make(map[Member]heard), skews: make(map[id.Node]skew)}
}

// Self returns the own incarnation.
func (t *Table) Self() Member { return t.self }

func nameOf(r *Row) Member {
	return Member{Node: id.Node(r.GetNode()), Incarnation: id.Incarnation(r.GetIncarnation())}
}

// Publish gives a sign of life, and replaces the own row if that is due or urgent. The row
// must not be changed afterwards.
func (t *Table) Publish(now time.Time, r *Row, urgent bool) {
	live := len(t.Live(now))
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.rows[t.self]
	h.beat++
	h.at = now
	if due := min(interval*time.Duration(live/rowShare), longestSaid); h.row == nil || urgent || now.Sub(h.said) >= due {
		r.Node, r.Incarnation = string(t.self.Node), uint64(t.self.Incarnation)
		r.Sequence = h.row.GetSequence() + 1
		h.row, h.said = r, now
	}
	t.rows[t.self] = h
}

// Marks returns the marks of every row that is kept.
func (t *Table) Marks() []*Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*Mark, 0, len(t.rows))
	for n, h := range t.rows {
		out = append(out, &Mark{Node: string(n.Node), Incarnation: uint64(n.Incarnation), Sequence: h.row.GetSequence(), Beat: h.beat})
	}
	return out
}

// OwnRow returns the own row.
func (t *Table) OwnRow() *Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[t.self].row
}

// MissingRows returns the rows that a peer with the given marks does not have.
func (t *Table) MissingRows(marks []*Mark) []*Row {
	has := make(map[Member]uint64, len(marks))
	for _, m := range marks {
		has[Member{Node: id.Node(m.GetNode()), Incarnation: id.Incarnation(m.GetIncarnation())}] = m.GetSequence()
	}
	var out []*Row
	for _, r := range t.Rows() {
		if r.GetSequence() > has[nameOf(r)] {
			out = append(out, r)
		}
	}
	return out
}

// Merge takes rows and marks of a peer, and returns the incarnations that were not
// known.
func (t *Table) Merge(now time.Time, rows []*Row, marks []*Mark) (fresh []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows {
		name := nameOf(r)
		h, known := t.rows[name]
		if name == t.self || known && h.row.GetSequence() >= r.GetSequence() {
			continue
		}
		if !known {
			fresh = append(fresh, name)
			h.at = now
		}
		h.row = r
		t.rows[name] = h
	}
	for _, m := range marks {
		name := Member{Node: id.Node(m.GetNode()), Incarnation: id.Incarnation(m.GetIncarnation())}
		if h, known := t.rows[name]; known && name != t.self && m.GetBeat() > h.beat {
			h.beat, h.at = m.GetBeat(), now
			t.rows[name] = h
		}
	}
	maps.DeleteFunc(t.rows, func(n Member, h heard) bool { return n != t.self && now.Sub(h.at) > keepFor })
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

func (t *Table) alive(now time.Time, n Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return n == t.self || now.Sub(t.rows[n].at) <= aliveFor
}

// RecordClockOffset notes that a peer's clock is ahead of the own one by d.
func (t *Table) RecordClockOffset(now time.Time, n id.Node, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skews[n] = skew{ahead: d, at: now}
}

// MedianClockOffset returns how far the clocks of the fleet are ahead of the own one: the median
// over all, so that no single clock decides what time it is.
func (t *Table) MedianClockOffset(now time.Time) time.Duration {
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
