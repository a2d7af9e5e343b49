package gateway

// This file defines Settings, which a gateway reads from a file when it starts and
// again when a SIGHUP asks for a reload.

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/setting"
)

// Settings is the content of a gateway's settings file.
type Settings struct {
	Node       id.Node       `json:"node"`
	DataCentre id.DataCentre `json:"data_centre"`
	Listen     struct {
		Callers string `json:"callers"`
		Ready   string `json:"ready"`
		Peers   string `json:"peers"`
	} `json:"listen"`
	Seeds        []string `json:"seeds"` // addresses of other gateways; some may be out of date
	StoreAddress string   `json:"store_address"`
	DutyAddress  string   `json:"duty_address"` // receives usage reports; empty: usage is not reported
	Duties       []string `json:"duties"`       // names of the duties that the gateway may hold; see usageDuty
	Metrics      string   `json:"metrics"`      // address that serves metrics; empty: none
	MemoryMB     float64  `json:"memory_mb"`    // memory of the process; zero: no limit is set
	// MaxDescriptors is how many descriptors the process may have open; zero: not known.
	MaxDescriptors int    `json:"max_descriptors"`
	Bounds         Bounds `json:"bounds"`
}

// Bounds are the times and limits that the platform sets for gateways and their fleet.
type Bounds struct {
	ConfigMS     float64 `json:"config_ms"`      // until a published configuration is in force
	RetryRatio   float64 `json:"retry_ratio"`    // retries for each request
	RetrySlack   float64 `json:"retry_slack"`    // retries in a window beyond the ratio
	RetryWindowS float64 `json:"retry_window_s"` // in which requests and retries are counted
	GraceS       float64 `json:"grace_s"`        // from SIGTERM to SIGKILL
	LeaseMS      float64 `json:"lease_ms"`       // in which a duty must not go to another gateway and back
	WindowS      float64 `json:"window_s"`       // length of a usage window
	UsageLateS   float64 `json:"usage_late_s"`   // from the end of a window until its report is due
	// What a new version that may be bad gets of the requests of its service, and beyond that, and how long
	// after it is known to be bad it gets none; RollbackMS is zero: nobody orders roll-outs.
	ExposeShare float64 `json:"expose_share"`
	ExposeSlack float64 `json:"expose_slack"`
	RollbackMS  float64 `json:"rollback_ms"`
}

// ReadSettings reads and checks a settings file. Its error names every invalid setting.
func ReadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSettings(data)
}

// ParseSettings parses and checks the content of a settings file. It ignores unknown
// fields, as newer platforms may write more of them.
func ParseSettings(data []byte) (*Settings, error) {
	s := new(Settings)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var c setting.Checker
	c.Name("node", string(s.Node))
	c.Name("data_centre", string(s.DataCentre))
	c.Endpoint("listen.callers", s.Listen.Callers)
	c.Endpoint("listen.ready", s.Listen.Ready)
	c.Endpoint("store_address", s.StoreAddress)
	if s.Listen.Peers != "" {
		c.Endpoint("listen.peers", s.Listen.Peers)
	}
	if s.DutyAddress != "" {
		c.Endpoint("duty_address", s.DutyAddress)
	}
	if s.Metrics != "" {
		c.Endpoint("metrics", s.Metrics)
	}
	for _, seed := range s.Seeds {
		c.Endpoint("seeds", seed)
	}
	b := s.Bounds
	c.Require(s.MemoryMB >= 0 && s.MemoryMB <= memory.MaxProcessMB, "memory_mb", fmt.Sprint(s.MemoryMB), fmt.Sprintf("a number from 0 to %d", memory.MaxProcessMB))
	c.Require(s.MaxDescriptors == 0 || s.MaxDescriptors > process.OtherDescriptors, "max_descriptors", fmt.Sprint(s.MaxDescriptors), fmt.Sprintf("zero, or more than %d", process.OtherDescriptors))
	c.Require(isTime(durationMS(b.ConfigMS)), "bounds.config_ms", fmt.Sprint(b.ConfigMS), "milliseconds, from one to those of a year")
	c.Require(b.RetryRatio >= 0, "bounds.retry_ratio", fmt.Sprint(b.RetryRatio), "a number from zero")
	c.Require(b.RetrySlack >= 0, "bounds.retry_slack", fmt.Sprint(b.RetrySlack), "a number from zero")
	const seconds = "seconds, from a thousandth to those of a year"
	c.Require(isTime(durationS(b.RetryWindowS)), "bounds.retry_window_s", fmt.Sprint(b.RetryWindowS), seconds)
	c.Require(isTime(durationS(b.GraceS)), "bounds.grace_s", fmt.Sprint(b.GraceS), seconds)
	if s.DutyAddress != "" {
		c.Require(isTime(durationMS(b.LeaseMS)), "bounds.lease_ms", fmt.Sprint(b.LeaseMS), "milliseconds, from one to those of a year")
		c.Require(isTime(durationS(b.UsageLateS)), "bounds.usage_late_s", fmt.Sprint(b.UsageLateS), seconds)
	}
	if s.DutyAddress != "" || b.WindowS != 0 {
		c.Require(isTime(durationS(b.WindowS)), "bounds.window_s", fmt.Sprint(b.WindowS), seconds)
	}
	c.Require(b.ExposeShare >= 0 && b.ExposeShare <= 1, "bounds.expose_share", fmt.Sprint(b.ExposeShare), "a number from 0 to 1")
	c.Require(b.ExposeSlack >= 0 && b.ExposeSlack <= maxExposeSlack, "bounds.expose_slack", fmt.Sprint(b.ExposeSlack), fmt.Sprintf("a number from 0 to %d", maxExposeSlack))
	c.Require(b.RollbackMS == 0 || isTime(durationMS(b.RollbackMS)), "bounds.rollback_ms", fmt.Sprint(b.RollbackMS), "zero, or milliseconds, from one to those of a year")
	if err := c.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

const (
	// maxTime bounds the times of the settings.
	maxTime = 365 * 24 * time.Hour
	// maxExposeSlack bounds the requests that a new version gets beyond its share.
	maxExposeSlack = 1 << 20
)

// isTime reports whether a time of the settings is within bounds.
func isTime(d time.Duration) bool { return d >= time.Millisecond && d <= maxTime }

// durationMS converts milliseconds.
func durationMS(n float64) time.Duration { return duration(n * float64(time.Millisecond)) }

// durationS converts seconds.
func durationS(n float64) time.Duration { return duration(n * float64(time.Second)) }

// duration converts nanoseconds. Those beyond twice maxTime count as that, as the result of
// converting a number out of range depends on the processor.
func duration(n float64) time.Duration {
	return time.Duration(min(max(n, -2*float64(maxTime)), 2*float64(maxTime)))
}
