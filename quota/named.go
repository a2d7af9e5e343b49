package quota

// This file defines Named, the limit that an upstream names in its responses: how many requests a
// second it takes from all callers together, for as long as it says so.
//
// A lower limit holds at once. A higher one, or the end of a limit, holds only by a response to a
// request that was sent after the limit was last heard: of two responses whose exchanges overlap,
// nothing tells which the upstream wrote last.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// namedShare is the fraction of a limit that is used. The rest is a margin for the moments in
	// which gateways disagree about who they are, and about the time.
	namedShare = 0.9
	// namedUsable is how long a slot of a limit may be used.
	namedUsable = time.Second
	// minAskRate is how many requests a second an upstream gets that names a lower limit, or zero: only
	// its responses tell when the limit ends.
	minAskRate id.PerSecond = 0.2
	// maxOverlapping bounds how many limits an upstream may have named in exchanges that overlap.
	maxOverlapping = 8
)

// Statement is what an upstream has said of its limit in the response to a request.
type Statement struct {
	Limited bool         // false: it names no limit
	Limit   id.PerSecond // if limited
	SentAt  time.Time    // when the request was sent
	HeardAt time.Time    // when its response began
}

// Valid reports whether a statement has a rate for a limit, and times.
func (s *Statement) Valid() bool {
	return !s.SentAt.After(s.HeardAt) && (!s.Limited || s.Limit >= 0 && !math.IsInf(float64(s.Limit), 1))
}

// bound returns the limit of a statement; one without a limit has none that is lower.
func (s *Statement) bound() float64 {
	if !s.Limited {
		return math.Inf(1)
	}
	return float64(s.Limit)
}

// Says reports whether two statements name the same limit, or none.
func (s *Statement) Says(other *Statement) bool {
	return s.Limited == other.Limited && s.Limit == other.Limit
}

// heard is a statement that may be an upstream's latest word.
type heard struct {
	Statement
	own bool // made to this process
}

// Named is the limit that an upstream has named. The zero value is that of an upstream that has
// said nothing.
type Named struct {
	// statements are those that are followed by no other, that is, whose response began before the
	// request of the other was sent. There is one for each limit, the lowest first.
	statements []heard
}

// Clone returns a copy that statements added to n do not change.
func (n *Named) Clone() Named { return Named{slices.Clone(n.statements)} }

// Holds returns the statement that holds, and whether it was made to this process.
func (n *Named) Holds() (s Statement, own bool) {
	if len(n.statements) == 0 {
		return Statement{}, false
	}
	return n.statements[0].Statement, n.statements[0].own
}

// Add adds a statement, own if it was made to this process, and drops those that it follows.
func (n *Named) Add(s Statement, own bool) {
	for i := range n.statements {
		if n.statements[i].SentAt.After(s.HeardAt) {
			return
		}
	}
	n.statements = slices.DeleteFunc(n.statements, func(old heard) bool { return s.SentAt.After(old.HeardAt) })
	i, known := slices.BinarySearchFunc(n.statements, s, func(a heard, s Statement) int { return cmp.Compare(a.bound(), s.bound()) })
	if !known {
		n.statements = slices.Insert(n.statements, i, heard{s, own})
		n.statements = n.statements[:min(len(n.statements), maxOverlapping)]
		return
	}
	old := &n.statements[i]
	old.own = own || old.own && !s.HeardAt.After(old.HeardAt)
	if s.SentAt.After(old.SentAt) {
		old.SentAt = s.SentAt
	}
	if s.HeardAt.After(old.HeardAt) {
		old.HeardAt = s.HeardAt
	}
}

// Rate returns the rate that the limit allows, and whether there is a limit. Key is that of the rate.
func (n *Named) Rate(key uint64) (rate Rate, limited bool) {
	s, _ := n.Holds()
	if !s.Limited {
		return Rate{}, false
	}
	return Rate{Key: key, PerSecond: max(s.Limit*namedShare, minAskRate), Usable: namedUsable, Burst: true}, true
}

// Passing reports whether a slot of the limit will soon pass that could be used since a time.
func Passing(now, since time.Time) bool { return now.Sub(since) >= namedUsable/2 }
