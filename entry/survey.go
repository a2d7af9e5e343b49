package entry

// This file defines survey: the holder of the orders lease asks every sidecar for
// its load. An entry otherwise watches only a subset of them.

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
	surveyAtOnce = 64
	roleSidecar  = "sidecar"
)

// survey returns what every live sidecar of the list says now; those that do not
// answer are left out.
func (e *Entry) survey(ctx context.Context, vms []hosting.VM) []upstream.View {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var mu sync.Mutex
	var views []upstream.View
	var wg sync.WaitGroup
	slots := make(chan struct{}, surveyAtOnce)
	for _, vm := range vms {
		if vm.Role != roleSidecar || vm.State != hosting.VMLive {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if v, ok := e.ask(ctx, vm.Address); ok {
				mu.Lock()
				defer mu.Unlock()
				views = append(views, v)
			}
		})
	}
	wg.Wait()
	return views
}

func (e *Entry) ask(ctx context.Context, address string) (upstream.View, bool) {
	client := ragwortv1connect.NewNodeServiceClient(e.deps.Peers, "http://"+address)
	rs, err := client.Heartbeat(ctx, connect.NewRequest(&ragwortv1.HeartbeatRequest{
		From: e.identity(), JournalOffset: uint64(e.deps.State.Offset()),
	}))
	if err != nil || rs.Msg.GetLoad() == nil {
		return upstream.View{}, false
	}
	return view(time.Now(), rs.Msg), true
}
