package bench

// This file defines Deployment: what a deployment's traffic and fleet look like.

import (
	"fmt"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/examples"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/standin"
)

// Kind is the form of a call.
type Kind string

// The kinds of call.
const (
	Chat    Kind = "chat"    // a streamed chat completion
	Lookup  Kind = "lookup"  // an idempotent call of a plain service
	Booking Kind = "booking" // a call of a plain service that must run at most once
)

// Traffic is one kind of call in the mix of a deployment.
type Traffic struct {
	Class       id.Class
	Kind        Kind
	Rate        float64 // calls a second when the load factor is 1
	PromptBytes int
	MaxTokens   int
	Route       string // of service calls: below /services/
}

// Deployment describes a deployment at today's size, with load for about six
// tenths of its engines' capacity at factor 1.
type Deployment struct {
	Name        string
	Rules       string
	Model       id.Model
	Service     id.Service
	DataCentres []id.DataCentre
	Engines     int
	Services    int
	Traffic     []Traffic
	Bottom      id.Class // the model class of the lowest tier
	Top         id.Class // the model class of the highest tier
}

// UnknownError says that no deployment, experiment or policy has a name.
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
		Top: "counter", Bottom: "clerk",
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
		Top: "urgent", Bottom: "check",
		Traffic: []Traffic{
			{Class: "urgent", Kind: Chat, Rate: 60, PromptBytes: 1000, MaxTokens: 48},
			{Class: "draft", Kind: Chat, Rate: 44, PromptBytes: 4000, MaxTokens: 128},
			{Class: "check", Kind: Chat, Rate: 44, PromptBytes: 2000, MaxTokens: 64},
			{Class: "filing", Kind: Lookup, Rate: 8, Route: "registry/notices"},
			{Class: "filing", Kind: Booking, Rate: 6, Route: "registry/filings"},
		},
	}
}

// RuleSet returns the checked rules.
func (d *Deployment) RuleSet() (*rule.Set, error) { return rule.Parse(d.Name+".rules", d.Rules) }

// Engine returns what the deployment's engines are like: a token a stream every
// 25 ms at up to 16 streams.
func (d *Deployment) Engine() standin.EngineConfig {
	c := standin.DefaultEngineConfig()
	c.Models = []id.Model{d.Model}
	c.Gap = 25 * time.Millisecond
	return c
}

// Capacity returns the tokens a second that the engines generate at full speed.
func (d *Deployment) Capacity() float64 {
	c := d.Engine()
	return float64(d.Engines*c.Batch) / c.Gap.Seconds()
}

// meanTokens returns the mean length of the answers to a kind of call.
func (t *Traffic) meanTokens() float64 { return float64(t.MaxTokens) * 5 / 8 }

// shares returns the workspaces in the order of their names, with their weights.
func shares(set *rule.Set) ([]id.Workspace, []float64) {
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
