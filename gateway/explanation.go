package gateway

// This file defines Explanation, which says where a request would go that is not sent, as JSON and as text.

import (
	"fmt"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/rollout"
)

// Verdict is what would become of a request.
type Verdict string

// The verdicts.
const (
	WouldBeSent    Verdict = "sent"
	WouldWait      Verdict = "waits" // for a slot of upstreams that are cold, have named a limit or have asked for a wait
	WouldBeRefused Verdict = "refused"
)

// Explanation says where a request would go that is not sent, and why. Times in milliseconds that are not known are zero.
type Explanation struct {
	At            time.Time           `json:"at"`
	ConfigVersion catalog.Version     `json:"config_version"`
	Verdict       Verdict             `json:"verdict"`
	Refusal       *ExplainedRefusal   `json:"refusal,omitempty"`
	Wait          *ExplainedWait      `json:"wait,omitempty"`
	Target        *ExplainedTarget    `json:"target,omitempty"`
	Route         *ExplainedRoute     `json:"route,omitempty"` // absent: none matches
	Caller        ExplainedCaller     `json:"caller"`
	Service       id.Service          `json:"service,omitempty"`
	Limits        *ExplainedLimits    `json:"limits,omitempty"`
	Rollout       *ExplainedRollout   `json:"rollout,omitempty"` // absent: the service has no order
	Admission     *ExplainedAdmission `json:"admission,omitempty"`
	// Candidates are the first upstreams of the service by the order in which they come into question, at most as many as
	// were asked for; Known counts all.
	Candidates []ExplainedCandidate `json:"candidates,omitempty"`
	Known      int                  `json:"upstreams_known"`
}

// ExplainedRefusal is the refusal that the caller would get.
type ExplainedRefusal struct {
	Reason       problem.Reason `json:"reason"`
	Status       int            `json:"status"`
	Detail       string         `json:"detail"`
	RetryAfterMS int64          `json:"retry_after_ms"` // zero: none is named
}

// ExplainedWait says how long a request would wait for its turn.
type ExplainedWait struct {
	ExpectedMS int64 `json:"expected_ms"`
	Limited    bool  `json:"limited"` // by a limit that an upstream has named
}

// ExplainedTarget is the upstream that would get the request.
type ExplainedTarget struct {
	Upstream      id.Upstream `json:"upstream"`
	Choice        string      `json:"choice"` // as in the log
	ByChance      bool        `json:"by_chance"`
	Canary        bool        `json:"canary"`
	NewConnection bool        `json:"new_connection"`
	ExpectedMS    int64       `json:"expected_ms"`     // until the prompt is read
	ExpectedEndMS int64       `json:"expected_end_ms"` // until the end of the answer
}

// ExplainedRoute is the route that a request matches.
type ExplainedRoute struct {
	Name               id.Route           `json:"name"`
	Host               string             `json:"host"`
	PathPrefix         string             `json:"path_prefix"`
	Kind               string             `json:"kind"`
	Public             bool               `json:"public"`
	Priority           int                `json:"priority"`
	LatencyObjectiveMS int64              `json:"latency_objective_ms"`
	MaxEventGapMS      int64              `json:"max_event_gap_ms"`
	MaxAttempts        int                `json:"max_attempts"`
	Services           []ExplainedService `json:"services"`
}

// ExplainedService is a service of a route, with its share of the requests.
type ExplainedService struct {
	Service id.Service `json:"service"`
	Share   float64    `json:"share"`
}

// ExplainedCaller is what is known of who asks.
type ExplainedCaller struct {
	Key       string       `json:"key"` // known, unknown (never given, or withdrawn) or none
	Workspace id.Workspace `json:"workspace,omitempty"`
	Priority  int          `json:"priority"`
	Urgency   int          `json:"urgency"` // 0 is the most urgent
	// DeadlineMS is how long the caller waits, and DeadlineSource who says so: caller, route or default.
	DeadlineMS     int64  `json:"deadline_ms"`
	DeadlineSource string `json:"deadline_source,omitempty"`
}

// ExplainedLimits are limits on a request with what is left of them now.
type ExplainedLimits struct {
	HeadBytes   int     `json:"head_bytes"` // zero: the server's alone
	BodyBytes   int64   `json:"body_bytes"`
	RetriesLeft float64 `json:"retries_left"` // of this gateway for the service
	Memory      bool    `json:"memory"`       // there is memory for the request
}

// ExplainedRollout is the order of the service.
type ExplainedRollout struct {
	Target    id.Version     `json:"target"`
	State     string         `json:"state"`
	Reason    rollout.Reason `json:"reason,omitempty"`
	Condemned rollout.Reason `json:"condemned,omitempty"`
	Withdrawn bool           `json:"withdrawn"`
	Rejected  []id.Version   `json:"rejected,omitempty"`
	Share     float64        `json:"canary_share"` // of this gateway's requests that the target may get in a canary
	Sent      int            `json:"sent"`         // by this gateway since the order
	Exposed   int            `json:"exposed"`      // of these, to the target
	// Tries says which versions would be tried, the preferred ones first, and Canary that the request is one of the exposure.
	Tries  []string `json:"tries,omitempty"`
	Canary bool     `json:"canary"`
}

// ExplainedAdmission says on what the admission of the request depends.
type ExplainedAdmission struct {
	MaxWaitMS  int64     `json:"max_wait_ms"` // for an engine to begin; zero: without limit
	PromptLong bool      `json:"prompt_long"`
	Running    int       `json:"running"` // requests of all gateways at the service
	Slots      int       `json:"slots"`   // of the upstreams that accept work
	Waiting    int       `json:"waiting"` // requests of this gateway, for a slot
	HeldPart   string    `json:"held_part,omitempty"`
	HeldSince  time.Time `json:"held_since,omitzero"`
}

// ExplainedCandidate is an upstream with what its choice depends on.
type ExplainedCandidate struct {
	Upstream      id.Upstream    `json:"upstream"`
	Chosen        bool           `json:"chosen"`
	DataCentre    id.DataCentre  `json:"data_centre"`
	Version       id.Version     `json:"version,omitempty"`
	Running       int            `json:"running"`            // requests of this gateway
	FleetRunning  float64        `json:"running_all"`        // of all gateways, estimated; zero: not known
	Slots         int            `json:"slots"`              // zero: not known
	RateLimited   bool           `json:"rate_limited"`       // it has named a limit
	Cold          bool           `json:"cold"`               // it is cold, or may be
	Rate          id.PerSecond   `json:"rate_per_second"`    // of this gateway, if it is cold or has named a limit
	Pace          float64        `json:"pace"`               // how many times as long as others it takes
	PaceSamples   float64        `json:"pace_samples"`       // of this gateway
	Capacity      float64        `json:"capacity"`           // relative to others: how many prefixes prefer it
	Unread        id.Tokens      `json:"tokens_waiting"`     // of prompts that it has not read
	WaitMS        int64          `json:"expected_ms"`        // until it begins the prompt
	EndMS         int64          `json:"expected_end_ms"`    // until the end of the answer; zero: not known
	Affinity      int            `json:"affinity"`           // its rank for the shared prefix; zero: none
	Group         bool           `json:"group"`              // it belongs to the engines for prompts of this length
	Score         float64        `json:"score"`              // its work in tokens, the least is the best
	Doubted       bool           `json:"doubted"`            // it may have gone without a word
	Excluded      pool.Exclusion `json:"excluded,omitempty"` // why it is not considered
	ExcludedForMS int64          `json:"excluded_for_ms"`
}

// String describes the explanation in lines of key=value pairs.
func (e *Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "verdict=%s config=%d\n", e.Verdict, e.ConfigVersion)
	if r := e.Refusal; r != nil {
		fmt.Fprintf(&b, "refusal reason=%s status=%d retry_after=%s detail=%q\n", r.Reason, r.Status, milliseconds(r.RetryAfterMS), r.Detail)
	}
	if w := e.Wait; w != nil {
		fmt.Fprintf(&b, "wait expected=%s limited=%t\n", milliseconds(w.ExpectedMS), w.Limited)
	}
	if t := e.Target; t != nil {
		fmt.Fprintf(&b, "target upstream=%s choice=%s by_chance=%t canary=%t new_connection=%t expected=%s expected_end=%s\n", t.Upstream, t.Choice, t.ByChance, t.Canary, t.NewConnection, milliseconds(t.ExpectedMS), milliseconds(t.ExpectedEndMS))
	}
	if r := e.Route; r != nil {
		fmt.Fprintf(&b, "route name=%s host=%s path_prefix=%s kind=%s public=%t priority=%d objective=%s event_gap=%s attempts=%d", r.Name, r.Host, r.PathPrefix, r.Kind, r.Public, r.Priority, milliseconds(r.LatencyObjectiveMS), milliseconds(r.MaxEventGapMS), r.MaxAttempts)
		for _, s := range r.Services {
			fmt.Fprintf(&b, " services[%s]=%.3g", s.Service, s.Share)
		}
		b.WriteString("\n")
	} else {
		b.WriteString("route none\n")
	}
	c := &e.Caller
	fmt.Fprintf(&b, "caller key=%s workspace=%s priority=%d urgency=%d deadline=%s deadline_source=%s\n", c.Key, c.Workspace, c.Priority, c.Urgency, milliseconds(c.DeadlineMS), c.DeadlineSource)
	e.writeService(&b)
	for i := range e.Candidates {
		b.WriteString(e.Candidates[i].String() + "\n")
	}
	if more := e.Known - len(e.Candidates); more > 0 && e.Service != "" {
		fmt.Fprintf(&b, "%d more upstreams are not shown\n", more)
	}
	return b.String()
}

// writeService writes the lines about the service of the request.
func (e *Explanation) writeService(b *strings.Builder) {
	if l := e.Limits; l != nil {
		fmt.Fprintf(b, "limits service=%s head_bytes=%d body_bytes=%d retries_left=%.0f memory=%t\n", e.Service, l.HeadBytes, l.BodyBytes, l.RetriesLeft, l.Memory)
	}
	if r := e.Rollout; r != nil {
		fmt.Fprintf(b, "rollout target=%s state=%s reason=%s condemned=%s withdrawn=%t rejected=%v canary_share=%.3g sent=%d exposed=%d tries=%q canary=%t\n",
			r.Target, r.State, r.Reason, r.Condemned, r.Withdrawn, r.Rejected, r.Share, r.Sent, r.Exposed, r.Tries, r.Canary)
	}
	if a := e.Admission; a != nil {
		fmt.Fprintf(b, "admission max_wait=%s prompt_long=%t running=%d slots=%d waiting=%d", milliseconds(a.MaxWaitMS), a.PromptLong, a.Running, a.Slots, a.Waiting)
		if a.HeldPart != "" {
			fmt.Fprintf(b, " held_part=%q held_since=%s", a.HeldPart, a.HeldSince.Format(time.RFC3339))
		}
		b.WriteString("\n")
	}
}

// String describes the candidate in one line.
func (c *ExplainedCandidate) String() string {
	mark := " "
	if c.Chosen {
		mark = "*"
	}
	text := fmt.Sprintf("%s upstream=%s data_centre=%s version=%s running=%d running_all=%.0f slots=%d pace=%.2f samples=%.0f capacity=%.2f tokens_waiting=%d expected=%s expected_end=%s affinity=%d group=%t score=%.0f",
		mark, c.Upstream, c.DataCentre, c.Version, c.Running, c.FleetRunning, c.Slots, c.Pace, c.PaceSamples, c.Capacity, c.Unread, milliseconds(c.WaitMS), milliseconds(c.EndMS), c.Affinity, c.Group, c.Score)
	if c.RateLimited || c.Cold {
		text += fmt.Sprintf(" rate_limited=%t cold=%t rate=%.3g/s", c.RateLimited, c.Cold, float64(c.Rate))
	}
	if c.Doubted {
		text += " doubted=true"
	}
	if c.Excluded != "" {
		text += fmt.Sprintf(" excluded=%s", c.Excluded)
	}
	if c.ExcludedForMS > 0 {
		text += fmt.Sprintf(" for=%s", milliseconds(c.ExcludedForMS))
	}
	return text
}

// milliseconds returns a number of milliseconds as a time.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
