package bench

// This file defines Balancer, a load balancer before the entries that works as the
// platform's does.

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
	probeInterval        = 100 * time.Millisecond
	probeTimeout         = time.Second // of a probe, and of connecting to an entry
	maxIdleConnsPerEntry = 1024
)

// Balancer distributes calls over the ready entries in turn. A call is sent to
// another entry only if connecting to the first one failed, so that nothing of it
// was sent.
type Balancer struct {
	client  *http.Client
	entries atomic.Pointer[[]entryTarget]
	next    atomic.Uint64
}

// entryTarget is the base URL of an entry and its last known readiness.
type entryTarget struct {
	base  string
	ready bool
}

// NewBalancer returns a balancer for the entries at the given addresses. All of
// them count as ready until Run has probed them.
func NewBalancer(entries []string) *Balancer {
	b := &Balancer{client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: probeTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
		DisableCompression:  true,
	}}}
	b.SetEntries(entries)
	return b
}

// SetEntries replaces the entries. All of them count as ready until they are probed.
func (b *Balancer) SetEntries(entries []string) {
	list := make([]entryTarget, len(entries))
	for i, a := range entries {
		list[i] = entryTarget{base: "http://" + a, ready: true}
	}
	b.entries.Store(&list)
}

// Run probes the entries until ctx is done.
func (b *Balancer) Run(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
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

// probe queries the readiness of all entries concurrently. It discards what it found
// if SetEntries has replaced the entries meanwhile.
func (b *Balancer) probe(ctx context.Context) {
	old := b.entries.Load()
	list := make([]entryTarget, len(*old))
	done := make(chan struct{}, len(list))
	for i, t := range *old {
		go func() {
			list[i] = entryTarget{base: t.base, ready: b.ready(ctx, t.base)}
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// errNoEntry is returned if there is no ready entry.
var errNoEntry = eris.New("no entry is ready")

// Do tries the ready entries until it can connect to one, each with a request that
// build returns for its base URL. It returns the response and that base URL.
func (b *Balancer) Do(ctx context.Context, build func(base string) (*http.Request, error)) (*http.Response, string, error) {
	list := *b.entries.Load()
	start := b.next.Add(1)
	failure := errNoEntry
	for i := range list {
		t := list[(start+uint64(i))%uint64(len(list))]
		if !t.ready {
			continue
		}
		req, err := build(t.base)
		if err != nil {
			return nil, t.base, err
		}
		resp, err := b.client.Do(req.WithContext(ctx))
		if err == nil || !failedToConnect(err) {
			return resp, t.base, err
		}
		failure = eris.Wrap(err, "no ready entry accepted the connection")
	}
	return nil, "", failure
}

// failedToConnect reports whether connecting failed, so that no byte of the request
// was sent.
func failedToConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
