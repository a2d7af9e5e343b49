// Package id defines the types of identifiers and units that all other packages share.
//
// Each kind of identifier has its own string type, so that the compiler rejects, for
// example, a workspace in place of a class. Units have their own numeric types for the
// same reason.
package id

import (
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
)

// Identifiers.
type (
	// Request identifies a caller's request, including all its attempts.
	Request string
	// Key identifies a caller's API key. It is not the secret.
	Key string
	// Workspace identifies a tenant.
	Workspace string
	// Class identifies a class of traffic with its own latency targets.
	Class string
	// Model identifies a language model.
	Model string
	// Service identifies a plain service, that is, one that is not a model engine.
	Service string
	// Route identifies a rule that maps requests to models or to a service.
	Route string
	// Upstream identifies a process of a model engine or plain service.
	Upstream string
	// Version identifies what an upstream runs: a build of a service, or the weights of a model.
	Version string
	// Node identifies an entry or sidecar process.
	Node string
	// DataCentre identifies a data centre.
	DataCentre string
	// Region identifies a group of neighbouring data centres.
	Region string
	// Duty identifies a task that only the current holder of its lease performs.
	Duty string
	// Order identifies an order that the platform or a sidecar executes.
	Order string
	// PromptPart identifies a part of a prompt, which several prompts may share.
	PromptPart string
	// Operator identifies a person who publishes rules or manages keys.
	Operator string
)

// Units.
type (
	// Tokens counts language-model tokens.
	Tokens int64
	// PerSecond is a rate of requests.
	PerSecond float64
	// Offset is a position in a stream of the platform's log; the first record has offset 1.
	Offset uint64
	// Term is the fencing number of a lease. Each new holder has a higher one.
	Term uint64
	// Incarnation distinguishes successive starts of a process.
	Incarnation uint64
)

// The duties.
const (
	DutyOrders Duty = "orders" // issue orders for upstreams
	DutyUsage  Duty = "usage"  // report usage to the platform
)

// New returns a unique identifier with the given prefix. Identifiers with one prefix sort
// by their time. The prefix should be in lower case, like the rest of the identifier.
func New(prefix string, now time.Time) string {
	u := ulid.MustNew(ulid.Timestamp(now), ulid.DefaultEntropy())
	return prefix + "_" + strings.ToLower(u.String())
}
