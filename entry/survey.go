package entry

// This file defines surveySidecars, with which the holder of the orders lease reads the
// load of every sidecar. Other entries watch only a subset of the sidecars.

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

const (
	surveyConcurrency = 64 // sidecars queried at a time
	roleSidecar       = "sidecar"
)

// surveySidecars returns the current view of the upstream of every live sidecar on the VM
// list, except for those that do not answer within heartbeatTimeout in total.
func (e *Entry) surveySidecars(ctx context.Context, vms []hosting.VM) []upstream.View {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var mu sync.Mutex
	var views []upstream.View
	var wg sync.WaitGroup
	slots := make(chan struct{}, surveyConcurrency)
	for _, vm := range vms {
		if vm.Role != roleSidecar || vm.State != hosting.VMLive {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			e.guard.Do("survey", func() {
				if v, ok := e.queryLoad(ctx, vm.Address); ok {
					mu.Lock()
					defer mu.Unlock()
					views = append(views, v)
				}
			})
		})
	}
	wg.Wait()
	return views
}

// queryLoad returns the view of a sidecar's upstream. It reports false if the sidecar does
// not answer.
func (e *Entry) queryLoad(ctx context.Context, address string) (upstream.View, bool) {
	client := ragwortv1connect.NewNodeServiceClient(e.deps.PeerClient, "http://"+address)
	rs, err := client.Heartbeat(ctx, connect.NewRequest(&ragwortv1.HeartbeatRequest{
		From: e.identity(), JournalOffset: uint64(e.deps.State.Offset()),
	}))
	if err != nil || rs.Msg.GetLoad() == nil {
		return upstream.View{}, false
	}
	return viewFromHeartbeat(time.Now(), rs.Msg), true
}
