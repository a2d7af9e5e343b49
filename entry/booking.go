package entry

// This file defines bookingRequest, which serves calls that must not be repeated and
// carry an idempotency key. The intent to run a call is appended to the log before the
// request is sent, and the outcome afterwards. The request whose intent is first on the
// log owns the call.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/booking"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// IdempotencyHeader identifies a call, so that repeats are distinguished from new calls.
const IdempotencyHeader = "Idempotency-Key"

// replayedHeader marks a response that was recorded for an earlier request.
const replayedHeader = "Idempotent-Replayed"

const (
	logStaleAfter       = 3 * time.Second // time without a read after which the log counts as unavailable
	intentTimeout       = 2 * time.Second // for appending an intent and reading it back
	ownerTimeout        = 2 * time.Second // for the outcome of a call that another request owns
	settleReadTimeout   = time.Second     // for reading an outcome back before the response is sent
	settleAppendTimeout = time.Minute     // for appending an outcome to the log
	defaultRunTimeout   = time.Minute     // for a class without a deadline
	orphanMargin        = 5 * time.Second // beyond the run timeout, before an intent counts as orphaned
	bookingRetryAfter   = 2 * time.Second
)

// bookingRequest is one request for a call that must not be repeated.
type bookingRequest struct {
	e       *Entry
	rq      *request
	callKey booking.CallKey
	digest  booking.Digest
}

// isKnownCall reports whether rq repeats a known call. A repeat is exempt from the
// workspace's limits, because a refusal that says not_run could be false: the call may
// have run.
func (e *Entry) isKnownCall(rq *request, key string) bool {
	if !rq.atMostOnce() || key == "" {
		return false
	}
	_, free := booking.Decide(e.deps.Bookings.State.Bookings.Find(bookingCallKey(rq, key)), rq.id, bookingDigest(rq)).(*booking.Free)
	return !free
}

func bookingCallKey(rq *request, key string) booking.CallKey {
	return booking.CallKey{Workspace: rq.workspace(), IdempotencyKey: key}
}

func bookingDigest(rq *request) booking.Digest {
	return booking.DigestOf(rq.method, string(rq.service)+rq.uri, rq.body)
}

// serveBooking serves a request that carries an idempotency key.
func (e *Entry) serveBooking(w http.ResponseWriter, r *http.Request, rq *request, key string) {
	if len(key) > booking.MaxKeyBytes {
		e.refuse(w, r, badRequest(fmt.Sprintf("%s: longer than %d bytes", IdempotencyHeader, booking.MaxKeyBytes)))
		return
	}
	// The call continues after its caller disconnects, so that a repeat learns its outcome.
	ctx, done := e.requestTracker.Track(context.WithoutCancel(r.Context()), rq.key.ID)
	defer done()
	b := &bookingRequest{e: e, rq: rq, callKey: bookingCallKey(rq, key), digest: bookingDigest(rq)}
	if p := b.serve(ctx, w, r.WithContext(ctx)); p != nil {
		e.refuse(w, r, p)
	}
}

// serve runs the call or replies with its known outcome. It returns a refusal if it
// has not sent a response.
func (b *bookingRequest) serve(ctx context.Context, w http.ResponseWriter, r *http.Request) *problem.Problem {
	state := b.e.deps.Bookings.State
	waitUntil := time.Now().Add(ownerTimeout)
	for {
		changed := state.Changed()
		switch d := booking.Decide(state.Bookings.Find(b.callKey), b.rq.id, b.digest).(type) {
		case *booking.Free:
			now := time.Now()
			if now.After(waitUntil) {
				return logUnavailable("other requests repeatedly gave up this call")
			}
			if p := b.appendIntent(ctx, now); p != nil {
				return p
			}
		case *booking.Owned:
			b.runOwned(ctx, w, r)
			return nil
		case *booking.Mismatch:
			return problem.New(problem.BookingConflict, problem.NotRun, http.StatusUnprocessableEntity,
				"%s was used for another call, by request %s", IdempotencyHeader, d.Owner)
		case *booking.Replay:
			return b.replay(w, d.Settlement)
		case *booking.Pending:
			if p := b.awaitOwner(ctx, d.Call, waitUntil, changed); p != nil {
				return p
			}
		}
	}
}

// appendIntent appends the intent and waits until it has been read back. If that is
// not certain in time, it returns a refusal, and this request never runs the call.
func (b *bookingRequest) appendIntent(ctx context.Context, now time.Time) *problem.Problem {
	stream := b.e.deps.Bookings
	if !stream.Follower.CaughtUp() || !stream.Follower.LogAvailable(now, logStaleAfter) {
		return logUnavailable("the log is unavailable")
	}
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	o, err := stream.Writer.Append(ctx, now, &ragwortv1.Record{Body: &ragwortv1.Record_BookingIntended{
		BookingIntended: &ragwortv1.BookingIntended{
			Workspace: string(b.callKey.Workspace), IdempotencyKey: b.callKey.IdempotencyKey, Request: string(b.rq.id),
			Route: string(b.rq.route.Name), BodyDigest: b.digest[:], Entry: string(b.e.cfg.Node),
		},
	}})
	if err == nil && o.Result == logbook.Invalid {
		return badRequest(IdempotencyHeader + ": the call cannot be recorded under this key")
	}
	if err == nil {
		b.e.traceDecision(now, b.rq.id, "book", "intent_folded", "")
		return nil
	}
	var uncertain *logbook.UncertainError
	if errors.As(err, &uncertain) {
		b.e.count("booking_intent_uncertain")
		b.settle(context.WithoutCancel(ctx), now, &ragwortv1.BookingSettled{Outcome: string(booking.NotRun)}, b.rq.id)
	}
	return logUnavailable(err.Error())
}

func logUnavailable(why string) *problem.Problem {
	return problem.New(problem.LogUnavailable, problem.NotRun, http.StatusServiceUnavailable,
		"the call cannot be recorded before it runs: %s", why).WithRetryAfter(bookingRetryAfter)
}

// awaitOwner waits for a change of a call that another request owns. It settles the call if
// it is orphaned. It returns nil if the call may have changed, or a refusal if the wait has
// timed out or ctx has ended.
func (b *bookingRequest) awaitOwner(ctx context.Context, c *booking.Call, waitUntil time.Time, changed <-chan struct{}) *problem.Problem {
	now := time.Now()
	if age := b.e.intentAges.age(now, c.Owner()); age > b.runTimeout()+orphanMargin {
		return b.settleOrphan(ctx, now, c.Owner())
	}
	end := time.NewTimer(waitUntil.Sub(now))
	defer end.Stop()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return problem.New(problem.CallerGone, problem.RunUnknown, 499, "the caller has disconnected")
	case <-end.C:
	}
	p := problem.New(problem.BookingPending, problem.RunUnknown, http.StatusConflict,
		"request %s runs this call and has no outcome yet", c.Owner()).WithRetryAfter(bookingRetryAfter)
	p.Repeatable = true // a repeat of a call does not run it again
	return p
}

// settleOrphan settles a call whose owner can no longer be running it as of unknown outcome.
// If the owner runs after all, the first settlement applies to it too.
func (b *bookingRequest) settleOrphan(ctx context.Context, now time.Time, owner id.Request) *problem.Problem {
	b.e.count("booking_orphaned")
	select {
	case <-b.settle(ctx, now, &ragwortv1.BookingSettled{Outcome: string(booking.Unknown)}, owner):
		return nil
	case <-time.After(settleReadTimeout):
	}
	return bookingUnknown(owner)
}

func bookingUnknown(owner id.Request) *problem.Problem {
	return problem.New(problem.BookingUnknown, problem.RunUnknown, http.StatusConflict,
		"request %s may have run this call; its outcome is not known and it is not run again", owner)
}

// runTimeout returns how long the call may run once its intent has been applied.
func (b *bookingRequest) runTimeout() time.Duration {
	if d := b.rq.class.Deadline; d > 0 {
		return d
	}
	return defaultRunTimeout
}

// runOwned runs the call that this request owns and replies with its outcome.
func (b *bookingRequest) runOwned(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	b.e.count("bookings_run")
	ctx, cancel := context.WithTimeout(ctx, b.runTimeout())
	defer cancel()
	response := newBufferedResponse()
	b.e.dispatchBuffered(response, r.WithContext(ctx), b.rq)
	settled := response.settlement()
	b.e.traceDecision(time.Now(), b.rq.id, "book", settled.GetOutcome(), "")
	select {
	case o := <-b.settle(context.WithoutCancel(ctx), time.Now(), settled, b.rq.id):
		if p := b.settledElsewhere(o); p != nil {
			b.e.refuse(w, r, p)
			return
		}
	case <-time.After(settleReadTimeout):
		b.e.count("booking_settled_late")
	}
	response.writeTo(w)
}

// settledElsewhere returns the refusal for an owner whose call another process settled
// first, so that the owner and all repeats get the same outcome.
func (b *bookingRequest) settledElsewhere(o logbook.Outcome) *problem.Problem {
	c := b.e.deps.Bookings.State.Bookings.Find(b.callKey)
	if o.Result != logbook.Conflict || c == nil || c.Owner() != b.rq.id {
		return nil
	}
	return bookingUnknown(b.rq.id)
}

// settle appends the outcome of the owner's call in the background. The channel
// receives the result of the append, or nothing if that result is not known.
func (b *bookingRequest) settle(ctx context.Context, now time.Time, s *ragwortv1.BookingSettled, owner id.Request) <-chan logbook.Outcome {
	s.Workspace, s.IdempotencyKey, s.Request = string(b.callKey.Workspace), b.callKey.IdempotencyKey, string(owner)
	done := make(chan logbook.Outcome, 1)
	b.e.settlements.start(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleAppendTimeout)
		defer cancel()
		o, err := b.e.deps.Bookings.Writer.Append(ctx, now, &ragwortv1.Record{
			Body: &ragwortv1.Record_BookingSettled{BookingSettled: s},
		})
		if err != nil {
			b.e.count("booking_settle_failed")
			return
		}
		b.e.count("booking_settled_" + s.GetOutcome() + "_" + string(o.Result))
		done <- o
	})
	return done
}

// replay sends the recorded outcome of an earlier request, unless its status would promise that
// the call has not run.
func (b *bookingRequest) replay(w http.ResponseWriter, s *ragwortv1.BookingSettled) *problem.Problem {
	owner := id.Request(s.GetRequest())
	b.e.traceDecision(time.Now(), b.rq.id, "book", "repeat", "owner="+string(owner)+" outcome="+s.GetOutcome())
	if booking.Outcome(s.GetOutcome()) != booking.Answered || problem.PromisesNotRun(int(s.GetStatus())) {
		return bookingUnknown(owner)
	}
	if s.GetBodyBytes() > uint64(len(s.GetBody())) {
		return problem.New(problem.BookingNotKept, problem.RunUnknown, http.StatusConflict,
			"request %s ran this call and was answered with status %d; the answer of %d bytes was too long to keep",
			owner, s.GetStatus(), s.GetBodyBytes())
	}
	b.e.count("bookings_repeated")
	if t := s.GetContentType(); t != "" {
		w.Header().Set("Content-Type", t)
	}
	w.Header().Set(replayedHeader, "true")
	w.WriteHeader(int(s.GetStatus()))
	_, _ = w.Write(s.GetBody())
	return nil
}
