// Command soak runs the real entry processes on one host under faults that seeds draw,
// and checks the promises from what callers, upstreams and the stand-in platform saw.
//
//	go run ./soak -seeds 50
//
// It prints a line for each seed, and a summary. Its exit code is 1 if a promise was
// broken; the report and the last log lines of such a seed are kept in a folder.
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

// config says how a seed is run.
type config struct {
	entries int           // zero: a few, drawn
	callers int           // for each entry
	faults  time.Duration // how long there are faults
	keep    string        // folder for what failed seeds leave; empty: nothing is kept
}

const (
	// fewEntries and moreEntries bound how many entries a seed draws.
	fewEntries, moreEntries = 3, 6
	// defaultFaults is long enough for some twenty faults.
	defaultFaults = 14 * time.Second
	// calmTail is how long callers are served after the time to recover: windows of usage in
	// it must be reported before the end.
	calmTail = 4 * time.Second
	// startTime bounds how long entries take until the first is ready.
	startTime = 20 * time.Second
)

// outcome is what one seed showed.
type outcome struct {
	seed    uint64
	entries int
	judged  map[string]int // by checker
	broken  []string
	summary string
}

// play runs one seed.
func play(seed uint64, c config) (o outcome) {
	rng := rand.New(rand.NewPCG(seed, seed))
	o.seed, o.entries = seed, c.entries
	if o.entries == 0 {
		o.entries = fewEntries + rng.IntN(moreEntries-fewEntries+1)
	}
	t := newRun()
	defer t.finish()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w := newWorld(t, rng, o.entries)
		steps := w.draw(c.faults)
		if w.serve(o.entries*c.callers, steps) {
			verdicts := w.judge()
			o.broken = broken(verdicts)
			o.judged = make(map[string]int, len(verdicts))
			for name, v := range verdicts {
				o.judged[name] = v.judged
			}
		} else {
			o.broken = []string{"start: no entry was ready in time"}
		}
		o.summary = w.summary(steps)
		if len(o.broken) > 0 && c.keep != "" {
			w.leave(filepath.Join(c.keep, fmt.Sprint("seed-", seed)), steps, o.broken)
		}
	}()
	<-done
	o.broken = append(o.broken, t.faults()...)
	return o
}

// serve runs callers through the faults and the calm after them. It reports false if no
// entry was ready at the start.
func (w *world) serve(callers int, steps []step) bool {
	defer w.stop()
	for _, n := range w.nodes {
		w.tasks.Go(func() { w.balance(n) })
	}
	for ready := false; !ready; {
		if w.now() > startTime || !w.sleep(stallCheck) {
			return false
		}
		ready = true
		for _, n := range w.nodes {
			n.mu.Lock()
			ready = ready && n.rotated
			n.mu.Unlock()
		}
	}
	var calling, running sync.WaitGroup
	for i := range callers {
		calling.Go(func() { w.call(i) })
	}
	begun := w.now()
	for _, s := range steps {
		running.Go(func() {
			if w.sleep(begun + s.at - w.now()) {
				w.do(s)
			}
		})
	}
	running.Wait()
	w.calmFrom = w.now()
	w.sleep(w.bounds.recovers + calmTail)
	close(w.hangUp)
	calling.Wait() // before the processes end
	return true
}

// summary says how much was seen.
func (w *world) summary(steps []step) string {
	served, refused, left := 0, 0, 0
	for _, a := range w.answers {
		switch {
		case a.served():
			served++
		case a.refused():
			refused++
		case a.left:
			left++
		}
	}
	return fmt.Sprintf("%d faults; %d requests, %d served, %d refused, %d left; %d arrivals, %d usage reports",
		len(steps), len(w.answers), served, refused, left, len(w.arrivals), len(w.reports))
}

// leave keeps what is needed to trace a failed seed.
func (w *world) leave(dir string, steps []step, broken []string) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		w.t.Errorf("keep %s: %v", dir, err)
		return
	}
	var text strings.Builder
	for _, line := range broken {
		fmt.Fprintln(&text, line)
	}
	fmt.Fprintln(&text, "\nfaults:")
	for _, s := range steps {
		fmt.Fprintln(&text, s)
	}
	fmt.Fprintln(&text, "\ndisturbed:")
	for _, f := range w.faults {
		fmt.Fprintf(&text, "%v to %v %s %s\n", f.from, f.until, f.what, f.node)
	}
	for _, n := range w.nodes {
		if err := os.WriteFile(filepath.Join(dir, string(n.name)+".log"), []byte(n.process.Log.String()), 0o644); err != nil {
			w.t.Errorf("keep the log of %s: %v", n.name, err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "report.txt"), []byte(text.String()), 0o644); err != nil {
		w.t.Errorf("keep the report: %v", err)
	}
}

func main() {
	seeds := flag.Int("seeds", 1, "how many seeds to run") // the flag package, as its users type -seeds
	from := flag.Uint64("from", 1, "the first seed")
	parallel := flag.Int("parallel", 2, "how many seeds run at once")
	entries := flag.Int("entries", 0, "entry processes of each seed; 0: 3 to 6, drawn")
	callers := flag.Int("callers", 4, "callers for each entry")
	faults := flag.Duration("faults", defaultFaults, "how long there are faults")
	keep := flag.String("keep", "soak-failed", "folder for what failed seeds leave")
	flag.Parse()
	c := config{entries: *entries, callers: *callers, faults: *faults, keep: *keep}
	var mu sync.Mutex
	var failed []uint64
	judged := make(map[string]int)
	var tasks sync.WaitGroup
	limit := make(chan struct{}, max(1, *parallel))
	for i := range *seeds {
		limit <- struct{}{}
		tasks.Go(func() {
			defer func() { <-limit }()
			o := play(*from+uint64(i), c)
			mu.Lock()
			defer mu.Unlock()
			fmt.Printf("seed %d, %d entries: %s; %d broken promises\n", o.seed, o.entries, o.summary, len(o.broken))
			for _, line := range o.broken[:min(len(o.broken), 10)] {
				fmt.Println("   ", line)
			}
			if len(o.broken) > 0 {
				failed = append(failed, o.seed)
			}
			for name, n := range o.judged {
				judged[name] += n
			}
		})
	}
	tasks.Wait()
	for _, c := range checkers {
		fmt.Printf("%-26s judged %d times\n", c.name, judged[c.name])
	}
	fmt.Printf("%d seeds, %d with a broken promise %v\n", *seeds, len(failed), failed)
	if len(failed) > 0 {
		os.Exit(1)
	}
}
