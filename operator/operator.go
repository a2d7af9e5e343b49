// Package operator implements the operations of operators on a running fleet: they
// publish rules, give and withdraw keys, and query processes and decisions. Changes are
// appended to the platform's log as records; nothing else is written.
package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

const (
	changeTimeout = 10 * time.Second // for one change, from reading the log to its outcome
	nodeTimeout   = 2 * time.Second  // for one query of all processes
)

// Config configures a Client.
type Config struct {
	Platform     string   // URL of the platform
	Nodes        []string // addresses of processes that are not in the platform's VM list
	OperatorName string   // recorded with every change
}

// Client performs an operator's operations on a fleet.
type Client struct {
	cfg      Config
	platform hosting.Platform
	usageLog hosting.Log // the log's usage stream
	peers    *http.Client
}

// ConflictError means that another change came first.
type ConflictError struct {
	Operation string
	Offset    id.Offset // of the rejected record
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: another operator's change came first (record rejected at offset %d); review that change and try again", e.Operation, e.Offset)
}

// RejectedError means that the record of a change was rejected for another reason than
// a conflict.
type RejectedError struct {
	Operation string
	Result    logbook.Result
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s: record rejected with result %q", e.Operation, e.Result)
}

// New returns a client. It calls the platform and the fleet's processes with the given
// HTTP clients.
func New(cfg Config, platformClient, peers *http.Client) *Client {
	platform := hosting.NewClient(cfg.Platform, platformClient)
	return &Client{cfg: cfg, platform: platform, usageLog: platform.Stream(hosting.StreamUsage), peers: peers}
}

// State reads the log to its end and returns the resulting state.
func (c *Client) State(ctx context.Context) (*logbook.State, error) {
	return loadState(ctx, c.platform)
}

// UsageState reads the usage stream to its end and returns the resulting state.
func (c *Client) UsageState(ctx context.Context) (*logbook.State, error) {
	return loadState(ctx, c.usageLog)
}

func loadState(ctx context.Context, l hosting.Log) (*logbook.State, error) {
	s := logbook.NewState()
	if err := logbook.Load(ctx, l, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Publish puts the rules in text into force, provided that the rules in force are still
// those published at offset base. The file name appears in errors. It returns the offset
// of the new rules. If the text is invalid the error is a rule.Errors; if other rules
// were published in the meantime it is a *ConflictError.
func (c *Client) Publish(ctx context.Context, now time.Time, file, text string, base id.Offset) (id.Offset, error) {
	if _, err := rule.Parse(file, text); err != nil {
		return 0, err
	}
	return c.appendChange(ctx, now, "rules publish", &ragwortv1.Record{Body: &ragwortv1.Record_RulesPublished{
		RulesPublished: &ragwortv1.RulesPublished{Text: text, BaseOffset: uint64(base), Operator: c.cfg.OperatorName},
	}})
}

// GiveKey creates a key and returns its full text and its ID.
func (c *Client) GiveKey(ctx context.Context, now time.Time, workspace id.Workspace, classes []id.Class, comment string) (key.Secret, id.Key, error) {
	secret, record := key.Generate(now, workspace, classes, comment)
	_, err := c.appendChange(ctx, now, "key give", &ragwortv1.Record{Body: &ragwortv1.Record_KeyGiven{KeyGiven: record}})
	return secret, id.Key(record.GetKey()), err
}

// WithdrawKey withdraws a key for good. The error is a *ConflictError if the key is
// already withdrawn.
func (c *Client) WithdrawKey(ctx context.Context, now time.Time, k id.Key, comment string) error {
	_, err := c.appendChange(ctx, now, "key withdraw", &ragwortv1.Record{Body: &ragwortv1.Record_KeyWithdrawn{
		KeyWithdrawn: &ragwortv1.KeyWithdrawn{Key: string(k), Comment: comment},
	}})
	return err
}

// appendChange appends one record and waits for its outcome.
func (c *Client) appendChange(ctx context.Context, now time.Time, operation string, r *ragwortv1.Record) (id.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	s, err := c.State(ctx)
	if err != nil {
		return 0, err
	}
	nopLogger, counts := log.NewNopLogger(), metrics.NewRegistry()
	w := logbook.NewWriter(c.platform, s, id.New("ctl", now), nopLogger, counts)
	go w.Run(ctx)
	go logbook.NewFollower(c.platform, s, nopLogger, counts).Run(ctx)
	out, err := w.Append(ctx, now, r)
	switch {
	case err != nil:
		return 0, err
	case out.Result == logbook.Conflict:
		return out.Offset, &ConflictError{Operation: operation, Offset: out.Offset}
	case out.Result != logbook.Accepted:
		return out.Offset, &RejectedError{Operation: operation, Result: out.Result}
	}
	return out.Offset, nil
}

// nodeAddresses returns the addresses of all known processes. If the platform's VM list
// cannot be read, it returns only the configured ones.
func (c *Client) nodeAddresses(ctx context.Context) []string {
	all := slices.Clone(c.cfg.Nodes)
	vms, err := c.platform.ListVMs(ctx)
	if err == nil {
		for _, vm := range vms {
			all = append(all, vm.Address)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// NodeResponse is the response of one process, or the error of the call.
type NodeResponse[T any] struct {
	Address string
	Message *T
	Err     error
}

// Status returns the status of every process.
func (c *Client) Status(ctx context.Context) []NodeResponse[ragwortv1.StatusResponse] {
	return callAll(ctx, c, func(ctx context.Context, node ragwortv1connect.NodeServiceClient) (*connect.Response[ragwortv1.StatusResponse], error) {
		return node.Status(ctx, connect.NewRequest(&ragwortv1.StatusRequest{}))
	})
}

// Explain returns the decisions of all processes about a request, sorted by time.
// Processes that do not respond are left out.
func (c *Client) Explain(ctx context.Context, rq id.Request) []*ragwortv1.Decision {
	responses := callAll(ctx, c, func(ctx context.Context, node ragwortv1connect.NodeServiceClient) (*connect.Response[ragwortv1.ExplainResponse], error) {
		return node.Explain(ctx, connect.NewRequest(&ragwortv1.ExplainRequest{Request: string(rq)}))
	})
	var all []*ragwortv1.Decision
	for _, response := range responses {
		all = append(all, response.Message.GetDecisions()...)
	}
	slices.SortStableFunc(all, func(a, b *ragwortv1.Decision) int { return int(a.GetAtUnixUs() - b.GetAtUnixUs()) })
	return all
}

// callAll calls every process concurrently.
func callAll[T any](ctx context.Context, c *Client, call func(context.Context, ragwortv1connect.NodeServiceClient) (*connect.Response[T], error)) []NodeResponse[T] {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	addresses := c.nodeAddresses(ctx)
	responses := make([]NodeResponse[T], len(addresses))
	done := make(chan struct{})
	for i, address := range addresses {
		go func() {
			defer func() { done <- struct{}{} }()
			responses[i].Address = address
			rs, err := call(ctx, ragwortv1connect.NewNodeServiceClient(c.peers, "http://"+address))
			if err != nil {
				responses[i].Err = err
				return
			}
			responses[i].Message = rs.Msg
		}()
	}
	for range addresses {
		<-done
	}
	return responses
}
