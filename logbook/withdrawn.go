package logbook

// This file defines the cancelling of requests whose key is withdrawn.

import (
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
)

// CancelWithdrawn cancels the requests of a key when its withdrawal is applied, and
// those of all withdrawn keys when a snapshot is restored. Each time it calls cancelled
// with the number of cancelled requests.
func CancelWithdrawn(s *State, tracker *key.RequestTracker, cancelled func(n int)) {
	s.Observe(func(o Outcome) {
		switch {
		case o.Result == Restored:
			cancelled(tracker.CancelWithdrawn())
		case o.Result == Accepted && o.Record.GetKeyWithdrawn() != nil:
			cancelled(tracker.Cancel(id.Key(o.Record.GetKeyWithdrawn().GetKey())))
		}
	})
}
