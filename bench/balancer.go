package bench

// This file defines Balancer, which sends calls to entries as the platform's
// balancer does.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	probeEvery   = 100 * time.Millisecond
	probeTimeout = time.Second
	idlePerEntry = 1024
)

// Balancer spreads calls over the entries that are ready. A call moves to another
// entry only if its connection was refused, so nothing has been sent.
type Balancer struct {
	client  *http.Client
	entries atomic.Pointer[[]target]
	next    atomic.Uint64
}

// target is one entry as the balancer knows it.
type target struct {
	base  string
	ready bool
}

// NewBalancer returns a balancer before the entries at the given addresses, all
// taken for ready until Run has probed them.
func NewBalancer(entries []string) *Balancer {
	b := &Balancer{client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: probeTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerEntry,
		DisableCompression:  true,
	}}}
	b.SetEntries(entries)
	return b
}

// SetEntries replaces the entries.
func (b *Balancer) SetEntries(entries []string) {
	list := make([]target, len(entries))
	for i, a := range entries {
		list[i] = target{base: "http://" + a, ready: true}
	}
	b.entries.Store(&list)
}

// Run probes the entries until ctx is done.
func (b *Balancer) Run(ctx context.Context) {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		b.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// probe asks every entry whether it is ready, side by side.
func (b *Balancer) probe(ctx context.Context) {
	old := b.entries.Load()
	list := make([]target, len(*old))
	done := make(chan struct{}, len(list))
	for i, t := range *old {
		go func() {
			list[i] = target{base: t.base, ready: b.ready(ctx, t.base)}
			done <- struct{}{}
		}()
	}
	for range list {
		<-done
	}
	b.entries.CompareAndSwap(old, &list)
}

func (b *Balancer) ready(ctx context.Context, base string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/readyz", nil)
	if err != nil {
		return false
	}
	rs, err := b.client.Do(rq)
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// errNoEntry says that no entry took the call.
var errNoEntry = eris.New("no ready entry took the connection")

// Do sends a request built for one entry after another until one takes the
// connection. It returns the base URL of that entry.
func (b *Balancer) Do(ctx context.Context, build func(base string) (*http.Request, error)) (*http.Response, string, error) {
	list := *b.entries.Load()
	start := b.next.Add(1)
	for i := range list {
		t := list[(start+uint64(i))%uint64(len(list))]
		if !t.ready {
			continue
		}
		rq, err := build(t.base)
		if err != nil {
			return nil, t.base, err
		}
		rs, err := b.client.Do(rq.WithContext(ctx))
		if err == nil || !refusedConnection(err) {
			return rs, t.base, err
		}
	}
	return nil, "", errNoEntry
}

// refusedConnection reports whether no byte of the request can have been sent.
func refusedConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
