// Package pace learns how fast the upstreams of a service are, from what their answers show.
//
// A Service learns what is alike at all upstreams: how the time between two events of an answer grows with the
// requests that run beside it and with prompts that are read meanwhile, and how long prompts take to be read
// (linear.go). An Upstream holds how much longer or shorter than that one of them has taken of late (measure.go).
// Gateways tell each other these figures, and each merges them to the Pace that its decisions use (merge.go).
// All figures decay, so that an upstream of which nothing is heard counts as one like the others.
package pace

import (
	"math"
	"time"
)

// Pace is the time that an upstream takes for the same work, relative to what the upstreams of its service take on
// average: two is half as fast.
type Pace float64

// Even is the pace of an upstream of which nothing is known.
const Even Pace = 1

// Conditions are what the time between two events of an answer depends on.
type Conditions struct {
	Running float64 // requests at the upstream, of all gateways
	Unread  float64 // tokens of prompts that it has to read
}

// maxUnread is how many unread tokens lengthen the time between two events: an upstream reads a part of a prompt in each
// step, and an event holds some steps.
const maxUnread = 32_000

// features returns what the time between two events is a linear function of.
func (c Conditions) features() features {
	return features{1, c.Running, min(c.Unread, maxUnread)}
}

// Service is what the upstreams of a service have in common. The zero value knows nothing.
type Service struct {
	steps    linear // times between events
	shortest linear // shortest of stepsPerSample such times in a row, or whole answers without events
	reads    linear // times until the first event
	answers  measure
	spread   measure // of whole answers without events: the squared deviation of the logarithm of their time, for each upstream
}

// AddAnswer records how many events a whole answer has had that was expected to have a number of tokens.
func (s *Service) AddAnswer(now time.Time, expectedTokens float64, events int) {
	s.answers.add(now, float64(events), expectedTokens, 1)
}

// Events returns how many events an answer is expected to have, and zero if nothing is known.
func (s *Service) Events(expectedTokens float64) float64 {
	if s.answers.expected <= 0 {
		return 0
	}
	return s.answers.took / s.answers.expected * expectedTokens
}

// StepTime returns the expected time between two events of an answer, and zero if nothing is known.
func (s *Service) StepTime(p Pace, c Conditions) time.Duration {
	return seconds(float64(p) * s.steps.value(c.features()))
}

// ReadTime returns how long an upstream with a number of requests is expected to take until it has read some tokens of
// prompts and sent the first event of the last one's answer, and zero if nothing is known.
func (s *Service) ReadTime(p Pace, tokens, running float64) time.Duration {
	return seconds(float64(p) * s.reads.value(features{1, tokens, running}))
}

// MostRunning returns how many requests an upstream can run so that the time between their events is not expected to
// exceed a pause, and false if nothing limits them as far as is known.
func (s *Service) MostRunning(p Pace, pause time.Duration, unread float64) (most float64, limited bool) {
	idle := s.steps.value(Conditions{Unread: unread}.features())
	slope := s.steps.coefficients[1]
	if idle == 0 || slope <= 0 {
		return 0, false
	}
	return max(0, (pause.Seconds()/float64(p)-idle)/slope), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// AddRead records the time until the first event of an answer, before which an upstream of a known pace has read a number of
// tokens and beside which it ran a number of requests.
func (s *Service) AddRead(now time.Time, p Pace, tokens, running float64, took time.Duration) {
	s.reads.add(now, features{1, tokens, running}, took.Seconds()/float64(p))
}

// Upstream is what the answers of an upstream to one gateway have shown of late. The zero value has seen none.
type Upstream struct {
	shortest measure
	whole    float64 // time of the last whole answer relative to that expected; zero: there was none
}

// stepsPerSample is of how many times between events the shortest counts. Longer ones are those beside which the upstream
// reads prompts that no gateway has told of yet.
const stepsPerSample = 4

// Steps are the latest times between events of an answer. The zero value has none.
type Steps struct {
	counted  int
	shortest time.Duration
	beside   Conditions // of the shortest
}

// add adds a time. It reports whether there are as many as count as a sample.
func (a *Steps) add(c Conditions, took time.Duration) bool {
	if a.counted == stepsPerSample {
		*a = Steps{}
	}
	if a.counted == 0 || took < a.shortest {
		a.shortest, a.beside = took, c
	}
	a.counted++
	return a.counted == stepsPerSample
}

// AddStep records the time between two events of an answer, which has had some steps before. P is the pace that the
// upstream is known to have.
func (u *Upstream) AddStep(now time.Time, s *Service, p Pace, before *Steps, c Conditions, took time.Duration) {
	s.steps.add(now, c.features(), took.Seconds()/float64(p))
	if before.add(c, took) {
		u.add(now, s, p, before.beside.features(), before.shortest, 1)
	}
}

// sampleSpread is the spread up to which a whole answer counts as a sample.
const sampleSpread = 0.13

// maxWholeRatio and its inverse bound the time of a whole answer relative to that expected, for the spread.
const maxWholeRatio = maxSampleRatio * maxPace

// AddWhole records the time of a whole answer that has no events, beside which the upstream ran a number of requests. Answers
// vary by what they hold: where those of each upstream vary more, more of them tell as much.
func (u *Upstream) AddWhole(now time.Time, s *Service, p Pace, running float64, took time.Duration) {
	x := features{1, running, 0}
	if expected := s.shortest.value(x); expected > 0 {
		whole := min(max(took.Seconds()/expected, 1.0/maxWholeRatio), maxWholeRatio)
		if u.whole > 0 {
			difference := math.Log(whole / u.whole)
			s.spread.add(now, difference*difference/2, 1, 1)
		}
		u.whole = whole
	}
	u.add(now, s, p, x, took, sampleSpread/max(s.spread.mean(now), sampleSpread))
}

// add records a time at an upstream of a known pace, and the part of a sample that it counts as. Times far above what is
// expected have other causes, and count as maxSampleRatio times that.
func (u *Upstream) add(now time.Time, s *Service, p Pace, x features, took time.Duration, samples float64) {
	expected, sample := s.shortest.value(x), took.Seconds()
	if expected > 0 {
		sample = min(sample, maxSampleRatio*float64(p)*expected)
		u.shortest.add(now, sample, expected, samples)
	}
	s.shortest.add(now, x, sample/float64(p))
}

// Figure returns what the upstream's answers have shown.
func (u *Upstream) Figure(now time.Time) Figure { return u.shortest.figure(now) }
