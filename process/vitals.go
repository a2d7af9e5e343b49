package process

// This file defines what a process knows of itself: its age, memory, descriptors and goroutines.
// The kernel's figures come from /proc/self and are left out where that cannot be read.

import (
	"bytes"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/clock"
)

// clockTicksPerSecond is the unit of the times in /proc, USER_HZ, on every architecture that Go supports.
const clockTicksPerSecond = 100

// maxStartDelay is the longest credible time from exec to the initialisation of this package.
const maxStartDelay = 10 * time.Minute

// initialised is when this package was initialised, and startDelay how long after exec that was.
var (
	initialised           = time.Now()
	startDelay, knowsExec = sinceExec()
)

// Uptime returns the time since exec, or since this package was initialised if the time of exec is
// not known.
func Uptime() time.Duration { return startDelay + time.Since(initialised) }

// LogStart logs the start of a program. The fields are what the program knows besides.
func LogStart(logger log.Logger, fields ...any) {
	var afterExec any = "unknown"
	if knowsExec {
		afterExec = Uptime().Round(time.Millisecond)
	}
	_ = log.With(logger, "event", "start", "version", Version(), "pid", os.Getpid(), "after_exec", afterExec).Log(fields...)
}

// heapFraction is the part of the memory of a process that is set as the soft limit of the garbage collector.
const heapFraction = 0.7

// LimitHeap sets the soft limit of the garbage collector for a process with the given memory in megabytes; zero: not known.
func LimitHeap(processMB float64) {
	if processMB > 0 {
		debug.SetMemoryLimit(int64(processMB * heapFraction * (1 << 20)))
	}
}

// RegisterVitals adds the gauges of this process, and the counter of its lost log lines, to a registry.
func RegisterVitals(r metrics.Registry) {
	always := func(read func() int64) func() (int64, bool) {
		return func() (int64, bool) { return read(), true }
	}
	add := func(name string, read func() (int64, bool)) {
		if _, ok := read(); !ok {
			return
		}
		r.GetOrRegister(name, metrics.NewFunctionalGauge(func() int64 {
			n, _ := read()
			return n
		}))
	}
	add("process_uptime_ms", always(func() int64 { return Uptime().Milliseconds() }))
	add("process_goroutines", always(func() int64 { return int64(runtime.NumGoroutine()) }))
	add("process_resident_bytes", residentMemory)
	add("process_peak_resident_bytes", peakMemory)
	add("process_open_descriptors", openDescriptors)
	r.GetOrRegister("log_lines_lost", lostLines)
}

// sinceExec returns the time since exec, which the kernel keeps in clock ticks since boot.
func sinceExec() (time.Duration, bool) {
	stat, err := os.ReadFile("/proc/self/stat")
	if err != nil {
		return 0, false
	}
	// The second field is the name of the program in parentheses, and may contain spaces.
	const startTimeField = 22 - 3 // the fields after the name begin with the third
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= startTimeField {
		return 0, false
	}
	ticks, err := strconv.ParseInt(string(fields[startTimeField]), 10, 64)
	if err != nil {
		return 0, false
	}
	d := clock.BootTime() - time.Duration(ticks)*time.Second/clockTicksPerSecond
	if d < -time.Second/clockTicksPerSecond || d > maxStartDelay {
		return 0, false
	}
	return max(0, d), true
}

// residentMemory and peakMemory return the bytes that the process has, and has had at most, in memory.
func residentMemory() (int64, bool) { return statusBytes("VmRSS:") }
func peakMemory() (int64, bool)     { return statusBytes("VmHWM:") }

// statusBytes returns a figure of /proc/self/status that is in kilobytes.
func statusBytes(field string) (int64, bool) {
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, false
	}
	_, rest, ok := bytes.Cut(status, []byte("\n"+field))
	if !ok {
		return 0, false
	}
	words := bytes.Fields(rest)
	if len(words) == 0 {
		return 0, false
	}
	kilobytes, err := strconv.ParseInt(string(words[0]), 10, 64)
	return kilobytes << 10, err == nil
}

// openDescriptors returns the number of open descriptors.
func openDescriptors() (int64, bool) {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0, false
	}
	defer func() { _ = dir.Close() }() // nothing was written
	names, err := dir.Readdirnames(-1)
	return int64(len(names)) - 1, err == nil // without dir itself
}
