package bench

// This file defines Emulation, which plays a site in simulated time with many seeds, and
// EmulationReport, the summary of it.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/ragwortpass/ragwortpass/emulator"
)

// Emulation describes plays of a site.
type Emulation struct {
	Site     *emulator.Site
	Seeds    int // played, from 1 on
	Parallel int // most plays at once
	Factor   float64
	Version  string
}

// EmulationReport sums the plays of a site.
type EmulationReport struct {
	Site         string           `json:"site"`
	Factor       float64          `json:"factor"` // on the site's load
	Seeds        int              `json:"seeds"`
	Version      string           `json:"version"`
	Seconds      float64          `json:"seconds"` // of load that each play counts
	Worth        float64          `json:"worth"`   // share of the most
	Kinds        []EmulatedKind   `json:"kinds"`
	EnginesBusy  float64          `json:"engines_busy"`  // share of the time
	SlotsUsed    float64          `json:"slots_used"`    // mean share
	WastedTime   float64          `json:"wasted_time"`   // share of the engines' time for answers that nobody got
	CachedPrompt float64          `json:"cached_prompt"` // share of prompt tokens that were not read again
	ReadTokens   float64          `json:"read_tokens"`   // of prompts, mean of the plays
	Preemptions  int              `json:"preemptions"`
	Series       []EmulatedSecond `json:"series"`
	Runs         []EmulatedRun    `json:"runs"`

	waits []*hdrhistogram.Histogram // by kind, in microseconds
}

// EmulatedKind holds the figures of a kind of request.
type EmulatedKind struct {
	Name           string    `json:"kind"`
	Calls          int       `json:"calls"`
	InTime         float64   `json:"in_time"` // share of the calls, as the next three
	Late           float64   `json:"late"`
	Refused        float64   `json:"refused"`
	Failed         float64   `json:"failed"`
	Returned       int       `json:"returned"`        // calls that came back when they were told to
	ReturnedServed int       `json:"returned_served"` // those of them that got a whole answer
	Wait           Quantiles `json:"wait"`            // until the first event of whole answers
}

// EmulatedSecond holds the means over all plays of what happened in one second.
type EmulatedSecond struct {
	Second  int     `json:"second"`
	InTime  float64 `json:"in_time"` // calls that were sent then, as the next three
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	Busy    float64 `json:"busy"`    // share of the engines' time
	Running float64 `json:"running"` // requests at engines for each slot
}

// EmulatedRun holds the figures of one play.
type EmulatedRun struct {
	Seed       uint64        `json:"seed"`
	Worth      float64       `json:"worth"`
	WastedTime float64       `json:"wasted_time"`
	Elapsed    time.Duration `json:"elapsed_ns"`
}

// Run plays the site with each seed and sums what came of it.
func (e *Emulation) Run(ctx context.Context) (*EmulationReport, error) {
	site := *e.Site
	site.Kinds = append([]emulator.Kind(nil), e.Site.Kinds...)
	for i := range site.Kinds {
		site.Kinds[i].PerSecond *= e.Factor
	}
	results := make([]*emulator.DayResult, e.Seeds)
	runs := make([]EmulatedRun, e.Seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(e.Parallel)
	for n := range e.Seeds {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			start := time.Now()
			r := emulator.Play(&site, uint64(n+1))
			results[n] = r
			runs[n] = EmulatedRun{Seed: r.Seed, Worth: r.Worth(), WastedTime: r.Wasted(), Elapsed: time.Since(start)}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	report := &EmulationReport{Site: site.Name, Factor: e.Factor, Seeds: e.Seeds, Version: e.Version, Seconds: site.Length.Seconds(), Runs: runs}
	report.sum(results)
	return report, nil
}

// sum computes the figures of all plays.
func (r *EmulationReport) sum(results []*emulator.DayResult) {
	kinds := make([]emulator.KindResult, len(results[0].Kinds))
	r.Series = make([]EmulatedSecond, len(results[0].Seconds))
	engineTime, wasted, read, hit, share := 0.0, 0.0, 0.0, 0.0, 1/float64(len(results))
	for _, result := range results {
		for i := range result.Kinds {
			mergeKind(&kinds[i], &result.Kinds[i])
		}
		for n := range result.Seconds {
			r.Series[n].add(n, &result.Seconds[n], share)
		}
		r.EnginesBusy += share * result.Busy
		r.SlotsUsed += share * result.SlotsUsed
		r.Preemptions += result.Engines.Preemptions
		engineTime += result.EngineTime.Seconds()
		wasted += result.WastedTime.Seconds()
		read += float64(result.Engines.ReadTokens)
		hit += float64(result.Engines.HitTokens)
	}
	r.WastedTime, r.CachedPrompt = ratio(wasted, engineTime), ratio(hit, hit+read)
	r.ReadTokens = share * read
	worth, most := 0.0, 0.0
	for i := range kinds {
		k := &kinds[i]
		worth += k.Worth
		most += k.MostWorth
		r.waits = append(r.waits, k.Waits)
		r.Kinds = append(r.Kinds, EmulatedKind{
			Name: k.Name, Calls: k.Calls, InTime: k.Share(emulator.InTime), Late: k.Share(emulator.Late), Refused: k.Share(emulator.Refused),
			Failed: k.Share(emulator.Failed), Returned: k.Returned, ReturnedServed: k.ReturnedServed, Wait: quantiles(k.Waits),
		})
	}
	r.Worth = ratio(worth, most)
}

// mergeKind adds the figures of a play.
func mergeKind(sum, k *emulator.KindResult) {
	if sum.Waits == nil {
		sum.Name, sum.Waits = k.Name, hdrhistogram.New(k.Waits.LowestTrackableValue(), k.Waits.HighestTrackableValue(), int(k.Waits.SignificantFigures()))
	}
	sum.Calls += k.Calls
	for o := range k.Outcomes {
		sum.Outcomes[o] += k.Outcomes[o]
	}
	sum.Refusals += k.Refusals
	sum.Returned += k.Returned
	sum.ReturnedServed += k.ReturnedServed
	sum.Worth += k.Worth
	sum.MostWorth += k.MostWorth
	sum.Waits.Merge(k.Waits)
}

// add adds a second of one play, with its share in the mean.
func (s *EmulatedSecond) add(n int, o *emulator.Second, share float64) {
	s.Second = n
	s.InTime += share * float64(o.Outcomes[emulator.InTime])
	s.Late += share * float64(o.Outcomes[emulator.Late])
	s.Refused += share * float64(o.Outcomes[emulator.Refused])
	s.Failed += share * float64(o.Outcomes[emulator.Failed])
	s.Busy += share * o.Busy
	s.Running += share * o.Running
}

// ratio returns a/b, or zero if b is.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// WriteTable prints the figures.
func (r *EmulationReport) WriteTable(out io.Writer) error {
	_, _ = fmt.Fprintf(out, "site %s, load %.2f, %d seeds of %.0f s: worth %.3f\n", r.Site, r.Factor, r.Seeds, r.Seconds, r.Worth)
	_, _ = fmt.Fprintf(out, "engines: busy %.3f, slots used %.3f, time for answers that nobody got %.3f, prompt tokens from caches %.3f, read %.3g a seed, preemptions %d\n",
		r.EnginesBusy, r.SlotsUsed, r.WastedTime, r.CachedPrompt, r.ReadTokens, r.Preemptions)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "kind\tcalls\tin time\tlate\trefused\tfailed\twait p50 ms\tp95\tp99\treturned\tserved then\t")
	for i := range r.Kinds {
		k := &r.Kinds[i]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%d\t%.3f\t\n", k.Name, k.Calls, k.InTime, k.Late, k.Refused, k.Failed,
			k.Wait.P50, k.Wait.P95, k.Wait.P99, k.Returned, ratio(float64(k.ReturnedServed), float64(k.Returned)))
	}
	return w.Flush()
}

// Save writes report.json, report.txt and the plots into a folder.
func (r *EmulationReport) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), encoded, 0o600); err != nil {
		return err
	}
	text, err := os.Create(filepath.Join(dir, "report.txt"))
	if err != nil {
		return err
	}
	if err := r.WriteTable(text); err != nil {
		_ = text.Close()
		return err
	}
	if err := text.Close(); err != nil {
		return err
	}
	return r.plot(dir)
}
