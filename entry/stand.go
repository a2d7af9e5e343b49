package entry

// This file defines which entries follow the usage stream and stand for its lease.

import (
	"context"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/lease"
)

const (
	// usageCandidates is how many entries follow the usage stream.
	usageCandidates = 5
	standEvery      = 2 * time.Second
)

// standForUsage waits until this entry ranks among the candidates, then follows the
// usage stream and stands for its lease until ctx is done. It goes on when others
// outrank it later, so that candidates do not change with every VM.
func (e *Entry) standForUsage(ctx context.Context) {
	for !e.ranksForUsage(ctx) {
		pause(ctx, standEvery)
		if ctx.Err() != nil {
			return
		}
	}
	_ = e.deps.Logger.Log("event", "usage_candidate")
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){e.deps.Usage.Run, e.reporting.duty.run} {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
}

// ranksForUsage reports whether this entry is a candidate by the platform's list.
func (e *Entry) ranksForUsage(ctx context.Context) bool {
	vms, err := e.deps.Platform.ListVMs(ctx)
	if err != nil || e.leaving.Load() {
		return false
	}
	var entries []id.Node
	for _, vm := range vms {
		if vm.Role == roleEntry && vm.State == hosting.VMLive {
			entries = append(entries, vm.ID)
		}
	}
	return lease.Eligible(id.DutyUsage, e.cfg.Node, entries, usageCandidates)
}
