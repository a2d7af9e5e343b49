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
	Name          string      `json:"name"`
	Gateways      int         `json:"gateways"`
	Callers       int         `json:"callers"` // each uses one gateway; more callers for each gateway make its share more even
	Engines       int         `json:"engines"`
	Engine        BatchConfig `json:"engine"`
	SlowestEngine float64     `json:"slowest_engine"`  // speed of the slowest engine; the fastest has 1, and the others are spread evenly
	Latency       Duration    `json:"latency"`         // one way, between gateways and engines
	CallerLatency Duration    `json:"caller_latency"`  // one way, between callers and gateways
	MinListingLag Duration    `json:"min_listing_lag"` // between a change of an engine and when a gateway knows of it
	MaxListingLag Duration    `json:"max_listing_lag"`
	RestartTime   Duration    `json:"restart_time"` // of an engine that has crashed
	RetryRatio    float64     `json:"retry_ratio"`  // of the retry budget
	RetrySlack    float64     `json:"retry_slack"`
	RetryWindow   Duration    `json:"retry_window"`
	Warmup        Duration    `json:"warmup"` // whose requests are not counted
	Length        Duration    `json:"length"` // of the load that is counted
	Kinds         []Kind      `json:"kinds"`
	Surges        []Surge     `json:"surges,omitempty"`
	Crashes       []Crash     `json:"crashes,omitempty"`
}

// Length describes the random length of something: log-normal up to a bound.
type Length struct {
	Mean   id.Tokens `json:"mean"`
	Spread float64   `json:"spread"` // standard deviation of the logarithm
	Max    id.Tokens `json:"max"`    // zero: no bound
}

// SharedPart describes a part of a prompt that requests have in common.
type SharedPart struct {
	Variants int     `json:"variants"` // of the part
	Skew     float64 `json:"skew"`     // the n-th variant is used in proportion to n to the power of -Skew
	Tokens   Length  `json:"tokens"`
}

// Kind describes the requests of one kind.
type Kind struct {
	Name         string       `json:"name"`
	PerSecond    float64      `json:"per_second"`
	Shared       []SharedPart `json:"shared"`        // that prompts begin with; a variant of the last one always follows the same ones of the others
	Own          Length       `json:"own"`           // of the rest of a prompt
	Output       Length       `json:"output"`        // of an answer
	Objective    Duration     `json:"objective"`     // until the first event of an answer in time
	GapObjective Duration     `json:"gap_objective"` // most between two events of an answer in time
	Deadline     Duration     `json:"deadline"`
	Patience     Duration     `json:"patience"` // after which a caller leaves that gets nothing
	Priority     int          `json:"priority"`
	Worth        float64      `json:"worth"` // of an answer in time
	LateWorth    float64      `json:"late_worth"`
	Attempts     int          `json:"attempts"`  // upstreams for one request of a caller
	Retries      int          `json:"retries"`   // requests that a caller sends after the first one was refused
	Impatient    float64      `json:"impatient"` // share of the callers that do not wait as they are told
}

// Surge multiplies the load for a time.
type Surge struct {
	At     Duration `json:"at"`
	For    Duration `json:"for"`
	Factor float64  `json:"factor"`
	Kind   string   `json:"kind"` // empty: all kinds
}

// Crash ends engines, which start again.
type Crash struct {
	At    Duration `json:"at"`
	Count int      `json:"count"`
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
		{"gateways", s.Gateways > 0}, {"callers", s.Callers > 0}, {"engines", s.Engines > 0}, {"length", s.Length.Duration > 0},
		{"engine.slots", s.Engine.Slots > 0}, {"engine.kv_cache_tokens", s.Engine.KVCacheTokens > 0},
		{"engine.step_time", s.Engine.StepTime.Duration > 0}, {"engine.prefill_tokens_per_ms", s.Engine.PrefillTokensPerMS > 0},
		{"engine.chunk_tokens", s.Engine.ChunkTokens > 0}, {"engine.event_tokens", s.Engine.EventTokens > 0},
		{"slowest_engine", s.SlowestEngine > 0 && s.SlowestEngine <= 1}, {"max_listing_lag", s.MaxListingLag.Duration > s.MinListingLag.Duration},
		{"kinds", len(s.Kinds) > 0}, {"retry_window", s.RetryWindow.Duration > 0},
	}
	for i := range s.Kinds {
		k, name := &s.Kinds[i], fmt.Sprint("kinds ", s.Kinds[i].Name)
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
