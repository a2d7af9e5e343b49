// Package route decides which upstream runs a request.
package route

import (
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/upstream"
)

// Staleness is how long an upstream is used after it was last heard from.
const Staleness = 3 * time.Second

// QueueAhead is how many requests beyond its limit an upstream is sent, so that
// it does not idle while an answer travels.
const QueueAhead = 1

// Ask is what a request needs of an upstream.
type Ask struct {
	Model   id.Model   // empty: a plain service
	Service id.Service // empty: a model engine
	Avoid   []id.Upstream
}

// Decision is the outcome of a choice: *Chosen, *Full or *None.
type Decision interface{ decision() }

// Chosen names the upstream to use.
type Chosen struct{ Upstream upstream.View }

// Full says that upstreams exist but none has room.
type Full struct{}

// None says that no upstream can run the request.
type None struct{}

func (*Chosen) decision() {}
func (*Full) decision()   {}
func (*None) decision()   {}

// Choose returns the usable upstream with the least load for its limit. One that
// is to be avoided is used only if no other has room.
func Choose(now time.Time, rules *rule.Set, views []upstream.View, ask Ask) Decision {
	var best *upstream.View
	var bestLoad float64
	bestAvoided, usable := false, false
	for i := range views {
		v := &views[i]
		if !eligible(now, rules, v, ask) {
			continue
		}
		usable = true
		busy := max(v.Outstanding, v.Load.Running+v.Load.Waiting)
		if busy >= v.Load.Limit+QueueAhead {
			continue
		}
		load := float64(busy) / float64(max(1, v.Load.Limit))
		avoided := slices.Contains(ask.Avoid, v.ID)
		better := load < bestLoad
		if avoided != bestAvoided {
			better = bestAvoided
		}
		if best == nil || better {
			best, bestLoad, bestAvoided = v, load, avoided
		}
	}
	switch {
	case best != nil:
		return &Chosen{Upstream: *best}
	case usable:
		return &Full{}
	}
	return &None{}
}

func eligible(now time.Time, rules *rule.Set, v *upstream.View, ask Ask) bool {
	if v.Leaving || !upstream.State(v.Load.State).TakesWork() || now.Sub(v.Heard) > Staleness || rules.Drained(v.DataCentre) {
		return false
	}
	if ask.Service != "" {
		return v.Service == ask.Service
	}
	return v.Serves(ask.Model)
}
