//go:build review

// Package rig holds what the scripts of the review share: relay processes of the deploy file, a store
// and model replicas as stand-ins, and the record of a run. Everything is on loopback addresses.
package rig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ragwortpass/ragwortpass/standin"
)

// Record is the record of a run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// Listen returns a listener on a free loopback port.
func Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// freeAddress returns a loopback address that was free a moment ago, with a port that the system gives
// to no other socket by itself.
func freeAddress() (address string, err error) {
	for range 100 {
		address = fmt.Sprint("127.0.0.1:", 12000+rand.IntN(18000))
		l, listenErr := net.Listen("tcp", address)
		if err = listenErr; err == nil {
			return address, l.Close()
		}
	}
	return "", err
}

// plainWriter removes the era from responses of the stand-in store, which the pages in force do
// not name.
type plainWriter struct{ http.ResponseWriter }

func (w plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w plainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// StartStore serves a store, which also takes usage reports, and returns its address.
func StartStore(s *standin.Store) (string, error) {
	l, err := Listen()
	if err != nil {
		return "", err
	}
	h := s.Handler()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(plainWriter{w}, r) }))
	}()
	return l.Addr().String(), nil
}

// Relay is one relay process, which may be killed and started again.
type Relay struct {
	Name, Callers, Ready, Peers string
	settings, program           string
	log                         *os.File
	cmd                         *exec.Cmd
	done                        chan struct{}
}

// NewRelays writes the settings of n relays, like those of the small deployments.
func NewRelays(dir, program, store string, n int) ([]*Relay, error) {
	var relays []*Relay
	var seeds []string
	for i := range n {
		r := &Relay{Name: fmt.Sprint("edge-", i+1), program: program, settings: filepath.Join(dir, fmt.Sprintf("edge-%d.json", i+1))}
		for _, a := range []*string{&r.Callers, &r.Ready, &r.Peers} {
			address, err := freeAddress()
			if err != nil {
				return nil, err
			}
			*a = address
		}
		if len(seeds) < 3 {
			seeds = append(seeds, r.Peers)
		}
		relays = append(relays, r)
	}
	for i, r := range relays {
		text, err := json.Marshal(map[string]any{
			"node": r.Name, "data_centre": "zone-a", "listen": map[string]string{"callers": r.Callers, "ready": r.Ready, "peers": r.Peers},
			"seeds": seeds, "store_address": store, "duty_address": store, "duties": []string{"usage"}, "memory_mb": 284,
			"bounds": map[string]float64{"config_ms": 2000, "retry_ratio": .2, "retry_slack": 58, "retry_window_s": 10, "grace_s": 8, "lease_ms": 3000, "window_s": 5, "usage_late_s": 10},
		})
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(r.settings, text, 0o600); err != nil {
			return nil, err
		}
		if r.log, err = os.Create(filepath.Join(dir, fmt.Sprintf("edge-%d.log", i+1))); err != nil {
			return nil, err
		}
	}
	return relays, nil
}

// started are the processes that were started.
var started struct {
	mu  sync.Mutex
	all []*os.Process
}

// EndAll kills every process that was started, and starts no more. It is for a script that cannot go on.
func EndAll() {
	started.mu.Lock() // stays locked
	for _, p := range started.all {
		_ = p.Kill() // fails if the process has ended
	}
}

// Start starts the process by the command of the deploy file.
func (r *Relay) Start() error {
	r.cmd = exec.Command(r.program, "relay")
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RAGWORTPASS_CONFIG=" + r.settings}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	started.mu.Lock()
	err := r.cmd.Start()
	if err == nil {
		started.all = append(started.all, r.cmd.Process)
	}
	started.mu.Unlock()
	if err != nil {
		return err
	}
	done := make(chan struct{})
	r.done = done
	cmd := r.cmd
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// Kill sends SIGKILL and waits until the process has ended.
func (r *Relay) Kill() {
	if r.cmd == nil {
		return
	}
	_ = r.cmd.Process.Signal(syscall.SIGKILL)
	<-r.done
}

// IsReady asks the process as the platform does.
func (r *Relay) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + r.Ready + "/api/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until all relays are ready, for ten seconds at most.
func WaitReady(relays []*Relay) bool {
	for range 200 {
		ready := 0
		for _, r := range relays {
			if r.IsReady() {
				ready++
			}
		}
		if ready == len(relays) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
