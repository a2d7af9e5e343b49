// Package id defines the identifiers and units that every other package shares.
//
// An identifier is a named string, so that a workspace cannot be passed where a
// class is expected. Units are named integers for the same reason.
package id

import (
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
)

// Identifiers.
type (
	// Request identifies one request of a caller, across all its attempts.
	Request string
	// Key identifies a caller's key; it is not the secret.
	Key string
	// Workspace identifies a tenant.
	Workspace string
	// Class identifies a kind of traffic with its own target.
	Class string
	// Model identifies a language model.
	Model string
	// Service identifies a plain service.
	Service string
	// Route identifies a rule that maps paths to models or services.
	Route string
	// Upstream identifies a model engine or plain service process.
	Upstream string
	// Node identifies an entry or sidecar process.
	Node string
	// DataCentre identifies a data centre.
	DataCentre string
	// Region identifies a group of neighbouring data centres.
	Region string
	// Duty identifies work that one lease holder does at a time.
	Duty string
	// Order identifies an order to the platform or to an upstream.
	Order string
	// Operator identifies a person who changes the configuration.
	Operator string
)

// Units.
type (
	// Tokens counts language-model tokens.
	Tokens int64
	// Offset is a position on the platform's log; the first record has offset 1.
	Offset uint64
	// Term is a lease's fencing number.
	Term uint64
	// Incarnation distinguishes successive runs of one process.
	Incarnation uint64
)

// The duties that exist.
const (
	DutyOrders Duty = "orders"
	DutyUsage  Duty = "usage"
)

// New returns an identifier that is unique and sorts by time, with the given
// lower-case prefix.
func New(prefix string, now time.Time) string {
	u := ulid.MustNew(ulid.Timestamp(now), ulid.DefaultEntropy())
	return prefix + "_" + strings.ToLower(u.String())
}
