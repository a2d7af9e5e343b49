package gateway

// This file defines how a gateway learns of the limits that upstreams name, and tells its peers.

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/quota"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// noteLimit passes on to the pool and to peers what an upstream says of its limit in the response to
// the latest attempt.
func (f *forwarding) noteLimit(now time.Time, u *pool.Listing, info *ownResponse) {
	if info.InvalidLimit != "" {
		f.gateway.incrementCounter("upstream_limit_invalid")
		_ = f.gateway.logRequest(f.req, "event", "upstream_limit_invalid", "upstream", u.ID, "limit", info.InvalidLimit)
		return
	}
	change := f.gateway.deps.Pool.HearLimit(now, u, info.Limited, info.Limit, f.attemptStarted)
	if change != nil {
		f.gateway.logLimit(change, "own", f.req.info.ID)
		f.gateway.deps.TellPeers()
	}
}

// logLimit logs and counts a change of a limit. The request is empty if peers have told of it.
func (g *Gateway) logLimit(c *pool.LimitChange, by string, request id.Request) {
	g.incrementCounter("upstream_limit_changed")
	metrics.GetOrRegisterGauge("limited_upstreams", g.deps.Metrics).Update(int64(g.deps.Pool.LimitedUpstreams()))
	_ = g.deps.Logger.Log("event", "upstream_limit", "upstream", c.Now.Upstream, "born", c.Now.StartUnixMS, "limited", c.Now.Limited, "limit", c.Now.Limit,
		"was_limited", c.Before.Limited, "was", c.Before.Limit, "by", by, "request", request, "gateways", c.Gateways, "part", c.Part)
}

// MergeLimits takes over what a peer reports of the limits of upstreams.
func (g *Gateway) MergeLimits(now time.Time, r *peer.Row) {
	var reports []pool.LimitReport
	for _, l := range r.GetLimits() {
		reports = append(reports, pool.LimitReport{
			Upstream: id.Upstream(l.GetUpstream()), StartUnixMS: l.GetStartUnixMs(),
			Statement: quota.Statement{
				Limited: l.GetLimited(), Limit: id.PerSecond(l.GetRequestsPerSecond()),
				SentAt: time.UnixMilli(l.GetSentUnixMs()), HeardAt: time.UnixMilli(l.GetHeardUnixMs()),
			},
		})
	}
	for _, change := range g.deps.Pool.MergeLimits(now, reports) {
		g.logLimit(change, r.GetNode(), "")
	}
}

// encodeLimits returns the wire form of reports. Times are rounded so that an exchange does not get
// shorter.
func encodeLimits(reports []pool.LimitReport) (limits []*ragwortv1.UpstreamLimit) {
	for _, r := range reports {
		limits = append(limits, &ragwortv1.UpstreamLimit{
			Upstream: string(r.Upstream), StartUnixMs: r.StartUnixMS, Limited: r.Limited, RequestsPerSecond: float64(r.Limit),
			SentUnixMs: r.SentAt.UnixMilli(), HeardUnixMs: r.HeardAt.Add(time.Millisecond - 1).UnixMilli(),
		})
	}
	return limits
}
