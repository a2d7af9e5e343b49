// Package pace learns how fast the upstreams of a service are, from what their answers show.
//
// A Service learns what is alike at all upstreams: how the time between two events of an answer grows with the
// requests that run beside it and with prompts that are read meanwhile, and how long prompts take to be read
// (linear.go). An Upstream holds how much longer or shorter than that one of them has taken of late (measure.go).
// Gateways tell each other these figures, and each merges them to the Pace that its decisions use (merge.go).
// All figures decay, so that an upstream of which nothing is heard counts as one like the others.
package pace

import "time"

// Relative is the time that an upstream takes for something, relative to what the upstreams of its service take on
// average.
type Relative float64

// Pace is what is known of the speed of an upstream.
type Pace struct {
	Step Relative // time between two events of an answer, or for a whole answer that has none
	Read Relative // time until a prompt is read
}

// Even is the pace of an upstream of which nothing is known.
var Even = Pace{Step: 1, Read: 1}

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
	steps linear
	reads linear
}

// StepTime returns the expected time between two events of an answer, or of a whole answer that has none, and zero if
// nothing is known.
func (s *Service) StepTime(p Pace, c Conditions) time.Duration {
	return seconds(float64(p.Step) * s.steps.value(c.features()))
}

// ReadTime returns how long an upstream with a number of requests is expected to take until it has read some tokens of
// prompts and sent the first event of the last one's answer, and zero if nothing is known.
func (s *Service) ReadTime(p Pace, tokens, running float64) time.Duration {
	return seconds(float64(p.Read) * s.reads.value(features{1, tokens, running}))
}

// MostRunning returns how many requests an upstream can run so that the time between their events is not expected to
// exceed a pause, and false if nothing limits them as far as is known.
func (s *Service) MostRunning(p Pace, pause time.Duration, unread float64) (most float64, limited bool) {
	idle := s.steps.value(Conditions{Unread: unread}.features())
	slope := s.steps.coefficients[1]
	if idle == 0 || slope <= 0 {
		return 0, false
	}
	return max(0, (pause.Seconds()/float64(p.Step)-idle)/slope), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Upstream is what the answers of an upstream to one gateway have shown of late. The zero value has seen none.
type Upstream struct {
	step, read measure
}

// AddStep records the time between two events of an answer, or of a whole answer that has none. P is the pace that the
// upstream is known to have.
func (u *Upstream) AddStep(now time.Time, s *Service, p Pace, c Conditions, took time.Duration) {
	add(now, &s.steps, &u.step, p.Step, c.features(), took)
}

// AddRead records the time until the first event of an answer, before which the upstream has read a number of tokens and
// beside which it ran a number of requests.
func (u *Upstream) AddRead(now time.Time, s *Service, p Pace, tokens, running float64, took time.Duration) {
	add(now, &s.reads, &u.read, p.Read, features{1, tokens, running}, took)
}

// add records a time at an upstream of a known pace. Times far above what is expected have other causes, and count as
// maxSampleRatio times that.
func add(now time.Time, common *linear, own *measure, pace Relative, x features, took time.Duration) {
	expected, sample := common.value(x), took.Seconds()
	if expected > 0 {
		sample = min(sample, maxSampleRatio*float64(pace)*expected)
		own.add(now, sample, expected)
	}
	common.add(now, x, sample/float64(pace))
}

// Report returns what the upstream's answers have shown.
func (u *Upstream) Report(now time.Time) Report {
	return Report{Step: u.step.figure(now), Read: u.read.figure(now)}
}
