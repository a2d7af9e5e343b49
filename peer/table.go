// Package peer is the gossip protocol between gateways. It spreads which gateways are
// alive, how many requests of each workspace began in recent usage windows, and the
// content of the platform's topics, for gateways that the store does not answer.
//
// Table holds the state, without clock and I/O. Every gateway publishes one row about
// itself and passes on the rows of others, so that a row reaches all gateways in a few
// rounds and outlives its gateway. Marks state which version of each row a gateway has
// and carry heartbeats, so that a row is transferred only after it has changed.
// Exchanger exchanges rows and marks with peers.
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
	// livenessTimeout is how long a gateway counts as alive after its last heartbeat. It
	// is six rounds, since heartbeats reach a gateway by way of other gateways.
	livenessTimeout = 1500 * time.Millisecond
	// RowRetention is how long the row of a gateway that has ended is kept. Its counts
	// must be included in the report of its last window.
	RowRetention = 20 * time.Second
	// A gateway replaces its row at an interval that grows by one round for every
	// gatewaysPerRound live gateways, so that the traffic grows with the size of the fleet
	// and not with its square. In a small fleet, it does so each round. The interval, and
	// with it the counts that are lost when a gateway ends, is bounded by
	// maxPublishInterval.
	gatewaysPerRound   = 8
	maxPublishInterval = 2 * time.Second
	// clockOffsetRetention is how long a measured offset of a peer's clock is used.
	clockOffsetRetention = 10 * time.Second
)

// Member identifies one run of a gateway process.
type Member struct {
	Node        id.Node
	Incarnation id.Incarnation
}

// Row is the state that one run of a gateway publishes about itself.
type Row = ragwortv1.PeerRow

// Mark holds the sequence number of the row that is known of a member, and the last
// heartbeat of the member.
type Mark = ragwortv1.PeerMark

// rowState is a row with the last heartbeat of its gateway.
type rowState struct {
	row           *Row
	heartbeat     uint64    // a counter
	lastHeartbeat time.Time // when the counter last increased
	publishedAt   time.Time // when the row was published; set only for the own row
}

// clockOffset is how far the clock of a peer is ahead of the own one.
type clockOffset struct {
	ahead      time.Duration
	measuredAt time.Time
}

const (
	// memberRetention is how long a gateway that is silent and has not said that it is leaving
	// counts as a member. A gateway that is cut off from its peers thus does not take their parts of a
	// quota for its own while the cut may be short.
	memberRetention = 6 * time.Second
	// maxRoundGap is the longest time between two own rounds after which this gateway does not
	// count as having been frozen.
	maxRoundGap = time.Second
)

// Table holds the rows that a gateway knows. It is safe for concurrent use.
type Table struct {
	mu           sync.Mutex
	self         Member
	historyStart time.Time // the rows hold the counts of all requests from this time on, by the own clock
	rows         map[Member]rowState
	resumedAt    time.Time // when this gateway last went on after it had been frozen; zero: never
	clockOffsets map[id.Node]clockOffset
}

// NewTable returns a table without rows, of a gateway that started at a time by its own
// clock. Publish sets the own row.
func NewTable(self Member, started time.Time) *Table {
	return &Table{self: self, historyStart: started, rows: make(map[Member]rowState), clockOffsets: make(map[id.Node]clockOffset)}
}

// Self returns the member that the table belongs to.
func (t *Table) Self() Member { return t.self }

// memberOf returns the member that published a row.
func memberOf(r *Row) Member {
	return Member{Node: id.Node(r.GetNode()), Incarnation: id.Incarnation(r.GetIncarnation())}
}

// Publish increases the own heartbeat, and replaces the own row if it is urgent or the
// publish interval has passed. The row must not be changed afterwards.
func (t *Table) Publish(now time.Time, r *Row, urgent bool) {
	live := len(t.Live(now))
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.rows[t.self]
	if !state.lastHeartbeat.IsZero() && now.Sub(state.lastHeartbeat) > maxRoundGap {
		t.resumedAt = now
	}
	state.heartbeat++
	state.lastHeartbeat = now
	if interval := min(roundInterval*time.Duration(live/gatewaysPerRound), maxPublishInterval); state.row == nil || urgent || now.Sub(state.publishedAt) >= interval {
		r.Node, r.Incarnation = string(t.self.Node), uint64(t.self.Incarnation)
		r.Sequence = state.row.GetSequence() + 1
		state.row, state.publishedAt = r, now
	}
	t.rows[t.self] = state
}

// Marks returns the marks of all rows.
func (t *Table) Marks() []*Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*Mark, 0, len(t.rows))
	for m, state := range t.rows {
		out = append(out, &Mark{Node: string(m.Node), Incarnation: uint64(m.Incarnation), Sequence: state.row.GetSequence(), Beat: state.heartbeat})
	}
	return out
}

// OwnRow returns the own row, or nil before the first call of Publish.
func (t *Table) OwnRow() *Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[t.self].row
}

// MissingRows returns the rows that are newer than those of a peer with the given marks,
// or that it does not have.
func (t *Table) MissingRows(marks []*Mark) []*Row {
	sequences := make(map[Member]uint64, len(marks))
	for _, m := range marks {
		sequences[Member{Node: id.Node(m.GetNode()), Incarnation: id.Incarnation(m.GetIncarnation())}] = m.GetSequence()
	}
	var out []*Row
	for _, r := range t.Rows() {
		if r.GetSequence() > sequences[memberOf(r)] {
			out = append(out, r)
		}
	}
	return out
}

// Merge takes over newer rows and heartbeats from a peer and removes the rows of gateways
// that ended longer than RowRetention ago. It returns the members that were not known.
func (t *Table) Merge(now time.Time, rows []*Row, marks []*Mark) (added []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rows {
		member := memberOf(r)
		state, known := t.rows[member]
		if member == t.self || known && state.row.GetSequence() >= r.GetSequence() {
			continue
		}
		if !known {
			added = append(added, member)
			state.lastHeartbeat = now
		}
		state.row = r
		t.rows[member] = state
	}
	for _, m := range marks {
		member := Member{Node: id.Node(m.GetNode()), Incarnation: id.Incarnation(m.GetIncarnation())}
		if state, known := t.rows[member]; known && member != t.self && m.GetBeat() > state.heartbeat {
			state.heartbeat, state.lastHeartbeat = m.GetBeat(), now
			t.rows[member] = state
		}
	}
	maps.DeleteFunc(t.rows, func(m Member, state rowState) bool { return m != t.self && now.Sub(state.lastHeartbeat) > RowRetention })
	return added
}

// Rows returns all rows, ordered by node and incarnation.
func (t *Table) Rows() []*Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*Row, 0, len(t.rows))
	for _, state := range t.rows {
		out = append(out, state.row)
	}
	slices.SortFunc(out, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(a.GetNode(), b.GetNode()), cmp.Compare(a.GetIncarnation(), b.GetIncarnation()))
	})
	return out
}

// Live returns the rows of all live gateways, including the own one, ordered by node. For
// a node that was restarted, only the latest run is included.
func (t *Table) Live(now time.Time) []*Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []*Row
	for _, m := range t.latestRuns(now) {
		if t.isAlive(now, m) {
			live = append(live, t.rows[m].row)
		}
	}
	slices.SortFunc(live, func(a, b *Row) int { return cmp.Compare(a.GetNode(), b.GetNode()) })
	return live
}

// latestRuns returns the run of each node that counts: of the own node this one, else a live run
// before those that have ended, and of several the one with the largest incarnation. That is the time of
// its start, which may be smaller than the one before if the system time was set back. The caller
// holds the lock.
func (t *Table) latestRuns(now time.Time) map[id.Node]Member {
	latest := make(map[id.Node]Member)
	for m := range t.rows {
		other, found := latest[m.Node]
		alive, otherAlive := t.isAlive(now, m), t.isAlive(now, other)
		switch {
		case !found, m == t.self, other != t.self && alive && !otherAlive:
			latest[m.Node] = m
		case other != t.self && alive == otherAlive && m.Incarnation > other.Incarnation:
			latest[m.Node] = m
		}
	}
	return latest
}

// Members returns the nodes that share quotas: those that were heard from in memberRetention, by this
// gateway's own time, of which the time for which it was frozen is no part.
func (t *Table) Members(now time.Time) []id.Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []id.Node
	for node, m := range t.latestRuns(now) {
		state := t.rows[m]
		heard := state.lastHeartbeat
		if t.resumedAt.After(heard) {
			heard = t.resumedAt
		}
		silence, retention := now.Sub(heard), memberRetention
		if state.row.GetLeaving() {
			retention = livenessTimeout
		}
		if m == t.self || silence <= retention {
			members = append(members, node)
		}
	}
	slices.Sort(members)
	return members
}

const (
	// minGroupedFleet is the number of live gateways from which on the gateways of a data
	// centre read the platform's topics together. In a smaller fleet, what every gateway
	// reads costs less than it takes to notice that a common reader has failed.
	minGroupedFleet = 8
	// minGroup is the smallest number of gateways of a data centre that are a group of their
	// own. Those of smaller data centres are one group.
	minGroup = 3
)

// Reader returns the row of the gateway from which this one and the others of its group take over
// views of the platform's topics: the first by name that is not shutting down. Grouped is false if the
// fleet is too small for groups. The row is nil if every gateway of the group is shutting down.
func (t *Table) Reader(now time.Time, dataCentre id.DataCentre) (reader *Row, grouped bool) {
	live := t.Live(now)
	if len(live) < minGroupedFleet {
		return nil, false
	}
	sizes := make(map[string]int)
	for _, r := range live {
		sizes[r.GetDataCentre()]++
	}
	groupOf := func(dataCentre string) string {
		if sizes[dataCentre] < minGroup {
			return ""
		}
		return dataCentre
	}
	for _, r := range live {
		if !r.GetLeaving() && groupOf(r.GetDataCentre()) == groupOf(string(dataCentre)) {
			return r, true
		}
	}
	return nil, true
}

// Leader returns the row of the gateway that acts for the fleet: the first by name that is alive and not
// shutting down. It is nil if there is none.
func (t *Table) Leader(now time.Time) *Row {
	for _, r := range t.Live(now) {
		if !r.GetLeaving() {
			return r
		}
	}
	return nil
}

// Source returns the row of the gateway whose views of the platform's topics this one takes over: that of the
// reader of its group, or for the reader itself that of the leader. The row is nil in a fleet that is
// too small for groups, for the leader, and if no other gateway can be asked.
func (t *Table) Source(now time.Time, dataCentre id.DataCentre) *Row {
	source, grouped := t.Reader(now, dataCentre)
	if source != nil && memberOf(source) == t.self {
		source = t.Leader(now)
	}
	if !grouped || source == nil || memberOf(source) == t.self {
		return nil
	}
	return source
}

// isAlive reports whether the last heartbeat of a member is recent. The caller holds the lock.
func (t *Table) isAlive(now time.Time, m Member) bool {
	return m == t.self || now.Sub(t.rows[m].lastHeartbeat) <= livenessTimeout
}

// ExtendHistory records that the table has every row of a peer whose rows hold the counts of
// all requests from a time on, by the own clock.
func (t *Table) ExtendHistory(from time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from.Before(t.historyStart) {
		t.historyStart = from
	}
}

// HistoryStart returns the time by the own clock from which on the rows hold the counts of all
// requests, except those that a gateway counted and could not pass on before it ended. Peers
// are told how long ago that is, as clocks may be wrong before those of others are measured.
func (t *Table) HistoryStart() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.historyStart
}

// HistoryFrom returns HistoryStart in fleet time.
func (t *Table) HistoryFrom(now time.Time) time.Time {
	return t.HistoryStart().Add(t.MedianClockOffset(now))
}

// RecordClockOffset records how far the clock of a peer is ahead of the own one.
func (t *Table) RecordClockOffset(now time.Time, node id.Node, ahead time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clockOffsets[node] = clockOffset{ahead: ahead, measuredAt: now}
}

// MedianClockOffset returns how far the median clock of the fleet is ahead of the own one.
// The median is that of all clocks, the own one included, so that no single clock sets the
// time.
func (t *Table) MedianClockOffset(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	offsets := []time.Duration{0}
	for node, offset := range t.clockOffsets {
		if now.Sub(offset.measuredAt) > clockOffsetRetention {
			delete(t.clockOffsets, node)
			continue
		}
		offsets = append(offsets, offset.ahead)
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}
