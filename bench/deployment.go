package bench

// This file defines Deployment: the traffic and the size of a deployment.

import (
	"fmt"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/examples"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/standin"
)

// CallKind is the kind of a call.
type CallKind string

// The kinds of call.
const (
	Chat    CallKind = "chat"    // a streamed chat completion
	Lookup  CallKind = "lookup"  // an idempotent call of a plain service
	Booking CallKind = "booking" // a call of a plain service that must run at most once
)

// Traffic describes the calls of one class and kind in the load of a deployment.
type Traffic struct {
	Class       id.Class
	Kind        CallKind
	Rate        float64 // calls per second when the rate factor is 1
	PromptBytes int
	MaxTokens   int
	Route       string // of service calls: path below /services/
}

// Deployment describes a deployment at its present size. At rate factor 1, its
// traffic takes about six tenths of the engines' capacity.
type Deployment struct {
	Name         string
	Rules        string // text of the rules file
	Model        id.Model
	Service      id.Service
	DataCentres  []id.DataCentre
	Engines      int // number of model engines
	Services     int // number of plain services
	Traffic      []Traffic
	LowestClass  id.Class // of the classes of chats, the one of the lowest tier
	HighestClass id.Class // of the classes of chats, the one of the highest tier
}

// UnknownError reports that there is no deployment or experiment of a name.
type UnknownError struct{ Kind, Name string }

func (e *UnknownError) Error() string { return fmt.Sprintf("unknown %s %q", e.Kind, e.Name) }

// FindDeployment returns the deployment with a name; its error is an *UnknownError.
func FindDeployment(name string) (*Deployment, error) {
	for _, d := range []*Deployment{hingeworks(), errata()} {
		if d.Name == name {
			return d, nil
		}
	}
	return nil, &UnknownError{Kind: "deployment", Name: name}
}

func hingeworks() *Deployment {
	return &Deployment{
		Name: "hingeworks", Rules: examples.Hingeworks, Model: "temper-70b", Service: "order-desk",
		DataCentres: []id.DataCentre{"th-a", "th-b", "th-c", "th-d"}, Engines: 9, Services: 4,
		HighestClass: "counter", LowestClass: "clerk",
		Traffic: []Traffic{
			{Class: "counter", Kind: Chat, Rate: 52, PromptBytes: 400, MaxTokens: 32},
			{Class: "foreman", Kind: Chat, Rate: 20, PromptBytes: 8000, MaxTokens: 128},
			{Class: "clerk", Kind: Chat, Rate: 24, PromptBytes: 1200, MaxTokens: 48},
			{Class: "order", Kind: Lookup, Rate: 16, Route: "order-desk/stock/bars"},
			{Class: "order", Kind: Booking, Rate: 4, Route: "order-desk/bookings"},
		},
	}
}

func errata() *Deployment {
	return &Deployment{
		Name: "errata", Rules: examples.Errata, Model: "errata-34b", Service: "registry",
		DataCentres: []id.DataCentre{"mu-a", "mu-b", "mu-c"}, Engines: 18, Services: 3,
		HighestClass: "urgent", LowestClass: "check",
		Traffic: []Traffic{
			{Class: "urgent", Kind: Chat, Rate: 60, PromptBytes: 1000, MaxTokens: 48},
			{Class: "draft", Kind: Chat, Rate: 44, PromptBytes: 4000, MaxTokens: 128},
			{Class: "check", Kind: Chat, Rate: 44, PromptBytes: 2000, MaxTokens: 64},
			{Class: "filing", Kind: Lookup, Rate: 8, Route: "registry/notices"},
			{Class: "filing", Kind: Booking, Rate: 6, Route: "registry/filings"},
		},
	}
}

// RuleSet returns the parsed and checked rules.
func (d *Deployment) RuleSet() (*rule.Set, error) { return rule.Parse(d.Name+".rules", d.Rules) }

// EngineConfig returns the configuration of the deployment's engines: a token per
// stream every 25 ms at up to 16 streams.
func (d *Deployment) EngineConfig() standin.EngineConfig {
	c := standin.DefaultEngineConfig()
	c.Models = []id.Model{d.Model}
	c.TokenGap = 25 * time.Millisecond
	return c
}

// Capacity returns the tokens per second that the engines generate at full speed.
func (d *Deployment) Capacity() float64 {
	c := d.EngineConfig()
	return float64(d.Engines*c.Batch) / c.TokenGap.Seconds()
}

// meanTokens returns the mean number of tokens of the responses, whose lengths are
// spread evenly between a quarter of MaxTokens and MaxTokens.
func (t *Traffic) meanTokens() float64 { return float64(t.MaxTokens) * 5 / 8 }

// workspaceWeights returns the workspaces of a rule set, sorted by name, and their
// weights.
func workspaceWeights(set *rule.Set) ([]id.Workspace, []float64) {
	var names []id.Workspace
	for name := range set.Workspaces {
		names = append(names, name)
	}
	slices.Sort(names)
	weights := make([]float64, len(names))
	for i, name := range names {
		weights[i] = set.Workspaces[name].Weight
	}
	return names, weights
}
