package main

// This file defines run, which stands for a test where the helpers of package
// ragworttest want one: a seed is played outside of tests as well.

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
)

// run implements the part of testing.TB that the helpers use.
type run struct {
	testing.TB

	mu       sync.Mutex
	cleanups []func()
	failed   []string
}

var _ testing.TB = (*run)(nil)

func newRun() *run { return new(run) }

// Helper implements testing.TB.
func (*run) Helper() {}

// Name implements testing.TB.
func (*run) Name() string { return "soak" }

// Logf implements testing.TB. What processes write is kept with the report instead.
func (*run) Logf(string, ...any) {}

// Errorf implements testing.TB.
func (r *run) Errorf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = append(r.failed, "soak: "+strings.Join(strings.Fields(fmt.Sprintf(format, args...)), " "))
}

// FailNow implements testing.TB.
func (*run) FailNow() { runtime.Goexit() }

// Failed implements testing.TB.
func (r *run) Failed() bool { return len(r.faults()) > 0 }

// Cleanup implements testing.TB.
func (r *run) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

// TempDir implements testing.TB.
func (r *run) TempDir() string {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		r.Errorf("%v", err)
		r.FailNow()
	}
	r.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			r.Errorf("%v", err)
		}
	})
	return dir
}

// faults returns what the helpers complained about.
func (r *run) faults() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.failed...)
}

// finish undoes everything, the newest first.
func (r *run) finish() {
	r.mu.Lock()
	cleanups := r.cleanups
	r.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
}
