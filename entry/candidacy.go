package entry

// This file defines which entries follow the usage stream and compete for its lease.

import (
	"context"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/lease"
)

const (
	// usageCandidates is the number of entries that follow the usage stream.
	usageCandidates        = 5
	candidacyCheckInterval = 2 * time.Second
)

// runUsageCandidacy waits until this entry is among the candidates, then follows the
// usage stream and competes for its lease until ctx is done. It remains a candidate
// when other entries outrank it later, so that candidates do not change with every VM.
func (e *Entry) runUsageCandidacy(ctx context.Context) {
	for !e.isUsageCandidate(ctx) {
		sleep(ctx, candidacyCheckInterval)
		if ctx.Err() != nil {
			return
		}
	}
	_ = e.deps.Logger.Log("event", "usage_candidate")
	var wg sync.WaitGroup
	wg.Go(func() { e.deps.Usage.Run(ctx) })
	wg.Go(func() { e.usageReporter.task.run(ctx) })
	wg.Wait()
}

// isUsageCandidate reports whether this entry ranks among the candidates, according
// to the platform's VM list.
func (e *Entry) isUsageCandidate(ctx context.Context) bool {
	vms, err := e.deps.Platform.ListVMs(ctx)
	if err != nil || e.shuttingDown.Load() {
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
