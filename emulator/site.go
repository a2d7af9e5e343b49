package emulator

// This file defines Site, a fleet and its load, as it is written in files.

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// Site describes a fleet, its load and what happens to it. All times of surges and crashes count
// from the beginning of the load, the warm-up included.
type Site struct {
	Name          string
	Gateways      int
	Callers       int // each uses one gateway; more callers for each gateway make its share more even
	Engines       int
	Engine        BatchConfig
	SlowestEngine float64  // speed of the slowest engine; the fastest has 1, and the others are spread evenly
	Latency       Duration // one way, between gateways and engines
	CallerLatency Duration // one way, between callers and gateways
	MinListingLag Duration // between a change of an engine and when a gateway knows of it
	MaxListingLag Duration
	RestartTime   Duration // of an engine that has crashed
	RetryRatio    float64  // of the retry budget
	RetrySlack    float64
	RetryWindow   Duration
	Warmup        Duration // whose requests are not counted
	Length        Duration // of the load that is counted
	Kinds         []Kind
	Surges        []Surge `json:",omitempty"`
	Crashes       []Crash `json:",omitempty"`
}

// Length describes the random length of something: log-normal up to a bound.
type Length struct {
	Mean   id.Tokens
	Spread float64   // standard deviation of the logarithm
	Max    id.Tokens // zero: no bound
}

// SharedPart describes a part of a prompt that requests have in common.
type SharedPart struct {
	Variants int     // of the part
	Skew     float64 // the n-th variant is used in proportion to n to the power of -Skew
	Tokens   Length
}

// Kind describes the requests of one kind.
type Kind struct {
	Name         string
	PerSecond    float64
	Shared       []SharedPart // that prompts begin with; a variant of the last one always follows the same ones of the others
	Own          Length       // of the rest of a prompt
	Output       Length       // of an answer
	Objective    Duration     // until the first event of an answer in time
	GapObjective Duration     // most between two events of an answer in time
	Deadline     Duration
	Patience     Duration // after which a caller leaves that gets nothing
	Priority     int
	Worth        float64 // of an answer in time
	LateWorth    float64
	Attempts     int     // upstreams for one request of a caller
	Retries      int     // requests that a caller sends after the first one was refused
	Impatient    float64 // share of the callers that do not wait as they are told
}

// Surge multiplies the load for a time.
type Surge struct {
	At, For Duration
	Factor  float64
	Kind    string // empty: all kinds
}

// Crash ends engines, which start again.
type Crash struct {
	At    Duration
	Count int
}

// SiteError reports a site that cannot be played.
type SiteError struct{ Field, Problem string }

func (e *SiteError) Error() string { return fmt.Sprintf("site: %s %s", e.Field, e.Problem) }

// ReadSite reads a site in JSON. Its error may be a *SiteError.
func ReadSite(r io.Reader) (*Site, error) {
	s := new(Site)
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, err
	}
	return s, s.check()
}

// check returns the first field that makes no sense, if there is one.
func (s *Site) check() error {
	positive := []struct {
		field string
		ok    bool
	}{
		{"Gateways", s.Gateways > 0}, {"Callers", s.Callers > 0}, {"Engines", s.Engines > 0}, {"Length", s.Length.Duration > 0},
		{"Engine.Slots", s.Engine.Slots > 0}, {"Engine.KVCacheTokens", s.Engine.KVCacheTokens > 0},
		{"Engine.StepTime", s.Engine.StepTime.Duration > 0}, {"Engine.PrefillTokensPerMS", s.Engine.PrefillTokensPerMS > 0},
		{"Engine.ChunkTokens", s.Engine.ChunkTokens > 0}, {"Engine.EventTokens", s.Engine.EventTokens > 0},
		{"SlowestEngine", s.SlowestEngine > 0 && s.SlowestEngine <= 1}, {"MaxListingLag", s.MaxListingLag.Duration > s.MinListingLag.Duration},
		{"Kinds", len(s.Kinds) > 0}, {"RetryWindow", s.RetryWindow.Duration > 0},
	}
	for i := range s.Kinds {
		k, name := &s.Kinds[i], fmt.Sprint("Kinds ", s.Kinds[i].Name)
		positive = append(positive, struct {
			field string
			ok    bool
		}{name, k.PerSecond > 0 && k.Own.Mean > 0 && k.Output.Mean > 0 && !slices.ContainsFunc(k.Shared, func(p SharedPart) bool { return p.Variants <= 0 || p.Tokens.Mean <= 0 }) && k.Deadline.Duration > 0 && k.Patience.Duration > 0 && k.Attempts > 0})
	}
	for _, p := range positive {
		if !p.ok {
			return &SiteError{p.field, "is missing or out of range"}
		}
	}
	return nil
}

// rate returns how many requests of a kind arrive in a second, at a time since the beginning.
func (s *Site) rate(k *Kind, at time.Duration) float64 {
	rate := k.PerSecond
	for i := range s.Surges {
		u := &s.Surges[i]
		if (u.Kind == "" || u.Kind == k.Name) && at >= u.At.Duration && at < u.At.Duration+u.For.Duration {
			rate *= u.Factor
		}
	}
	return rate
}

// longestDeadline returns the longest time that a request can take.
func (s *Site) longestDeadline() (longest time.Duration) {
	for i := range s.Kinds {
		longest = max(longest, s.Kinds[i].Deadline.Duration)
	}
	return longest
}
