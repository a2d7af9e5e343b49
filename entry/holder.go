package entry

// This file defines holder, which keeps usage records for entries that had to
// leave while the log was out.
//
// A record carries its writer and sequence, so whoever appends it, and however
// often, it is folded once. A writer's records must be folded in order: an entry
// hands over all that it has not seen folded, from a writer that appends nothing
// else, and they are appended in one batch.

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/journal"
	"github.com/ragwortpass/ragwortpass/platform"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

const (
	maxHeld     = 20_000 // records
	holders     = 2      // entries that get a copy each
	holdTimeout = time.Second
)

// holder is safe for concurrent use.
type holder struct {
	e *Entry

	mu   sync.Mutex
	held []*ragwortv1.Record // in the order of writer and sequence
}

func newHolder(e *Entry) *holder {
	h := &holder{e: e}
	e.deps.State.Observe(h.folded)
	return h
}

// add keeps records until they are folded; it reports false if there are too many.
func (h *holder) add(records []*ragwortv1.Record) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.held)+len(records) > maxHeld {
		return false
	}
	h.held = append(h.held, records...)
	slices.SortFunc(h.held, byWriter)
	h.held = slices.CompactFunc(h.held, func(a, b *ragwortv1.Record) bool { return byWriter(a, b) == 0 })
	return true
}

func byWriter(a, b *ragwortv1.Record) int {
	return cmp.Or(cmp.Compare(a.GetWriter(), b.GetWriter()), cmp.Compare(a.GetSequence(), b.GetSequence()))
}

// folded drops a record that is on the log, and those before it of its writer.
func (h *holder) folded(o journal.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = slices.DeleteFunc(h.held, func(r *ragwortv1.Record) bool {
		return r.GetWriter() == o.Record.GetWriter() && r.GetSequence() <= o.Record.GetSequence()
	})
}

// all returns the records that are held.
func (h *holder) all() []*ragwortv1.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.held)
}

// run appends what is held, again and again until it is folded.
func (h *holder) run(ctx context.Context) {
	tick := time.NewTicker(h.e.cfg.UsageFlush)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		records := h.all()
		if len(records) == 0 {
			continue
		}
		payload, err := proto.Marshal(&ragwortv1.Batch{Records: records})
		if err != nil {
			panic("records always encode")
		}
		if _, err := h.e.deps.Platform.Append(ctx, payload); err != nil {
			h.e.count("usage_held_append_failed")
		}
	}
}

// handOver gives records to other entries and returns how many took them.
func (h *holder) handOver(ctx context.Context, records []*ragwortv1.Record) int {
	taken := 0
	for _, address := range h.peers(ctx) {
		if taken == holders {
			break
		}
		if h.give(ctx, address, records) == nil {
			taken++
		}
	}
	return taken
}

func (h *holder) give(ctx context.Context, address string, records []*ragwortv1.Record) error {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	client := ragwortv1connect.NewNodeServiceClient(h.e.deps.Peers, "http://"+address)
	_, err := client.Hold(ctx, connect.NewRequest(&ragwortv1.HoldRequest{Records: records}))
	return err
}

// peers returns the addresses of other entries; of every seed if there is no list.
func (h *holder) peers(ctx context.Context) []string {
	vms, err := h.e.deps.Platform.VMs(ctx)
	if err != nil {
		return h.e.cfg.Seeds
	}
	var addresses []string
	for _, vm := range vms {
		if vm.Role == "entry" && vm.State == platform.VMLive && vm.Address != h.e.cfg.Address {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}

// Hold implements the NodeService.
func (n *node) Hold(_ context.Context, rq *connect.Request[ragwortv1.HoldRequest]) (*connect.Response[ragwortv1.HoldResponse], error) {
	if n.e.leaving.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, &NotReadyError{Why: string(problem.Leaving)})
	}
	for _, r := range rq.Msg.GetRecords() {
		if r.GetUsageCounted() == nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, &NotReadyError{Why: "only usage records are held"})
		}
	}
	if !n.e.billing.holder.add(rq.Msg.GetRecords()) {
		n.e.count("usage_hold_refused")
		return nil, connect.NewError(connect.CodeResourceExhausted, &NotReadyError{Why: "too many records are held"})
	}
	n.e.count("usage_held")
	_ = n.e.deps.Logger.Log("event", "usage_held", "records", len(rq.Msg.GetRecords()))
	return connect.NewResponse(&ragwortv1.HoldResponse{}), nil
}
