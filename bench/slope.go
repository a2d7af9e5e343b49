package bench

// This file defines MeasureFleets, which measures what control costs as a fleet grows:
// fleets of growing size inside this process, without load.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	slopeFile    = "slope.json"
	settle       = 15 * time.Second // after the start of a fleet, in which every sidecar is asked once
	observe      = 25 * time.Second // longer than the rarest heartbeat of the sizes measured
	publishes    = 5
	publishLimit = 20 * time.Second
)

// ScalingReport holds every measurement of the slope command.
type ScalingReport struct {
	Version     string        `json:"version"`
	FleetCosts  []FleetCost   `json:"fleets"`
	StateCosts  []StateCost   `json:"states"`
	ApplySpeeds []FoldSpeed   `json:"folds"`
	Elapsed     time.Duration `json:"took_ns"`
}

// FleetCost is what a fleet without load costs.
type FleetCost struct {
	Sidecars int `json:"sidecars"`
	Entries  int `json:"entries"`
	// Bytes a second in and out, between processes (HTTP and TCP payload) and with the platform.
	EntryPeerBytes       float64 `json:"entry_peer_bytes_per_second"`
	SidecarPeerBytes     float64 `json:"sidecar_peer_bytes_per_second"`
	EntryPlatformBytes   float64 `json:"entry_platform_bytes_per_second"`
	SidecarPlatformBytes float64 `json:"sidecar_platform_bytes_per_second"`
	// Platform calls a second of the whole fleet.
	PlatformCalls float64 `json:"platform_calls_per_second"`
	// Share of a core and heap of this process for each daemon, stand-ins included.
	CoreShare float64 `json:"core_share_per_daemon"`
	HeapBytes float64 `json:"heap_bytes_per_daemon"`
	// Time from a publish to its being in force at every daemon.
	InForceMedian float64 `json:"in_force_median_ms"`
	InForceMax    float64 `json:"in_force_max_ms"`
}

// MeasureFleets measures fleets of the given sizes, each with the given entries.
func MeasureFleets(ctx context.Context, sidecars, entries []int, out io.Writer) ([]FleetCost, error) {
	var all []FleetCost
	for _, n := range sidecars {
		for _, m := range entries {
			c, err := fleetCost(ctx, n, m)
			if err != nil {
				return all, err
			}
			all = append(all, *c)
			_, _ = fmt.Fprintf(out, "slope fleet sidecars=%d entries=%d entry_peer_bytes_s=%.0f sidecar_peer_bytes_s=%.0f entry_platform_bytes_s=%.0f sidecar_platform_bytes_s=%.0f platform_calls_s=%.1f core_share=%.4f heap_bytes=%.0f in_force_median_ms=%.0f in_force_max_ms=%.0f\n",
				c.Sidecars, c.Entries, c.EntryPeerBytes, c.SidecarPeerBytes, c.EntryPlatformBytes, c.SidecarPlatformBytes,
				c.PlatformCalls, c.CoreShare, c.HeapBytes, c.InForceMedian, c.InForceMax)
		}
	}
	return all, nil
}

// reading is what the process and a fleet have used so far.
type reading struct {
	at       time.Time
	cpu      time.Duration
	peers    map[string]int64 // by role
	platform map[string]int64
	calls    int64
}

func fleetCost(ctx context.Context, sidecars, entries int) (*FleetCost, error) {
	before := heap()
	d := hingeworks()
	d.Services = 0
	f, err := StartFleet(ctx, FleetConfig{Deployment: d, Policy: PolicyRagwortpass, Engines: sidecars, Entries: entries, Warm: true})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	time.Sleep(settle)
	a := f.read()
	time.Sleep(observe)
	b := f.read()
	seconds := b.at.Sub(a.at).Seconds()
	daemons := float64(sidecars + entries)
	c := &FleetCost{Sidecars: sidecars, Entries: entries}
	// Of a connection between two daemons, the listener counts every byte once for each side.
	asked := float64(b.peers[RoleEntry]-a.peers[RoleEntry]) / seconds
	answered := float64(b.peers[RoleSidecar]-a.peers[RoleSidecar]) / seconds
	c.SidecarPeerBytes = answered / float64(sidecars)
	c.EntryPeerBytes = (2*asked + answered) / float64(entries)
	c.EntryPlatformBytes = float64(b.platform[RoleEntry]-a.platform[RoleEntry]) / seconds / float64(entries)
	c.SidecarPlatformBytes = float64(b.platform[RoleSidecar]-a.platform[RoleSidecar]) / seconds / float64(sidecars)
	c.PlatformCalls = float64(b.calls-a.calls) / seconds
	c.CoreShare = (b.cpu - a.cpu).Seconds() / seconds / daemons
	c.HeapBytes = (heap() - before) / daemons
	return c, f.inForce(ctx, c)
}

// read takes a reading.
func (f *Fleet) read() reading {
	r := reading{at: time.Now(), cpu: cpuTime(), peers: make(map[string]int64), platform: make(map[string]int64)}
	for _, n := range f.allNodes() {
		r.peers[n.Role] += n.bytes.Load()
		r.platform[n.Role] += n.link.bytes.Load()
		r.calls += n.link.calls.Load()
	}
	return r
}

// inForce measures how long published rules take to reach every daemon.
func (f *Fleet) inForce(ctx context.Context, c *FleetCost) error {
	var times []float64
	for i := range publishes {
		text := fmt.Sprintf("%s\n# publish %d\n", f.Deployment.Rules, i)
		offset, err := f.Publish(ctx, text)
		if err != nil {
			return err
		}
		start := time.Now()
		for !f.allHave(offset) {
			if time.Since(start) > publishLimit {
				break
			}
			time.Sleep(time.Millisecond)
		}
		times = append(times, float64(time.Since(start))/float64(time.Millisecond))
	}
	c.InForceMedian, c.InForceMax = median(times)
	return nil
}

func (f *Fleet) allHave(rules id.Offset) bool {
	for _, n := range f.allNodes() {
		if n.State.Rules().Offset < rules {
			return false
		}
	}
	return true
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Save writes the measurements into a folder, which it makes.
func (s *ScalingReport) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, slopeFile), append(data, '\n'), 0o644)
}
