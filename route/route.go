// Package route decides which upstream runs a request.
package route

import (
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

// Choose returns the usable upstream with the least load for its limit.
func Choose(now time.Time, rules *rule.Set, views []upstream.View, ask Ask) Decision {
	var best *upstream.View
	var bestLoad float64
	usable := false
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
		if best == nil || load < bestLoad {
			best, bestLoad = v, load
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
	for _, u := range ask.Avoid {
		if u == v.ID {
			return false
		}
	}
	if ask.Service != "" {
		return v.Service == ask.Service
	}
	return v.Serves(ask.Model)
}
