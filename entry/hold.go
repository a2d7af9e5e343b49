package entry

// This file defines how a leaving entry hands usage records to others while the
// log is out.

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

const (
	holders     = 2 // entries that get a copy each
	holdTimeout = time.Second
)

// HoldRefusedError says why an entry does not take records.
type HoldRefusedError struct{ Why string }

func (e *HoldRefusedError) Error() string { return "records not taken: " + e.Why }

// handOver gives records to other entries and returns how many took them.
func (e *Entry) handOver(ctx context.Context, records []*ragwortv1.Record) int {
	taken := 0
	for _, address := range e.otherEntries(ctx) {
		if taken == holders {
			break
		}
		if e.giveRecords(ctx, address, records) == nil {
			taken++
		}
	}
	return taken
}

func (e *Entry) giveRecords(ctx context.Context, address string, records []*ragwortv1.Record) error {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	client := ragwortv1connect.NewNodeServiceClient(e.deps.Peers, "http://"+address)
	_, err := client.Hold(ctx, connect.NewRequest(&ragwortv1.HoldRequest{Records: records}))
	return err
}

// otherEntries returns the addresses of other entries; every seed if there is no
// list.
func (e *Entry) otherEntries(ctx context.Context) []string {
	vms, err := e.deps.Platform.ListVMs(ctx)
	if err != nil {
		return e.cfg.Seeds
	}
	var addresses []string
	for _, vm := range vms {
		if vm.Role == roleEntry && vm.State == hosting.VMLive && vm.Address != e.cfg.Address {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}

// Hold implements the NodeService.
func (n *node) Hold(_ context.Context, rq *connect.Request[ragwortv1.HoldRequest]) (*connect.Response[ragwortv1.HoldResponse], error) {
	if n.e.leaving.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, &HoldRefusedError{Why: string(problem.Leaving)})
	}
	for _, r := range rq.Msg.GetRecords() {
		if r.GetUsageCounted() == nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, &HoldRefusedError{Why: "not a usage record"})
		}
	}
	if !n.e.billing.hold(rq.Msg.GetRecords()) {
		n.e.count("usage_hold_refused")
		return nil, connect.NewError(connect.CodeResourceExhausted, &HoldRefusedError{Why: "too many are held"})
	}
	n.e.count("usage_held")
	_ = n.e.deps.Logger.Log("event", "usage_held", "records", len(rq.Msg.GetRecords()))
	return connect.NewResponse(&ragwortv1.HoldResponse{}), nil
}
