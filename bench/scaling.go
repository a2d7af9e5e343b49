package bench

// This file defines MeasureFleets, which measures what coordination costs as a fleet
// grows: it runs idle fleets of several sizes inside this process.

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
	scalingFile    = "slope.json"
	settleTime     = 15 * time.Second // after the start of a fleet, until every sidecar was polled once
	observeTime    = 25 * time.Second // longer than the longest heartbeat interval of the measured sizes
	publishCount   = 5                // measured publications of rules for each fleet
	publishTimeout = 20 * time.Second
)

// ScalingReport holds all measurements of the command "slope" of the bench program.
type ScalingReport struct {
	Version     string        `json:"version"`
	FleetCosts  []FleetCost   `json:"fleets"`
	StateCosts  []StateCost   `json:"states"`
	ApplySpeeds []ApplySpeed  `json:"folds"`
	Elapsed     time.Duration `json:"took_ns"`
}

// FleetCost holds the resources that an idle fleet uses.
type FleetCost struct {
	Sidecars int `json:"sidecars"`
	Entries  int `json:"entries"`
	// Bytes per second that an entry or a sidecar sends and receives, among entries and sidecars (HTTP over TCP) and with the platform.
	EntryPeerBytes       float64 `json:"entry_peer_bytes_per_second"`
	SidecarPeerBytes     float64 `json:"sidecar_peer_bytes_per_second"`
	EntryPlatformBytes   float64 `json:"entry_platform_bytes_per_second"`
	SidecarPlatformBytes float64 `json:"sidecar_platform_bytes_per_second"`
	// Platform calls per second of the whole fleet.
	PlatformCallRate float64 `json:"platform_calls_per_second"`
	// Share of a core and heap bytes of this process for each entry and sidecar, stand-ins included.
	CoreShare float64 `json:"core_share_per_daemon"`
	HeapBytes float64 `json:"heap_bytes_per_daemon"`
	// Time from the acceptance of published rules until they are in force at every entry and sidecar.
	InForceMedian float64 `json:"in_force_median_ms"`
	InForceMax    float64 `json:"in_force_max_ms"`
}

// MeasureFleets measures a fleet for each combination of the numbers of sidecars
// and entries.
func MeasureFleets(ctx context.Context, sidecars, entries []int, out io.Writer) ([]FleetCost, error) {
	var all []FleetCost
	for _, n := range sidecars {
		for _, m := range entries {
			c, err := measureFleet(ctx, n, m)
			if err != nil {
				return all, err
			}
			all = append(all, *c)
			_, _ = fmt.Fprintf(out, "slope fleet sidecars=%d entries=%d entry_peer_bytes_s=%.0f sidecar_peer_bytes_s=%.0f entry_platform_bytes_s=%.0f sidecar_platform_bytes_s=%.0f platform_calls_s=%.1f core_share=%.4f heap_bytes=%.0f in_force_median_ms=%.0f in_force_max_ms=%.0f\n",
				c.Sidecars, c.Entries, c.EntryPeerBytes, c.SidecarPeerBytes, c.EntryPlatformBytes, c.SidecarPlatformBytes,
				c.PlatformCallRate, c.CoreShare, c.HeapBytes, c.InForceMedian, c.InForceMax)
		}
	}
	return all, nil
}

// resourceSample holds what this process and a fleet have used so far.
type resourceSample struct {
	at       time.Time
	cpu      time.Duration
	peers    map[string]int64 // bytes on listeners, by role
	platform map[string]int64 // bytes exchanged with the platform, by role
	calls    int64
}

func measureFleet(ctx context.Context, sidecars, entries int) (*FleetCost, error) {
	before := heapBytes()
	d := hingeworks()
	d.Services = 0
	f, err := StartFleet(ctx, FleetConfig{Deployment: d, Policy: PolicyRagwortpass, Engines: sidecars, Entries: entries, WarmEngines: true})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	time.Sleep(settleTime)
	first := f.sampleResources()
	time.Sleep(observeTime)
	last := f.sampleResources()
	seconds := last.at.Sub(first.at).Seconds()
	nodes := float64(sidecars + entries)
	c := &FleetCost{Sidecars: sidecars, Entries: entries}
	// Bytes are counted once, at the listening end of a connection, but sent and received at both: entries are at
	// both ends of connections among entries, and at the other end of those to sidecars.
	entryTraffic := float64(last.peers[RoleEntry]-first.peers[RoleEntry]) / seconds
	sidecarTraffic := float64(last.peers[RoleSidecar]-first.peers[RoleSidecar]) / seconds
	c.SidecarPeerBytes = sidecarTraffic / float64(sidecars)
	c.EntryPeerBytes = (2*entryTraffic + sidecarTraffic) / float64(entries)
	c.EntryPlatformBytes = float64(last.platform[RoleEntry]-first.platform[RoleEntry]) / seconds / float64(entries)
	c.SidecarPlatformBytes = float64(last.platform[RoleSidecar]-first.platform[RoleSidecar]) / seconds / float64(sidecars)
	c.PlatformCallRate = float64(last.calls-first.calls) / seconds
	c.CoreShare = (last.cpu - first.cpu).Seconds() / seconds / nodes
	c.HeapBytes = (heapBytes() - before) / nodes
	return c, f.measurePublish(ctx, c)
}

// sampleResources adds up what this process and all nodes of the fleet have used so
// far.
func (f *Fleet) sampleResources() resourceSample {
	r := resourceSample{at: time.Now(), cpu: cpuTime(), peers: make(map[string]int64), platform: make(map[string]int64)}
	for _, n := range f.allNodes() {
		r.peers[n.Role] += n.listenerBytes.Load()
		r.platform[n.Role] += n.link.bytes.Load()
		r.calls += n.link.calls.Load()
	}
	return r
}

// measurePublish measures how long accepted rules take to be in force at every entry
// and sidecar. It counts publishTimeout for rules that take longer.
func (f *Fleet) measurePublish(ctx context.Context, c *FleetCost) error {
	var times []float64
	for i := range publishCount {
		text := fmt.Sprintf("%s\n# publish %d\n", f.Deployment.Rules, i)
		offset, err := f.Publish(ctx, text)
		if err != nil {
			return err
		}
		start := time.Now()
		for !f.allHaveRules(offset) {
			if time.Since(start) > publishTimeout {
				break
			}
			time.Sleep(time.Millisecond)
		}
		times = append(times, float64(time.Since(start))/float64(time.Millisecond))
	}
	c.InForceMedian, c.InForceMax = medianAndMax(times)
	return nil
}

// allHaveRules reports whether every node has the rules of an offset or newer ones.
func (f *Fleet) allHaveRules(rules id.Offset) bool {
	for _, n := range f.allNodes() {
		if n.State.Rules().Offset < rules {
			return false
		}
	}
	return true
}

// heapBytes returns the heap bytes in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Save writes the measurements into a folder, which it creates if needed.
func (s *ScalingReport) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, scalingFile), append(data, '\n'), 0o644)
}
