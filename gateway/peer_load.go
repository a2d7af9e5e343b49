package gateway

// This file defines how gateways tell each other the loads of services.

import (
	"math"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
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
		row := &ragwortv1.ServiceLoad{Service: string(service), Running: uint32(load.Running)}
		for urgency := range load.Levels {
			l := &load.Levels[urgency]
			if l.Running == 0 && l.Arrived < minReportedLoad && l.Ended < minReportedLoad {
				continue
			}
			row.Levels = append(row.Levels, &ragwortv1.LevelLoad{
				Urgency: uint32(urgency), Running: uint32(l.Running), Arrived: float32(l.Arrived), Refused: float32(l.Refused),
				SlotSeconds: float32(l.SlotSeconds), Started: float32(l.Started), Ended: float32(l.Ended),
			})
		}
		if row.GetRunning() > 0 || len(row.GetLevels()) > 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// minReportedLoad is the number of requests below which what decays is not reported.
const minReportedLoad = 0.01

// decodeLoads returns the loads that a peer has told. What is out of range counts as the nearest possible
// value, and levels that do not exist are ignored.
func decodeLoads(rows []*ragwortv1.ServiceLoad) map[id.Service]pool.Load {
	loads := make(map[id.Service]pool.Load, len(rows))
	for _, row := range rows {
		load := pool.Load{Running: int(min(row.GetRunning(), maxPeerLoad))}
		for _, l := range row.GetLevels() {
			if l.GetUrgency() < pool.UrgencyLevels {
				load.Levels[l.GetUrgency()] = pool.LevelLoad{
					Running: int(min(l.GetRunning(), maxPeerLoad)), Arrived: boundedLoad(l.GetArrived()), Refused: boundedLoad(l.GetRefused()),
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
