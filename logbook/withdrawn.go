package logbook

// This file defines what ends the requests of a withdrawn key.

import (
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
)

// CancelWithdrawn ends the uses of a key when its withdrawal is folded, and tells how
// many there were.
func CancelWithdrawn(s *State, uses *key.RequestTracker, ended func(n int)) {
	s.Observe(func(o Outcome) {
		switch {
		case o.Result == Restored:
			ended(uses.CancelWithdrawn())
		case o.Result == Accepted && o.Record.GetKeyWithdrawn() != nil:
			ended(uses.Cancel(id.Key(o.Record.GetKeyWithdrawn().GetKey())))
		}
	})
}
