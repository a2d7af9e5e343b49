package entry

// This file defines book: a call that may not be repeated and carries an idempotency
// key. Its intent is on the log before anything is sent, and its outcome after.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/booking"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// IdempotencyHeader names a call, so that its repeats can be told from new calls.
const IdempotencyHeader = "Idempotency-Key"

// replayedHeader marks an answer that an earlier request received first.
const replayedHeader = "Idempotent-Replayed"

const (
	logLateAfter   = 3 * time.Second // without a read, the log counts as out
	intentTimeout  = 2 * time.Second // for an intent to be read back
	pendingWait    = 2 * time.Second // for the outcome of another request's run
	settleWait     = time.Second     // for the outcome to be read back, before the answer goes out
	settleTimeout  = time.Minute     // for the outcome to reach the log at all
	defaultRun     = time.Minute     // longest run of a class without a deadline
	orphanMargin   = 5 * time.Second // after the longest run, before an intent counts as orphaned
	bookRetryAfter = 2 * time.Second
)

// booked is one request for a call that may not be repeated.
type booked struct {
	e      *Entry
	rq     *request
	name   booking.CallKey
	digest booking.Digest
}

// bookedBefore reports whether rq repeats a call that is known. A repeat is told what
// became of the call whatever its workspace has spent: a refusal that says not_run
// would be false of the call.
func (e *Entry) bookedBefore(rq *request, key string) bool {
	if !rq.once() || key == "" {
		return false
	}
	_, free := booking.Decide(e.deps.Bookings.State.Bookings.Find(bookingName(rq, key)), rq.id, bookingDigest(rq)).(*booking.Free)
	return !free
}

func bookingName(rq *request, key string) booking.CallKey {
	return booking.CallKey{Workspace: rq.workspace(), IdempotencyKey: key}
}

func bookingDigest(rq *request) booking.Digest {
	return booking.DigestOf(rq.method, string(rq.service)+rq.uri, rq.body)
}

// book serves a request that carries an idempotency key.
func (e *Entry) book(w http.ResponseWriter, r *http.Request, rq *request, key string) {
	if len(key) > booking.MaxKeyBytes {
		e.refuse(w, r, badRequest(IdempotencyHeader+": too long"))
		return
	}
	// The run goes on when its caller leaves, so that a repeat learns its outcome.
	ctx, done := e.uses.Track(context.WithoutCancel(r.Context()), rq.key.ID)
	defer done()
	b := &booked{e: e, rq: rq, name: bookingName(rq, key), digest: bookingDigest(rq)}
	if p := b.serve(ctx, w, r.WithContext(ctx)); p != nil {
		e.refuse(w, r, p)
	}
}

// serve runs the call or answers with what became of it; it returns a refusal if
// it has sent nothing.
func (b *booked) serve(ctx context.Context, w http.ResponseWriter, r *http.Request) *problem.Problem {
	table := b.e.deps.Bookings.State
	giveUp := time.Now().Add(pendingWait)
	for {
		changed := table.Changed()
		switch d := booking.Decide(table.Bookings.Find(b.name), b.rq.id, b.digest).(type) {
		case *booking.Free:
			now := time.Now()
			if now.After(giveUp) {
				return logUnavailable("other requests keep giving this call up")
			}
			if p := b.intend(ctx, now); p != nil {
				return p
			}
		case *booking.Owned:
			b.run(ctx, w, r)
			return nil
		case *booking.Mismatch:
			return problem.New(problem.BookingConflict, problem.NotRun, http.StatusUnprocessableEntity,
				"%s stands for another call, of request %s", IdempotencyHeader, d.Owner)
		case *booking.Replay:
			return b.repeat(w, d.Settlement)
		case *booking.Pending:
			if p := b.pending(ctx, d.Call, giveUp, changed); p != nil {
				return p
			}
		}
	}
}

// intend appends the intent and waits until it has been read back. It refuses if
// that is not known in time: this request then never runs the call.
func (b *booked) intend(ctx context.Context, now time.Time) *problem.Problem {
	stream := b.e.deps.Bookings
	if !stream.Follower.CaughtUp() || !stream.Follower.LogAvailable(now, logLateAfter) {
		return logUnavailable("the log does not answer")
	}
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	o, err := stream.Writer.Append(ctx, now, &ragwortv1.Record{Body: &ragwortv1.Record_BookingIntended{
		BookingIntended: &ragwortv1.BookingIntended{
			Workspace: string(b.name.Workspace), IdempotencyKey: b.name.IdempotencyKey, Request: string(b.rq.id),
			Route: string(b.rq.route.Name), BodyDigest: b.digest[:], Entry: string(b.e.cfg.Node),
		},
	}})
	if err == nil && o.Result == logbook.Invalid {
		return badRequest(IdempotencyHeader + ": not accepted")
	}
	if err == nil {
		b.e.decide(now, b.rq.id, "book", "intent_folded", "")
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
		"the call cannot be recorded before it runs: %s", why).WithRetryAfter(bookRetryAfter)
}

// pending waits for a change of a call that another request owns. It returns a
// refusal once the wait is over.
func (b *booked) pending(ctx context.Context, c *booking.Call, giveUp time.Time, changed <-chan struct{}) *problem.Problem {
	now := time.Now()
	if age := b.e.intents.age(now, c.Owner()); age > b.longestRun()+orphanMargin {
		return b.orphan(ctx, now, c.Owner())
	}
	end := time.NewTimer(giveUp.Sub(now))
	defer end.Stop()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return problem.New(problem.CallerGone, problem.Unknown, 499, "the caller has left")
	case <-end.C:
	}
	return problem.New(problem.BookingPending, problem.Unknown, http.StatusConflict,
		"request %s runs this call and has no outcome yet", c.Owner()).WithRetryAfter(bookRetryAfter)
}

// orphan settles a call whose owner can no longer be running it. Should the owner
// be alive all the same, the first settlement holds for it too.
func (b *booked) orphan(ctx context.Context, now time.Time, owner id.Request) *problem.Problem {
	b.e.count("booking_orphaned")
	select {
	case <-b.settle(ctx, now, &ragwortv1.BookingSettled{Outcome: string(booking.Unknown)}, owner):
		return nil
	case <-time.After(settleWait):
	}
	return bookingUnknown(owner)
}

func bookingUnknown(owner id.Request) *problem.Problem {
	return problem.New(problem.BookingUnknown, problem.Unknown, http.StatusConflict,
		"request %s may have run this call; its outcome is not known and it is not run again", owner)
}

// longestRun bounds how long the call may take once its intent has been folded.
func (b *booked) longestRun() time.Duration {
	if d := b.rq.class.Deadline; d > 0 {
		return d
	}
	return defaultRun
}

// run runs the call, which this request owns, and answers with its outcome.
func (b *booked) run(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	b.e.count("bookings_run")
	ctx, cancel := context.WithTimeout(ctx, b.longestRun())
	defer cancel()
	got := newCapture()
	b.e.dispatchInto(got, r.WithContext(ctx), b.rq)
	settled := got.settlement()
	b.e.decide(time.Now(), b.rq.id, "book", settled.GetOutcome(), "")
	select {
	case o := <-b.settle(context.WithoutCancel(ctx), time.Now(), settled, b.rq.id):
		if p := b.overruled(o); p != nil {
			b.e.refuse(w, r, p)
			return
		}
	case <-time.After(settleWait):
		b.e.count("booking_settled_late")
	}
	got.send(w)
}

// overruled returns the refusal of an owner whose call was settled by another
// process first, so that all who ask are told the same.
func (b *booked) overruled(o logbook.Outcome) *problem.Problem {
	c := b.e.deps.Bookings.State.Bookings.Find(b.name)
	if o.Result != logbook.Conflict || c == nil || c.Owner() != b.rq.id {
		return nil
	}
	return bookingUnknown(b.rq.id)
}

// settle appends the outcome of the owner's call and goes on in the background. The
// channel gets what the fold made of it, and nothing if that was not to be learnt.
func (b *booked) settle(ctx context.Context, now time.Time, s *ragwortv1.BookingSettled, owner id.Request) <-chan logbook.Outcome {
	s.Workspace, s.IdempotencyKey, s.Request = string(b.name.Workspace), b.name.IdempotencyKey, string(owner)
	done := make(chan logbook.Outcome, 1)
	b.e.settles.start(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
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

// repeat answers with the outcome that an earlier request was given.
func (b *booked) repeat(w http.ResponseWriter, s *ragwortv1.BookingSettled) *problem.Problem {
	owner := id.Request(s.GetRequest())
	b.e.decide(time.Now(), b.rq.id, "book", "repeat", "owner="+string(owner)+" outcome="+s.GetOutcome())
	if booking.Outcome(s.GetOutcome()) != booking.Answered {
		return bookingUnknown(owner)
	}
	if s.GetBodyBytes() > uint64(len(s.GetBody())) {
		return problem.New(problem.BookingNotKept, problem.Unknown, http.StatusConflict,
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
