package booking

// This file defines Judge, what becomes of a request for a call.

import (
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// Decision is what becomes of a request. Its variants are *Free, *Owned, *Mismatch,
// *Pending and *Repeat.
type Decision interface{ decision() }

// Free says that nobody owns the call: its intent may be appended.
type Free struct{}

// Owned says that the request owns the call and may run it.
type Owned struct{}

// Mismatch says that the idempotency key stands for another call.
type Mismatch struct{ Owner id.Request }

// Pending says that another request owns the call and has not settled it.
type Pending struct{ Call *Call }

// Replay says that the call has ended; its outcome is not NotRun.
type Replay struct{ Settlement *ragwortv1.BookingSettled }

func (*Free) decision()     {}
func (*Owned) decision()    {}
func (*Mismatch) decision() {}
func (*Pending) decision()  {}
func (*Replay) decision()   {}

// Decide returns what becomes of a request whose call has digest d. The call is as
// the table holds it, or nil.
func Decide(c *Call, rq id.Request, d Digest) Decision {
	switch {
	case c == nil || c.free():
		return &Free{}
	case c.Digest() != d:
		return &Mismatch{Owner: c.Owner()}
	case c.Settlement != nil:
		return &Replay{Settlement: c.Settlement}
	case c.Owner() == rq:
		return &Owned{}
	}
	return &Pending{Call: c}
}
