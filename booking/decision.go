package booking

// This file defines Decide, which decides how to handle a request for a call.

import (
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// Decision says how to handle a request: *Free, *Owned, *Mismatch, *Pending or *Replay.
type Decision interface{ decision() }

// Free means that no request owns the call, so the request may append its intent.
type Free struct{}

// Owned means that the request owns the call and may run it.
type Owned struct{}

// Mismatch means that the idempotency key was used for a call with another method,
// path or body.
type Mismatch struct{ Owner id.Request }

// Pending means that another request owns the call and has not settled it.
type Pending struct{ Call *Call }

// Replay means that the call has ended, with an outcome other than NotRun, and that its
// settlement is the response.
type Replay struct{ Settlement *ragwortv1.BookingSettled }

func (*Free) decision()     {}
func (*Owned) decision()    {}
func (*Mismatch) decision() {}
func (*Pending) decision()  {}
func (*Replay) decision()   {}

// Decide returns how to handle request rq for a call with digest d. The argument c is
// the call that the table holds under the same key, or nil.
func Decide(c *Call, rq id.Request, d Digest) Decision {
	switch {
	case c == nil || c.retryable():
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
