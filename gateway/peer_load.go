package gateway

// This file defines how gateways tell each other the loads of services.

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pace"
	"github.com/ragwortpass/ragwortpass/pool"
	ragwortv1 "github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// peerLoads returns the load of each service by the requests of other gateways.
func (p *Program) peerLoads(now time.Time) map[id.Service]pool.Load {
	var loads []map[id.Service]pool.Load
	for _, r := range p.table.Live(now) {
		if r.GetNode() != string(p.settings.Node) {
			loads = append(loads, decodeLoads(r.GetLoads()))
		}
	}
	return pool.SumLoads(loads...)
}

// encodeLoads returns the wire form of the own loads, without services and levels that have none.
func encodeLoads(loads map[id.Service]pool.Load) (rows []*ragwortv1.ServiceLoad) {
	for service, load := range loads {
		row := &ragwortv1.ServiceLoad{Service: string(service), Running: uint32(load.Running), ShortRunning: uint32(load.Short)}
		for urgency := range load.Levels {
			l := &load.Levels[urgency]
			if l.Running == 0 && l.Arrived < minReportedLoad && l.Ended < minReportedLoad {
				continue
			}
			row.Levels = append(row.Levels, &ragwortv1.LevelLoad{
				Urgency: uint32(urgency), Running: uint32(l.Running), Arrived: float32(l.Arrived), Refused: float32(l.Refused), RefusedLong: float32(l.RefusedLong),
				SlotSeconds: float32(l.SlotSeconds), Started: float32(l.Started), Ended: float32(l.Ended),
			})
		}
		encodeUpstreams(row, load.Upstreams)
		encodePaces(row, load.Paces)
		if row.GetRunning() > 0 || len(row.GetLevels()) > 0 || len(row.GetPaced()) > 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// encodeUpstreams adds the loads of engines to a row.
func encodeUpstreams(row *ragwortv1.ServiceLoad, loads map[pool.UpstreamKey]pool.UpstreamLoad) {
	for _, key := range slices.Sorted(maps.Keys(loads)) {
		row.Upstreams = append(row.Upstreams, uint32(key))
		row.UpstreamRunning = append(row.UpstreamRunning, uint32(loads[key].Running))
		row.UpstreamUnread = append(row.UpstreamUnread, uint32(min(loads[key].Unread, maxPeerUnread)))
		for urgency, tokens := range loads[key].Levels {
			if tokens > 0 {
				row.UnreadUpstream = append(row.UnreadUpstream, uint32(len(row.GetUpstreams())-1))
				row.UnreadUrgency = append(row.UnreadUrgency, uint32(urgency))
				row.UnreadTokens = append(row.UnreadTokens, uint32(min(tokens, maxPeerUnread)))
			}
		}
	}
}

// encodePaces adds what the gateway has seen of the pace of upstreams to a row.
func encodePaces(row *ragwortv1.ServiceLoad, paces map[pool.PaceKey][]pace.Figure) {
	for _, key := range slices.Sorted(maps.Keys(paces)) {
		for _, f := range paces[key] {
			found, samples := f.Encode()
			row.Paced, row.Pace, row.PaceSamples = append(row.Paced, uint32(key)), append(row.Pace, found), append(row.PaceSamples, samples)
		}
	}
}

// decodePaces returns what a peer has seen of the pace of upstreams, or nil if its row has nothing of it.
func decodePaces(row *ragwortv1.ServiceLoad) map[pool.PaceKey][]pace.Figure {
	figures := min(len(row.GetPaced()), len(row.GetPace()), len(row.GetPaceSamples()), maxPeerUpstreams)
	if figures == 0 {
		return nil
	}
	paces := make(map[pool.PaceKey][]pace.Figure, figures)
	for i, key := range row.GetPaced()[:figures] {
		paces[pool.PaceKey(key)] = []pace.Figure{pace.DecodeFigure(row.GetPace()[i], row.GetPaceSamples()[i])}
	}
	return paces
}

// decodeUpstreams returns the loads of engines in a row, or nil if it has none.
func decodeUpstreams(row *ragwortv1.ServiceLoad) map[pool.UpstreamKey]pool.UpstreamLoad {
	running, unread := row.GetUpstreamRunning(), row.GetUpstreamUnread()
	if len(row.GetUpstreams()) == 0 {
		return nil
	}
	loads := make(map[pool.UpstreamKey]pool.UpstreamLoad)
	for i, key := range row.GetUpstreams() {
		if i < min(len(running), len(unread), maxPeerUpstreams) {
			loads[pool.UpstreamKey(key)] = pool.UpstreamLoad{
				Running: int(min(running[i], maxPeerLoad)), Unread: id.Tokens(min(unread[i], maxPeerUnread)),
			}
		}
	}
	addUnreadByUrgency(loads, row)
	return loads
}

// addUnreadByUrgency adds what a row tells of the urgency of unread tokens. What names no engine or urgency is ignored.
func addUnreadByUrgency(loads map[pool.UpstreamKey]pool.UpstreamLoad, row *ragwortv1.ServiceLoad) {
	upstreams, urgencies, tokens := row.GetUpstreams(), row.GetUnreadUrgency(), row.GetUnreadTokens()
	for i, index := range row.GetUnreadUpstream()[:min(len(row.GetUnreadUpstream()), len(urgencies), len(tokens), maxPeerUpstreams*pool.UrgencyLevels)] {
		if index >= uint32(len(upstreams)) || urgencies[i] >= pool.UrgencyLevels {
			continue
		}
		key := pool.UpstreamKey(upstreams[index])
		if load, known := loads[key]; known {
			load.Levels[urgencies[i]] = id.Tokens(min(tokens[i], maxPeerUnread))
			loads[key] = load
		}
	}
}

const (
	// maxPeerUnread and maxPeerUpstreams bound what a peer can say of engines.
	maxPeerUnread    = 1 << 30
	maxPeerUpstreams = 1 << 12
)

// minReportedLoad is the number of requests below which what decays is not reported.
const minReportedLoad = 0.01

// decodeLoads returns the loads that a peer has told. What is out of range counts as the nearest possible
// value, and levels that do not exist are ignored.
func decodeLoads(rows []*ragwortv1.ServiceLoad) map[id.Service]pool.Load {
	loads := make(map[id.Service]pool.Load, len(rows))
	for _, row := range rows {
		load := pool.Load{Running: int(min(row.GetRunning(), maxPeerLoad)), Short: int(min(row.GetShortRunning(), maxPeerLoad)), Upstreams: decodeUpstreams(row), Paces: decodePaces(row)}
		for _, l := range row.GetLevels() {
			if l.GetUrgency() < pool.UrgencyLevels {
				load.Levels[l.GetUrgency()] = pool.LevelLoad{
					Running: int(min(l.GetRunning(), maxPeerLoad)), Arrived: boundedLoad(l.GetArrived()), Refused: boundedLoad(l.GetRefused()), RefusedLong: boundedLoad(l.GetRefusedLong()),
					SlotSeconds: boundedLoad(l.GetSlotSeconds()), Started: boundedLoad(l.GetStarted()), Ended: boundedLoad(l.GetEnded()),
				}
			}
		}
		loads[id.Service(row.GetService())] = load
	}
	return loads
}

// boundedLoad returns a figure of a peer as a number from zero to maxPeerLoad.
func boundedLoad(v float32) float64 {
	if math.IsNaN(float64(v)) {
		return 0
	}
	return min(max(float64(v), 0), maxPeerLoad)
}
