package entry

// This file defines how an entry that shuts down hands its usage records to other
// entries while the log is unavailable.

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

const (
	handoverCopies  = 2 // number of entries that receive the records
	handoverTimeout = time.Second
)

// HoldRefusedError explains why an entry does not accept usage records.
type HoldRefusedError struct{ Reason string }

func (e *HoldRefusedError) Error() string { return "usage records refused: " + e.Reason }

// handOverUsage sends records to other entries and returns how many accepted them.
func (e *Entry) handOverUsage(ctx context.Context, records []*ragwortv1.Record) int {
	accepted := 0
	for _, address := range e.otherEntries(ctx) {
		if accepted == handoverCopies {
			break
		}
		if e.sendRecords(ctx, address, records) == nil {
			accepted++
		}
	}
	return accepted
}

// sendRecords asks the entry at an address to append records. It returns nil if that entry
// has accepted them.
func (e *Entry) sendRecords(ctx context.Context, address string, records []*ragwortv1.Record) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	client := ragwortv1connect.NewNodeServiceClient(e.deps.PeerClient, "http://"+address)
	_, err := client.Hold(ctx, connect.NewRequest(&ragwortv1.HoldRequest{Records: records}))
	return err
}

// otherEntries returns the addresses of the other entries, or the seeds if the VM list
// is unavailable.
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

// Hold implements ragwortv1connect.NodeServiceHandler. It accepts the usage records of an
// entry that shuts down.
func (n *node) Hold(_ context.Context, rq *connect.Request[ragwortv1.HoldRequest]) (*connect.Response[ragwortv1.HoldResponse], error) {
	if n.e.shuttingDown.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, &HoldRefusedError{Reason: string(problem.Leaving)})
	}
	for _, r := range rq.Msg.GetRecords() {
		if r.GetUsageCounted() == nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, &HoldRefusedError{Reason: fmt.Sprintf("record %d of writer %q is not a usage record", r.GetSequence(), r.GetWriter())})
		}
	}
	if !n.e.usageWriter.holdForPeer(rq.Msg.GetRecords()) {
		n.e.count("usage_hold_refused")
		return nil, connect.NewError(connect.CodeResourceExhausted, &HoldRefusedError{Reason: fmt.Sprintf("more than %d records would be queued", maxQueuedRecords)})
	}
	n.e.count("usage_held")
	_ = n.e.deps.Logger.Log("event", "usage_held", "records", len(rq.Msg.GetRecords()))
	return connect.NewResponse(&ragwortv1.HoldResponse{}), nil
}
