package bench

// This file defines the slopes of the folded state: its size and speed by the
// number of workspaces and keys.

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const (
	keysPerWorkspace = 2
	foldRecords      = 20_000
	readRounds       = 9
)

// StateCost is the size of the state and the time to read its rules.
type StateCost struct {
	Workspaces int     `json:"workspaces"`
	Keys       int     `json:"keys"`
	RulesBytes int     `json:"rules_bytes"`
	ReadMS     float64 `json:"rules_read_ms"`
	HeapBytes  float64 `json:"heap_bytes"`
	LogBytes   int     `json:"log_bytes"`
}

// FoldSpeed is how many records a second a state folds.
type FoldSpeed struct {
	Records string  `json:"records"`
	Batch   int     `json:"records_per_append"`
	Speed   float64 `json:"records_per_second"`
}

// StateSlope measures states with the given numbers of workspaces.
func StateSlope(workspaces []int, out io.Writer) ([]StateCost, error) {
	var all []StateCost
	for _, n := range workspaces {
		c, err := stateCost(n)
		if err != nil {
			return all, err
		}
		all = append(all, *c)
		_, _ = fmt.Fprintf(out, "slope state workspaces=%d keys=%d rules_bytes=%d rules_read_ms=%.2f heap_bytes=%.0f log_bytes=%d\n",
			c.Workspaces, c.Keys, c.RulesBytes, c.ReadMS, c.HeapBytes, c.LogBytes)
	}
	return all, nil
}

func stateCost(workspaces int) (*StateCost, error) {
	text := rulesFor(workspaces)
	var times []float64
	for range readRounds {
		start := time.Now()
		if _, err := rule.Parse("slope", text); err != nil {
			return nil, err
		}
		times = append(times, float64(time.Since(start))/float64(time.Millisecond))
	}
	c := &StateCost{Workspaces: workspaces, Keys: workspaces * keysPerWorkspace, RulesBytes: len(text)}
	c.ReadMS, _ = median(times)
	payloads := [][]byte{payload(&ragwortv1.Record{Writer: "w", Sequence: 1, Body: &ragwortv1.Record_RulesPublished{
		RulesPublished: &ragwortv1.RulesPublished{Text: text},
	}})}
	for i := range c.Keys {
		payloads = append(payloads, payload(keyRecord(i, uint64(i+2), workspaceName(i/keysPerWorkspace))))
	}
	for _, p := range payloads {
		c.LogBytes += len(p)
	}
	before := heap()
	s := logbook.NewState()
	for i, p := range payloads {
		s.Apply(id.Offset(i+1), slices.Clone(p))
	}
	c.HeapBytes = heap() - before
	if got := len(s.Keys.All()); got != c.Keys {
		return nil, fmt.Errorf("folded %d keys of %d", got, c.Keys)
	}
	return c, nil
}

// FoldSlope measures the speed of the fold for the given sizes of an append.
func FoldSlope(batches []int, out io.Writer) []FoldSpeed {
	kinds := []struct {
		name   string
		record func(i int, sequence uint64) *ragwortv1.Record
	}{
		{"key_given", func(i int, sequence uint64) *ragwortv1.Record { return keyRecord(i, sequence, "w1") }},
		{"usage_counted", usageRecord},
	}
	var all []FoldSpeed
	for _, kind := range kinds {
		for _, n := range batches {
			f := FoldSpeed{Records: kind.name, Batch: n, Speed: foldSpeed(n, kind.record)}
			all = append(all, f)
			_, _ = fmt.Fprintf(out, "slope fold records=%s batch=%d records_s=%.0f\n", f.Records, f.Batch, f.Speed)
		}
	}
	return all
}

func foldSpeed(batch int, record func(i int, sequence uint64) *ragwortv1.Record) float64 {
	var payloads [][]byte
	for i := 0; i < foldRecords; i += batch {
		var b ragwortv1.Batch
		for j := range batch {
			b.Records = append(b.Records, record(i+j, uint64(i+j+1)))
		}
		p, err := proto.Marshal(&b)
		if err != nil {
			panic("records always encode")
		}
		payloads = append(payloads, p)
	}
	s := logbook.NewState()
	start := time.Now()
	for i, p := range payloads {
		s.Apply(id.Offset(i+1), p)
	}
	return float64(len(payloads)*batch) / time.Since(start).Seconds()
}

func payload(r *ragwortv1.Record) []byte {
	p, err := proto.Marshal(&ragwortv1.Batch{Records: []*ragwortv1.Record{r}})
	if err != nil {
		panic("records always encode")
	}
	return p
}

// keyRecord gives a key whose secret nobody knows.
func keyRecord(i int, sequence uint64, ws string) *ragwortv1.Record {
	_, given := key.Generate(time.UnixMilli(int64(i)), id.Workspace(ws), nil, "slope")
	return &ragwortv1.Record{Writer: "w", Sequence: sequence, Body: &ragwortv1.Record_KeyGiven{KeyGiven: given}}
}

func usageRecord(i int, sequence uint64) *ragwortv1.Record {
	const windowSeconds, perWindow = 60, 1000
	return &ragwortv1.Record{Writer: "w", Sequence: sequence, Body: &ragwortv1.Record_UsageCounted{UsageCounted: &ragwortv1.UsageCounted{
		WindowUnixS: int64(i/perWindow) * windowSeconds,
		Lines: []*ragwortv1.UsageLine{{
			Workspace: workspaceName(i), Class: "counter", Model: "temper-70b", Requests: 1, PromptTokens: 100, OutputTokens: 50,
		}},
	}}}
}

func workspaceName(i int) string { return fmt.Sprint("w", i) }

// rulesFor returns a rules file with a number of workspaces and the models and
// classes of a large deployment.
func rulesFor(workspaces int) string {
	const models = 28
	var b strings.Builder
	for i, t := range []string{"platinum", "gold", "silver", "bronze"} {
		fmt.Fprintf(&b, "class name=c%d tier=%s ttft=750ms gap=40ms wait=10s deadline=60s # slope\n", i, t)
	}
	b.WriteString("route name=chat classes=c0,c1,c2,c3 # slope\n")
	for i := range models {
		fmt.Fprintf(&b, "model name=m%d context=32768 # slope\nupstream model=m%d concurrency=16 initial=2 fencing=checks # slope\n", i, i)
	}
	for i := range workspaces {
		fmt.Fprintf(&b, "workspace name=%s share=1 requests=50 tokens=5000 # slope\n", workspaceName(i))
	}
	return b.String()
}

// median returns the median and the largest of some values.
func median(values []float64) (mid, largest float64) {
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}
