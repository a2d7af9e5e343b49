package gateway

// This file defines which events of a response continue the stream that a caller receives, and
// whether a response may end it.

import (
	"errors"
	"fmt"
	"mime"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

var (
	errUnnumbered  = errors.New("an event of the rest has no id")
	errNotInOrder  = errors.New("the ids of events do not increase")
	errAnotherRun  = errors.New("the rest does not follow the last event of the stream")
	errNoEvents    = errors.New("the response ended without an event")
	errEventAbsent = errors.New("the rest ended without the event that was begun before")
)

// streamProgress is what the caller has received of a stream, from all responses to its request.
type streamProgress struct {
	lastEventID uint64 // last event that the caller has received, if resuming
	resuming    bool   // the caller has received a part of the stream, from this request or an earlier one
	lastEvent   uint64 // hash of the last event relayed; zero: none yet
	skipsIDs    bool   // an id was not the one before plus one
	unnumbered  bool   // an event without an id was relayed, so that no upstream can be told where to continue
	begun       bool   // a response broke off within an event that the caller has not received
}

// continuation is how one response continues a stream.
type continuation struct {
	*streamProgress
	isRest       bool // the caller has a part of the stream from an earlier response
	hasEvents    bool
	relayed      bool // an event was relayed
	repeats      bool // it began with events that the caller has
	repeatedLast bool // the last one was among them
}

// checkRest returns an error if a response can't be the rest of a stream.
func checkRest(resp *http.Response) error {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil || resp.StatusCode != http.StatusOK || mediaType != "text/event-stream" {
		return fmt.Errorf("the request for the rest of the stream got status %d with content type %.64q", resp.StatusCode, resp.Header.Get("Content-Type"))
	}
	return nil
}

// accept reports whether an event is to be relayed. The error means that the response does not
// continue the stream.
func (c *continuation) accept(e *event) (bool, error) {
	if e.isComment() {
		return true, nil
	}
	c.hasEvents = true
	switch {
	case !e.hasID && c.isRest:
		return false, errUnnumbered
	case !e.hasID:
		return true, nil
	case c.resuming && e.id <= c.lastEventID:
		return false, c.acceptRepeat(e)
	case c.repeats && !c.repeatedLast:
		return false, errAnotherRun
	case c.isRest && c.resuming && !c.relayed && !c.skipsIDs && e.id != c.lastEventID+1:
		return false, errAnotherRun
	}
	return true, nil
}

// acceptRepeat checks an event that the caller has. An upstream may begin the rest before the
// last event if that is the same as in the run before.
func (c *continuation) acceptRepeat(e *event) error {
	switch {
	case c.relayed:
		return errNotInOrder
	case !c.isRest:
		return nil // the caller has it from an earlier request
	}
	c.repeats = true
	if e.id == c.lastEventID {
		c.repeatedLast = true
		if c.lastEvent != 0 && xxhash.Sum64(e.raw) != c.lastEvent {
			return errAnotherRun
		}
	}
	return nil
}

// noteRelayed records that the caller has received an event.
func (c *continuation) noteRelayed(e *event) {
	switch {
	case e.isComment():
		return
	case !e.hasID:
		c.unnumbered = true
	default:
		c.skipsIDs = c.skipsIDs || c.resuming && e.id != c.lastEventID+1
		c.lastEventID, c.resuming, c.lastEvent = e.id, true, xxhash.Sum64(e.raw)
	}
	c.relayed, c.begun = true, false
}

// checkEnd returns an error if the end of a response can't be that of its stream. As nothing marks
// the last event, a rest without events is right if the upstream says that it is whole, and
// no further event is known of.
func (c *continuation) checkEnd(resp *http.Response) error {
	switch {
	case c.relayed:
		return nil
	case c.repeats && !c.repeatedLast:
		return errAnotherRun
	case c.begun:
		return errEventAbsent
	case !c.resuming, resp.StatusCode != http.StatusOK:
		return errNoEvents
	}
	return nil
}
