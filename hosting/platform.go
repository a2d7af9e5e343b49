// Package hosting defines the services of the platform that the router runs on: an
// append-only log, orders for upstreams, usage reports and a list of VMs.
//
// There is one small interface for each service. Client implements all of them over
// HTTP; no other package depends on the platform's HTTP interface.
package hosting

import (
	"context"
	"fmt"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// Record is one record of the log.
type Record struct {
	Offset  id.Offset `json:"offset"`
	Payload []byte    `json:"payload"`
}

// Page is the result of a read. Records are ordered by offset.
type Page struct {
	OldestOffset id.Offset `json:"first"`  // of the oldest record still retained
	NewestOffset id.Offset `json:"newest"` // zero: the log is empty
	Records      []Record  `json:"records"`
}

// Log is the append-only log.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may have
	// been added all the same: the response may have been lost.
	Append(ctx context.Context, payload []byte) (id.Offset, error)
	// Read returns records after an offset. If there are none, it waits up to wait for
	// one. It returns a *TrimmedError if the next record is no longer retained.
	Read(ctx context.Context, after id.Offset, wait time.Duration) (Page, error)
}

// StreamName names one of the log's streams. Each has its own offsets.
type StreamName string

// The streams of the router. They are separate because they have different readers:
// every process follows control, only entries follow bookings, and only candidates for
// the usage lease follow usage.
const (
	StreamControl  StreamName = "control"
	StreamBookings StreamName = "bookings"
	StreamUsage    StreamName = "usage"
)

// Streams gives access to the streams of the log.
type Streams interface {
	Stream(name StreamName) Log
}

// OrderKind is the operation that an order requests.
type OrderKind string

// The kinds of order.
const (
	OrderStart     OrderKind = "start"
	OrderStop      OrderKind = "stop"
	OrderLoadModel OrderKind = "load_model"
)

// Order requests that the platform starts or stops upstreams in a data centre, or loads
// a model on an upstream.
type Order struct {
	ID            id.Order      `json:"order_id"`
	Kind          OrderKind     `json:"kind"`
	DataCentre    id.DataCentre `json:"data_centre"`
	Model         id.Model      `json:"model"`
	Upstream      id.Upstream   `json:"upstream,omitempty"`
	Count         int           `json:"count"` // number of upstreams to start or stop
	FencingNumber id.Term       `json:"fencing_number"`
	OrderedBy     id.Node       `json:"ordered_by"`
}

// OrderSink accepts orders. It is idempotent: an order with a known ID changes nothing.
type OrderSink interface {
	// SubmitOrder returns a *StaleFencingError if a higher fencing number has been seen.
	SubmitOrder(ctx context.Context, o Order) error
}

// UsageLine is the usage of one class and model by one workspace.
type UsageLine struct {
	Workspace    id.Workspace `json:"workspace"`
	Class        id.Class     `json:"class"`
	Model        id.Model     `json:"model"`
	Requests     uint64       `json:"requests"`
	PromptTokens id.Tokens    `json:"prompt_tokens"`
	OutputTokens id.Tokens    `json:"output_tokens"`
}

// UsageReport holds the usage of one closed window.
type UsageReport struct {
	ID            string      `json:"report_id"`
	WindowStart   time.Time   `json:"window_start"`
	FencingNumber id.Term     `json:"fencing_number"`
	ReportedBy    id.Node     `json:"reported_by"`
	Lines         []UsageLine `json:"lines"`
}

// UsageSink accepts usage reports. It is idempotent: a report with a known ID changes
// nothing.
type UsageSink interface {
	// SubmitUsage returns a *StaleFencingError if a higher fencing number has been seen.
	SubmitUsage(ctx context.Context, r UsageReport) error
}

// VMState is the state of a VM as the platform reports it.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM describes a VM and the router's process on it.
type VM struct {
	ID         id.Node       `json:"id"`
	Role       string        `json:"role"` // entry or sidecar
	DataCentre id.DataCentre `json:"data_centre"`
	Address    string        `json:"address"` // IP and port of the process
	State      VMState       `json:"state"`
}

// VMLister lists the live and leaving VMs. The list may be out of date.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// Platform combines all services of the platform. Its own Log methods use the control
// stream.
type Platform interface {
	Log
	Streams
	OrderSink
	UsageSink
	VMLister
}

// TrimmedError reports that records directly after an offset are no longer retained.
type TrimmedError struct {
	After  id.Offset
	Oldest id.Offset
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("log trimmed: requested records after offset %d, oldest retained offset is %d", e.After, e.Oldest)
}

// StaleFencingError reports that the platform rejected an order or report because it has
// seen a higher fencing number.
type StaleFencingError struct {
	FencingNumber id.Term
	Detail        string
}

func (e *StaleFencingError) Error() string {
	return fmt.Sprintf("stale fencing number %d: %s", e.FencingNumber, e.Detail)
}

// UnavailableError reports that a call got no readable response, or one with a 5xx status.
// The call may have taken effect.
type UnavailableError struct {
	Call  string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s unavailable: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
