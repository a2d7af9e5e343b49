package bench

// This file defines Remote, the addresses of a fleet that runs as processes, and
// what the bench asks of its stand-ins.

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
	askTimeout   = 10 * time.Second
	waitPoll     = 50 * time.Millisecond
	loopbackAny  = "127.0.0.1:0"
	fieldsPerKey = 2
)

// Remote is a fleet of processes.
type Remote struct {
	Entries  []string // addresses
	Engines  []string // URLs of stand-in engines; empty: no figures of engines
	Services []string // URLs of stand-in services
	Platform string   // URL of the stand-in platform; empty: no figures of usage

	UsageWait time.Duration // for the last usage reports
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
			return nil, eris.Errorf("%s:%d: expected a workspace and a key", path, i+1)
		}
		keys[id.Workspace(fields[0])] = fields[1]
	}
	return keys, nil
}

// Wait waits until every address is ready.
func Wait(ctx context.Context, addresses []string) error {
	client := process.NewExternalClient()
	for _, a := range addresses {
		for !ready(ctx, client, a) {
			select {
			case <-ctx.Done():
				return eris.Errorf("%s did not become ready", a)
			case <-time.After(waitPoll):
			}
		}
	}
	return nil
}

func ready(ctx context.Context, client *http.Client, address string) bool {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	rs, err := client.Do(rq)
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
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

// ask reads a JSON document of a stand-in.
func ask[T any](ctx context.Context, url string) (T, error) {
	var out T
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return out, err
	}
	rs, err := process.NewExternalClient().Do(rq)
	if err != nil {
		return out, err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return out, eris.Errorf("%s answered %d", url, rs.StatusCode)
	}
	return out, json.NewDecoder(rs.Body).Decode(&out)
}

// Judge adds to a report what the stand-ins of a fleet of processes saw.
func (m *Remote) Judge(ctx context.Context, r *Report, results []*Result, length time.Duration) error {
	var runs []standin.Run
	falls := int64(0)
	for _, url := range m.Engines {
		list, err := ask[[]standin.Run](ctx, url+"/admin/runs")
		if err != nil {
			return err
		}
		stats, err := ask[standin.EngineStats](ctx, url+"/admin/stats")
		if err != nil {
			return err
		}
		runs = append(runs, list...)
		falls += stats.Falls
	}
	bookings := make(map[string]int)
	for _, url := range m.Services {
		list, err := ask[map[string]int](ctx, url+"/admin/runs")
		if err != nil {
			return err
		}
		for ref, n := range list {
			bookings[ref] += n
		}
	}
	if len(m.Engines) > 0 {
		r.Engines = AccountEngines(results, runs, bookings)
		r.Engines.Falls = falls
		r.Engines.UpstreamSeconds = float64(len(m.Engines)) * length.Seconds()
	}
	if m.Platform != "" {
		wait, cancel := context.WithTimeout(ctx, m.UsageWait)
		defer cancel()
		AwaitUsage(wait, func() []standin.ReportSeen {
			seen, _ := ask[[]standin.ReportSeen](ctx, m.Platform+"/admin/reports")
			return seen
		}, results)
		seen, err := ask[[]standin.ReportSeen](ctx, m.Platform+"/admin/reports")
		if err != nil {
			return err
		}
		r.Usage = AccountUsage(seen, results)
	}
	return nil
}

// Run puts a plan on a fleet of processes and reports on it.
func (m *Remote) Run(ctx context.Context, p *Plan, keys Keys, l *Load) (*Report, error) {
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
	r := Account(p.Deployment, set, results, start.Add(p.Warmup), p.Length)
	r.Seed, r.Version = p.Seed, process.Version()
	if len(results) < len(arrivals) {
		r.Notes = append(r.Notes, fmt.Sprintf("stopped: %d of %d calls sent", len(results), len(arrivals)))
	}
	return r, m.Judge(ctx, r, results, time.Since(start))
}
