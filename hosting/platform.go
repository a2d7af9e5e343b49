// Package hosting defines what the router asks of the platform it runs on: an
// append-only log, orders for upstreams, usage reports and a list of VMs.
//
// The interfaces are small, one for each ability. Client implements all of them
// over the platform's HTTP interface; nothing else in the router knows its form.
package hosting

import (
	"context"
	"fmt"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// Record is one entry of the log.
type Record struct {
	Offset  id.Offset `json:"offset"`
	Payload []byte    `json:"payload"`
}

// Page is the answer to a read: records in the order of their offsets.
type Page struct {
	OldestOffset id.Offset `json:"first"`  // oldest offset still kept
	NewestOffset id.Offset `json:"newest"` // zero: the log is empty
	Records      []Record  `json:"records"`
}

// Log is the append-only log.
type Log interface {
	// Append adds a record and returns its offset. An error does not mean that the
	// record was not added: the answer may have been lost.
	Append(ctx context.Context, payload []byte) (id.Offset, error)
	// Read returns records after an offset. It waits up to wait for the first one.
	// Its error is a *TrimmedError if the next record is no longer kept.
	Read(ctx context.Context, after id.Offset, wait time.Duration) (Page, error)
}

// StreamName names one of the log's streams. Each has its own offsets.
type StreamName string

// The streams that the router keeps. They are apart because their readers are:
// every process follows control, only entries follow bookings, and only
// candidates for the usage lease follow usage.
const (
	StreamControl  StreamName = "control"
	StreamBookings StreamName = "bookings"
	StreamUsage    StreamName = "usage"
)

// Streams gives access to the streams of the log.
type Streams interface {
	Stream(name StreamName) Log
}

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of order.
const (
	OrderStart     OrderKind = "start"
	OrderStop      OrderKind = "stop"
	OrderLoadModel OrderKind = "load_model"
)

// Order asks the platform to start or stop upstreams of a data centre, or to
// load a model on one.
type Order struct {
	ID            id.Order      `json:"order_id"`
	Kind          OrderKind     `json:"kind"`
	DataCentre    id.DataCentre `json:"data_centre"`
	Model         id.Model      `json:"model"`
	Upstream      id.Upstream   `json:"upstream,omitempty"`
	Count         int           `json:"count"`
	FencingNumber id.Term       `json:"fencing_number"`
	OrderedBy     id.Node       `json:"ordered_by"`
}

// OrderSink takes orders. Sending an order again under the same id changes nothing.
type OrderSink interface {
	// SubmitOrder returns a *StaleFencingError if a higher fencing number has been seen.
	SubmitOrder(ctx context.Context, o Order) error
}

// UsageLine is the use of one class and model by one workspace.
type UsageLine struct {
	Workspace    id.Workspace `json:"workspace"`
	Class        id.Class     `json:"class"`
	Model        id.Model     `json:"model"`
	Requests     uint64       `json:"requests"`
	PromptTokens id.Tokens    `json:"prompt_tokens"`
	OutputTokens id.Tokens    `json:"output_tokens"`
}

// UsageReport holds the figures of one closed window.
type UsageReport struct {
	ID            string      `json:"report_id"`
	WindowStart   time.Time   `json:"window_start"`
	FencingNumber id.Term     `json:"fencing_number"`
	ReportedBy    id.Node     `json:"reported_by"`
	Lines         []UsageLine `json:"lines"`
}

// UsageSink takes usage reports. Sending a report again under the same id changes
// nothing.
type UsageSink interface {
	// SubmitUsage returns a *StaleFencingError if a higher fencing number has been seen.
	SubmitUsage(ctx context.Context, r UsageReport) error
}

// VMState is what the platform says of a VM.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is a process that the platform runs for the router.
type VM struct {
	ID         id.Node       `json:"id"`
	Role       string        `json:"role"` // entry or sidecar
	DataCentre id.DataCentre `json:"data_centre"`
	Address    string        `json:"address"` // IP and port of the process
	State      VMState       `json:"state"`
}

// VMLister lists the live and leaving VMs. The list lags.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// Platform is everything the platform offers. Its own Log methods are those of
// the control stream.
type Platform interface {
	Log
	Streams
	OrderSink
	UsageSink
	VMLister
}

// TrimmedError says that records after an offset are no longer kept.
type TrimmedError struct {
	After  id.Offset
	Oldest id.Offset
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("log trimmed: asked for records after %d, oldest kept is %d", e.After, e.Oldest)
}

// StaleFencingError says that an order or report carried an old fencing number.
type StaleFencingError struct {
	FencingNumber id.Term
	Detail        string
}

func (e *StaleFencingError) Error() string {
	return fmt.Sprintf("stale fencing number %d: %s", e.FencingNumber, e.Detail)
}

// UnavailableError says that a call failed and may or may not have taken effect.
type UnavailableError struct {
	Call  string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s unavailable: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
