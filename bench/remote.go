package bench

// This file defines RemoteFleet, a fleet that runs as separate processes, and
// fetches the records of its stand-ins.

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/standin"
)

const (
	fetchTimeout      = 10 * time.Second
	readyPollInterval = 50 * time.Millisecond
	loopbackAny       = "127.0.0.1:0"
	fieldsPerKey      = 2
)

// RemoteFleet holds the addresses of a fleet that runs as separate processes.
type RemoteFleet struct {
	Entries  []string // listen addresses
	Engines  []string // URLs of stand-in engines; empty: no engine totals
	Services []string // URLs of stand-in services
	Platform string   // URL of the stand-in platform; empty: no usage totals

	UsageWait time.Duration // longest wait for the last usage reports
}

// ReadKeys reads a file with a workspace and its key on each line.
func ReadKeys(path string) (Keys, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	keys := make(Keys)
	for i, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		fields := strings.Fields(line)
		if len(fields) != fieldsPerKey {
			return nil, eris.Errorf("%s:%d: expected a workspace and a key, got %d fields", path, i+1, len(fields))
		}
		keys[id.Workspace(fields[0])] = fields[1]
	}
	return keys, nil
}

// WaitReady waits until the process at every address is ready.
func WaitReady(ctx context.Context, addresses []string) error {
	client := process.NewExternalClient()
	for _, a := range addresses {
		for !isReady(ctx, client, a) {
			select {
			case <-ctx.Done():
				return eris.Errorf("%s did not become ready in time", a)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// isReady reports whether the process at an address reports on /readyz that it is ready.
func isReady(ctx context.Context, client *http.Client, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// FreeAddresses returns loopback addresses that nothing listens on.
func FreeAddresses(n int) ([]string, error) {
	list := make([]string, n)
	for i := range list {
		l, err := net.Listen("tcp", loopbackAny)
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list[i] = l.Addr().String()
	}
	return list, nil
}

// fetchJSON fetches a JSON document from a stand-in.
func fetchJSON[T any](ctx context.Context, url string) (T, error) {
	var out T
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return out, err
	}
	resp, err := process.NewExternalClient().Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, eris.Errorf("GET %s: status %d", url, resp.StatusCode)
	}
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// CollectStats adds the totals from the stand-ins' records to a report. Duration is
// the length of the load, warm-up included.
func (m *RemoteFleet) CollectStats(ctx context.Context, r *Report, results []*Result, duration time.Duration) error {
	var runs []standin.Run
	crashes := int64(0)
	for _, url := range m.Engines {
		list, err := fetchJSON[[]standin.Run](ctx, url+"/admin/runs")
		if err != nil {
			return err
		}
		stats, err := fetchJSON[standin.EngineStats](ctx, url+"/admin/stats")
		if err != nil {
			return err
		}
		runs = append(runs, list...)
		crashes += stats.Crashes
	}
	bookings := make(map[string]int)
	for _, url := range m.Services {
		list, err := fetchJSON[map[string]int](ctx, url+"/admin/runs")
		if err != nil {
			return err
		}
		for ref, n := range list {
			bookings[ref] += n
		}
	}
	if len(m.Engines) > 0 {
		r.Engines = NewEngineTotals(results, runs, bookings)
		r.Engines.Crashes = crashes
		r.Engines.UpstreamSeconds = float64(len(m.Engines)) * duration.Seconds()
	}
	if m.Platform != "" {
		wait, cancel := context.WithTimeout(ctx, m.UsageWait)
		defer cancel()
		WaitForUsage(wait, func() []standin.ReceivedReport {
			reports, _ := fetchJSON[[]standin.ReceivedReport](ctx, m.Platform+"/admin/reports")
			return reports
		}, results)
		reports, err := fetchJSON[[]standin.ReceivedReport](ctx, m.Platform+"/admin/reports")
		if err != nil {
			return err
		}
		r.Usage = NewUsageTotals(reports, results)
	}
	return nil
}

// Run sends the load of a plan to the fleet and returns the report.
func (m *RemoteFleet) Run(ctx context.Context, p *Plan, keys Keys, l *LoadGenerator) (*Report, error) {
	set, err := p.Deployment.RuleSet()
	if err != nil {
		return nil, err
	}
	for ws := range set.Workspaces {
		if keys[ws] == "" {
			return nil, eris.Errorf("no key for workspace %q", ws)
		}
	}
	l.Keys, l.Model = keys, p.Deployment.Model
	l.Balancer = NewBalancer(m.Entries)
	arrivals := p.Arrivals(set)
	start := time.Now()
	results := l.Run(ctx, arrivals)
	r := NewReport(p.Deployment, set, results, start.Add(p.Warmup), p.Duration)
	r.Seed, r.Version = p.Seed, process.Version()
	if len(results) < len(arrivals) {
		r.Notes = append(r.Notes, fmt.Sprintf("stopped: %d of %d calls sent", len(results), len(arrivals)))
	}
	return r, m.CollectStats(ctx, r, results, time.Since(start))
}
