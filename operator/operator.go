// Package operator defines what operators do to a running fleet: publish rules,
// give and withdraw keys, and look at processes and decisions. Changes are
// records on the platform's log; nothing else is written.
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
	changeTimeout = 10 * time.Second
	nodeTimeout   = 2 * time.Second
)

// Config is what an operator's program learns from its settings.
type Config struct {
	Platform     string   // URL
	Nodes        []string // addresses, besides the VM list
	OperatorName string   // of the operator
}

// Operator acts on a fleet.
type Client struct {
	cfg      Config
	platform hosting.Platform
	usage    hosting.Log // the stream of usage
	peers    *http.Client
}

// ConflictError says that another change came first.
type ConflictError struct {
	Operation string
	Offset    id.Offset // of the refused record
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: another operator's change came first (refused at offset %d); look at it and try again", e.Operation, e.Offset)
}

// RejectedError says that a record was folded to nothing for another reason.
type RejectedError struct {
	Operation string
	Result    logbook.Result
}

func (e *RejectedError) Error() string { return fmt.Sprintf("%s: %s", e.Operation, e.Result) }

// New returns an operator.
func New(cfg Config, outside, peers *http.Client) *Client {
	p := hosting.NewClient(cfg.Platform, outside)
	return &Client{cfg: cfg, platform: p, usage: p.Stream(hosting.StreamUsage), peers: peers}
}

// State reads the log to its end and returns its fold.
func (o *Client) State(ctx context.Context) (*logbook.State, error) { return read(ctx, o.platform) }

// UsageState reads the usage stream to its end and returns its fold.
func (o *Client) UsageState(ctx context.Context) (*logbook.State, error) { return read(ctx, o.usage) }

func read(ctx context.Context, l hosting.Log) (*logbook.State, error) {
	s := logbook.NewState()
	if err := logbook.Load(ctx, l, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Publish makes text the rules in force, if the rules in force are still those at
// base. It returns the offset of the new rules. Its error is a rule.Errors or a
// *ConflictError if the rules are not accepted.
func (o *Client) Publish(ctx context.Context, now time.Time, file, text string, base id.Offset) (id.Offset, error) {
	if _, err := rule.Parse(file, text); err != nil {
		return 0, err
	}
	return o.change(ctx, now, "rules publish", &ragwortv1.Record{Body: &ragwortv1.Record_RulesPublished{
		RulesPublished: &ragwortv1.RulesPublished{Text: text, BaseOffset: uint64(base), Operator: o.cfg.OperatorName},
	}})
}

// GiveKey makes a key and returns the text that its caller presents.
func (o *Client) GiveKey(ctx context.Context, now time.Time, ws id.Workspace, classes []id.Class, comment string) (key.Secret, id.Key, error) {
	secret, rec := key.Generate(now, ws, classes, comment)
	_, err := o.change(ctx, now, "key give", &ragwortv1.Record{Body: &ragwortv1.Record_KeyGiven{KeyGiven: rec}})
	return secret, id.Key(rec.GetKey()), err
}

// WithdrawKey ends a key.
func (o *Client) WithdrawKey(ctx context.Context, now time.Time, k id.Key, comment string) error {
	_, err := o.change(ctx, now, "key withdraw", &ragwortv1.Record{Body: &ragwortv1.Record_KeyWithdrawn{
		KeyWithdrawn: &ragwortv1.KeyWithdrawn{Key: string(k), Comment: comment},
	}})
	return err
}

// change appends one record and waits for its outcome.
func (o *Client) change(ctx context.Context, now time.Time, what string, r *ragwortv1.Record) (id.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	s, err := o.State(ctx)
	if err != nil {
		return 0, err
	}
	quiet, counts := log.NewNopLogger(), metrics.NewRegistry()
	w := logbook.NewWriter(o.platform, s, id.New("ctl", now), quiet, counts)
	go w.Run(ctx)
	go logbook.NewFollower(o.platform, s, quiet, counts).Run(ctx)
	out, err := w.Append(ctx, now, r)
	switch {
	case err != nil:
		return 0, err
	case out.Result == logbook.Conflict:
		return out.Offset, &ConflictError{Operation: what, Offset: out.Offset}
	case out.Result != logbook.Accepted:
		return out.Offset, &RejectedError{Operation: what, Result: out.Result}
	}
	return out.Offset, nil
}

// nodes returns the addresses of every known process.
func (o *Client) nodes(ctx context.Context) []string {
	all := slices.Clone(o.cfg.Nodes)
	vms, err := o.platform.ListVMs(ctx)
	if err == nil {
		for _, vm := range vms {
			all = append(all, vm.Address)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Answer is what one process said, or why it did not.
type NodeResponse[T any] struct {
	Address string
	Message *T
	Err     error
}

// Status asks every process for its status.
func (o *Client) Status(ctx context.Context) []NodeResponse[ragwortv1.StatusResponse] {
	return askAll(ctx, o, func(ctx context.Context, c ragwortv1connect.NodeServiceClient) (*connect.Response[ragwortv1.StatusResponse], error) {
		return c.Status(ctx, connect.NewRequest(&ragwortv1.StatusRequest{}))
	})
}

// Explain returns the decisions about a request from every process, in the order
// of their times.
func (o *Client) Explain(ctx context.Context, rq id.Request) []*ragwortv1.Decision {
	answers := askAll(ctx, o, func(ctx context.Context, c ragwortv1connect.NodeServiceClient) (*connect.Response[ragwortv1.ExplainResponse], error) {
		return c.Explain(ctx, connect.NewRequest(&ragwortv1.ExplainRequest{Request: string(rq)}))
	})
	var all []*ragwortv1.Decision
	for _, a := range answers {
		all = append(all, a.Message.GetDecisions()...)
	}
	slices.SortStableFunc(all, func(a, b *ragwortv1.Decision) int { return int(a.GetAtUnixUs() - b.GetAtUnixUs()) })
	return all
}

// askAll makes one call to every process, side by side.
func askAll[T any](ctx context.Context, o *Client, call func(context.Context, ragwortv1connect.NodeServiceClient) (*connect.Response[T], error)) []NodeResponse[T] {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	addresses := o.nodes(ctx)
	answers := make([]NodeResponse[T], len(addresses))
	done := make(chan struct{})
	for i, a := range addresses {
		go func() {
			defer func() { done <- struct{}{} }()
			answers[i].Address = a
			rs, err := call(ctx, ragwortv1connect.NewNodeServiceClient(o.peers, "http://"+a))
			if err != nil {
				answers[i].Err = err
				return
			}
			answers[i].Message = rs.Msg
		}()
	}
	for range addresses {
		<-done
	}
	return answers
}
