// Command soak runs real entry processes on one host, injects faults drawn from a seed, and
// checks the guarantees against what callers, upstreams and the stand-in platform recorded.
//
//	go run ./soak -seeds 50
//
// It prints a line for each seed, and a summary. Its exit code is 1 if a guarantee was
// violated; the report and the last log lines of such a seed are kept in a folder.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// config holds the options for running a seed.
type config struct {
	entries         int // zero: drawn from the seed
	callersPerEntry int
	faultDuration   time.Duration // length of the period in which faults are injected
	failedDir       string        // folder for reports and logs of failed seeds; empty: not kept
	lifeFaults      bool          // faults of lifeFaultNames are drawn as well
}

const (
	// minEntries and maxEntries bound how many entries a seed draws.
	minEntries, maxEntries = 3, 6
	// defaultFaultDuration is long enough for about twenty faults.
	defaultFaultDuration = 14 * time.Second
	// tailDuration is how long callers go on after the recovery time, so that usage windows
	// within it are reported before the run ends.
	tailDuration = 4 * time.Second
	// injectsLifeFaults is whether the faults of lifeFaultNames are drawn unless a flag says otherwise.
	injectsLifeFaults = true
	// startTimeout bounds how long the entries take until all are ready.
	startTimeout = 20 * time.Second
)

// seedResult is the result of running one seed.
type seedResult struct {
	seed       uint64
	entries    int
	checked    map[string]int // number of cases by checker
	violations []string
	summary    string
}

// runSeed runs the faults of one seed and checks the recorded history.
func runSeed(seed uint64, c config) (res seedResult) {
	rng := rand.New(rand.NewPCG(seed, seed))
	res.seed, res.entries = seed, c.entries
	if res.entries == 0 {
		res.entries = minEntries + rng.IntN(maxEntries-minEntries+1)
	}
	t := newSeedTB()
	defer t.runCleanups()
	done := make(chan struct{})
	go func() { // seedTB.FailNow ends this goroutine only
		defer close(done)
		tb := newTestbed(t, rng, res.entries)
		faults := tb.drawFaults(c.faultDuration)
		if c.lifeFaults {
			faults = append(faults, tb.drawLifeFaults(c.faultDuration)...)
		}
		faults = append(faults, tb.drawSilences(c.faultDuration)...)
		faults = append(faults, tb.drawRollout(c.faultDuration)...)
		faults = append(faults, tb.drawGarbledHeads(c.faultDuration)...)
		if tb.runLoad(res.entries*c.callersPerEntry, faults) {
			checks := tb.runCheckers()
			res.violations = listViolations(checks)
			res.checked = make(map[string]int, len(checks))
			for name, v := range checks {
				res.checked[name] = v.checked
			}
		} else {
			res.violations = []string{fmt.Sprintf("start: not every entry became ready within %v", startTimeout)}
		}
		res.summary = tb.summary(faults)
		if len(res.violations) > 0 && c.failedDir != "" {
			tb.saveFailure(filepath.Join(c.failedDir, fmt.Sprint("seed-", seed)), faults, res.violations)
		}
	}()
	<-done
	res.violations = append(res.violations, t.reported()...)
	return res
}

// runLoad runs callers while the faults are injected and during the recovery after them. It
// reports false if not every entry became ready at the start.
func (tb *testbed) runLoad(callers int, faults []scheduledFault) bool {
	defer tb.stop()
	for _, n := range tb.nodes {
		tb.tasks.Go(func() { tb.probeReadiness(n) })
	}
	for ready := false; !ready; {
		if tb.now() > startTimeout || !tb.sleep(pollInterval) {
			return false
		}
		ready = true
		for _, n := range tb.nodes {
			n.mu.Lock()
			ready = ready && n.inRotation
			n.mu.Unlock()
		}
	}
	var callerTasks, faultTasks sync.WaitGroup
	for i := range callers {
		callerTasks.Go(func() { tb.runCaller(i) })
	}
	loadStart := tb.now()
	for _, f := range faults {
		faultTasks.Go(func() {
			if tb.sleep(loadStart + f.start - tb.now()) {
				tb.inject(f)
			}
		})
	}
	faultTasks.Wait()
	tb.faultsEnded = tb.now()
	tb.tasks.Go(func() {
		if tb.sleep(tb.bounds.contact) { // entries that are undisturbed have to obey
			tb.forgetConnections(scheduledFault{variant: 1 << 16})
		}
	})
	tb.sleep(tb.bounds.recovery + tailDuration)
	close(tb.stopCallers)
	callerTasks.Wait() // before stop ends the processes
	tb.rollouts.Wait()
	return true
}

// summary returns the numbers of faults, requests, arrivals and usage reports, and the roll-outs.
func (tb *testbed) summary(faults []scheduledFault) string {
	served, refused, abandoned := 0, 0, 0
	for _, r := range tb.results {
		switch {
		case r.served():
			served++
		case r.refused():
			refused++
		case r.abandoned:
			abandoned++
		}
	}
	return fmt.Sprintf("%d faults; %d requests, %d served, %d refused, %d abandoned; %d arrivals, %d usage reports%s",
		len(faults), len(tb.results), served, refused, abandoned, len(tb.arrivals), len(tb.reports), tb.rolloutSummary())
}

// saveFailure writes the report and the logs of a failed seed into a folder.
func (tb *testbed) saveFailure(dir string, faults []scheduledFault, violations []string) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		tb.t.Errorf("create folder %s: %v", dir, err)
		return
	}
	var text strings.Builder
	for _, line := range violations {
		fmt.Fprintln(&text, line)
	}
	fmt.Fprintln(&text, "\nfaults:")
	for _, f := range faults {
		fmt.Fprintln(&text, f)
	}
	fmt.Fprintln(&text, "\ndisturbances:")
	for _, d := range tb.disturbances {
		fmt.Fprintf(&text, "%v to %v %s %s\n", d.from, d.until, d.cause, d.node)
	}
	for _, n := range tb.nodes {
		if err := os.WriteFile(filepath.Join(dir, string(n.name)+".log"), []byte(n.earlierLogs), 0o644); err != nil {
			tb.t.Errorf("save the log of %s: %v", n.name, err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "report.txt"), []byte(text.String()), 0o644); err != nil {
		tb.t.Errorf("save the report: %v", err)
	}
}

func main() {
	seeds := flag.Int("seeds", 1, "number of seeds to run") // a single dash, unlike in the other programs
	from := flag.Uint64("from", 1, "the first seed")
	parallel := flag.Int("parallel", 2, "number of seeds that run at once")
	entries := flag.Int("entries", 0, "entry processes for each seed; 0: 3 to 6, drawn from the seed")
	callers := flag.Int("callers", 4, "callers for each entry")
	faultDuration := flag.Duration("faults", defaultFaultDuration, "length of the period in which faults are injected")
	failedDir := flag.String("keep", "soak-failed", "folder for the reports and logs of failed seeds")
	lifeFaults := flag.Bool("life", injectsLifeFaults, "inject faults in the life of a process as well: at its start, of its output and signals, many callers")
	flag.Parse()
	c := config{entries: *entries, callersPerEntry: *callers, faultDuration: *faultDuration, failedDir: *failedDir, lifeFaults: *lifeFaults}
	var mu sync.Mutex
	var failed []uint64
	checked := make(map[string]int)
	var tasks sync.WaitGroup
	slots := make(chan struct{}, max(1, *parallel))
	for i := range *seeds {
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			res := runSeed(*from+uint64(i), c)
			mu.Lock()
			defer mu.Unlock()
			fmt.Printf("seed %d, %d entries: %s; %d violations\n", res.seed, res.entries, res.summary, len(res.violations))
			for _, line := range res.violations[:min(len(res.violations), 10)] {
				fmt.Println("   ", line)
			}
			if len(res.violations) > 0 {
				failed = append(failed, res.seed)
			}
			for name, n := range res.checked {
				checked[name] += n
			}
		})
	}
	tasks.Wait()
	for _, c := range checkers {
		fmt.Printf("%-26s checked %d times\n", c.name, checked[c.name])
	}
	fmt.Printf("%d seeds, %d with violations %v\n", *seeds, len(failed), failed)
	if len(failed) > 0 {
		os.Exit(1)
	}
}
