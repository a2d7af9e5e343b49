package main

// This file defines seedTB, which stands in for a testing.TB: the helpers of package
// ragworttest need one, and seeds are also run outside of tests.

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
)

// seedTB implements the methods of testing.TB that the helpers use.
type seedTB struct {
	testing.TB

	mu       sync.Mutex
	cleanups []func()
	errors   []string
}

var _ testing.TB = (*seedTB)(nil)

func newSeedTB() *seedTB { return new(seedTB) }

// Helper implements testing.TB.
func (*seedTB) Helper() {}

// Name implements testing.TB.
func (*seedTB) Name() string { return "soak" }

// Logf implements testing.TB. It discards: the logs of processes are saved with the report.
func (*seedTB) Logf(string, ...any) {}

// Errorf implements testing.TB.
func (r *seedTB) Errorf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, "soak: "+strings.Join(strings.Fields(fmt.Sprintf(format, args...)), " "))
}

// FailNow implements testing.TB.
func (*seedTB) FailNow() { runtime.Goexit() }

// Failed implements testing.TB.
func (r *seedTB) Failed() bool { return len(r.reported()) > 0 }

// Cleanup implements testing.TB.
func (r *seedTB) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

// TempDir implements testing.TB.
func (r *seedTB) TempDir() string {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		r.Errorf("create a temporary folder: %v", err)
		r.FailNow()
	}
	r.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			r.Errorf("remove the temporary folder %s: %v", dir, err)
		}
	})
	return dir
}

// reported returns the errors that the helpers reported.
func (r *seedTB) reported() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.errors...)
}

// runCleanups calls the cleanup functions, last added first.
func (r *seedTB) runCleanups() {
	r.mu.Lock()
	cleanups := r.cleanups
	r.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
}
