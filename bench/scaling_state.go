package bench

// This file measures the state that is built from the log: its size by the number
// of workspaces and keys, and the speed at which records are applied to it.

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
	applyRecords     = 20_000 // number of records applied for each measurement
	parseRounds      = 9      // number of times that the rules are parsed
)

// StateCost holds the size of a state and the time to parse its rules.
type StateCost struct {
	Workspaces int     `json:"workspaces"`
	Keys       int     `json:"keys"`
	RulesBytes int     `json:"rules_bytes"`
	ParseMS    float64 `json:"rules_read_ms"` // median time to parse the rules
	HeapBytes  float64 `json:"heap_bytes"`    // of the state
	LogBytes   int     `json:"log_bytes"`     // of the records from which the state is built
}

// ApplySpeed is the rate at which log records are applied to a state.
type ApplySpeed struct {
	Records          string  `json:"records"` // kind of the records
	BatchSize        int     `json:"records_per_append"`
	RecordsPerSecond float64 `json:"records_per_second"`
}

// MeasureStates measures a state for each number of workspaces.
func MeasureStates(workspaces []int, out io.Writer) ([]StateCost, error) {
	var all []StateCost
	for _, n := range workspaces {
		c, err := measureState(n)
		if err != nil {
			return all, err
		}
		all = append(all, *c)
		_, _ = fmt.Fprintf(out, "slope state workspaces=%d keys=%d rules_bytes=%d rules_read_ms=%.2f heap_bytes=%.0f log_bytes=%d\n",
			c.Workspaces, c.Keys, c.RulesBytes, c.ParseMS, c.HeapBytes, c.LogBytes)
	}
	return all, nil
}

func measureState(workspaces int) (*StateCost, error) {
	text := rulesText(workspaces)
	var times []float64
	for range parseRounds {
		start := time.Now()
		if _, err := rule.Parse("slope", text); err != nil {
			return nil, err
		}
		times = append(times, float64(time.Since(start))/float64(time.Millisecond))
	}
	c := &StateCost{Workspaces: workspaces, Keys: workspaces * keysPerWorkspace, RulesBytes: len(text)}
	c.ParseMS, _ = medianAndMax(times)
	payloads := [][]byte{marshalBatch(&ragwortv1.Record{Writer: "w", Sequence: 1, Body: &ragwortv1.Record_RulesPublished{
		RulesPublished: &ragwortv1.RulesPublished{Text: text},
	}})}
	for i := range c.Keys {
		payloads = append(payloads, marshalBatch(keyRecord(i, uint64(i+2), workspaceName(i/keysPerWorkspace))))
	}
	for _, p := range payloads {
		c.LogBytes += len(p)
	}
	before := heapBytes()
	s := logbook.NewState()
	for i, p := range payloads {
		s.Apply(id.Offset(i+1), slices.Clone(p))
	}
	c.HeapBytes = heapBytes() - before
	if got := len(s.Keys.All()); got != c.Keys {
		return nil, fmt.Errorf("state with %d workspaces: holds %d of %d keys", workspaces, got, c.Keys)
	}
	return c, nil
}

// MeasureApply measures how fast log records are applied, for each kind of record and
// each number of records in an append.
func MeasureApply(batches []int, out io.Writer) []ApplySpeed {
	kinds := []struct {
		name   string
		record func(i int, sequence uint64) *ragwortv1.Record
	}{
		{"key_given", func(i int, sequence uint64) *ragwortv1.Record { return keyRecord(i, sequence, "w1") }},
		{"usage_counted", usageRecord},
	}
	var all []ApplySpeed
	for _, kind := range kinds {
		for _, n := range batches {
			speed := ApplySpeed{Records: kind.name, BatchSize: n, RecordsPerSecond: measureApplySpeed(n, kind.record)}
			all = append(all, speed)
			_, _ = fmt.Fprintf(out, "slope fold records=%s batch=%d records_s=%.0f\n", speed.Records, speed.BatchSize, speed.RecordsPerSecond)
		}
	}
	return all
}

func measureApplySpeed(batch int, record func(i int, sequence uint64) *ragwortv1.Record) float64 {
	var payloads [][]byte
	for i := 0; i < applyRecords; i += batch {
		var b ragwortv1.Batch
		for j := range batch {
			b.Records = append(b.Records, record(i+j, uint64(i+j+1)))
		}
		p, err := proto.Marshal(&b)
		if err != nil {
			panic("encoding a batch of records: " + err.Error())
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

func marshalBatch(r *ragwortv1.Record) []byte {
	p, err := proto.Marshal(&ragwortv1.Batch{Records: []*ragwortv1.Record{r}})
	if err != nil {
		panic("encoding a batch of records: " + err.Error())
	}
	return p
}

// keyRecord returns a record that issues a key, whose secret is discarded.
func keyRecord(i int, sequence uint64, ws string) *ragwortv1.Record {
	_, given := key.Generate(time.UnixMilli(int64(i)), id.Workspace(ws), nil, "slope")
	return &ragwortv1.Record{Writer: "w", Sequence: sequence, Body: &ragwortv1.Record_KeyGiven{KeyGiven: given}}
}

// usageRecord returns a record with the usage of one request; 1000 records in a row
// belong to the same window.
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

// rulesText returns a rules file with a number of workspaces, and the models and
// classes of a large deployment.
func rulesText(workspaces int) string {
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

// medianAndMax sorts values and returns the median and the maximum.
func medianAndMax(values []float64) (median, largest float64) {
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}
