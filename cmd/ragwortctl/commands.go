package main

// This file defines the commands.

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/operator"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/trace"
)

// run is what every command works with.
type run struct {
	o    *operator.Client
	json bool
	out  io.Writer
}

// print writes v as JSON, or text as it is.
func (r *run) print(v any, text string) error {
	if r.json {
		return json.NewEncoder(r.out).Encode(v)
	}
	_, err := io.WriteString(r.out, text)
	return err
}

type rulesCommand struct {
	Check   rulesCheck   `cmd:"" help:"Check a rules file and name every fault."`
	Diff    rulesDiff    `cmd:"" help:"Compare a rules file with the rules in force."`
	Publish rulesPublish `cmd:"" help:"Make a rules file the rules in force."`
	Show    rulesShow    `cmd:"" help:"Show the rules in force."`
}

type rulesCheck struct {
	File string `arg:"" help:"Rules file."`
}

// Run checks a file.
func (c *rulesCheck) Run(r *run) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	set, err := rule.Parse(c.File, string(text))
	if err != nil {
		return err
	}
	n := len(set.Classes) + len(set.Routes) + len(set.Workspaces) + len(set.Models) + len(set.Upstreams) + len(set.Drains) + len(set.Fleets)
	return r.print(map[string]any{"file": c.File, "rules": n}, fmt.Sprintf("%s: %d rules, no faults\n", c.File, n))
}

type rulesDiff struct {
	File string `arg:"" help:"Rules file."`
}

// Run compares a file, line by line, with the rules in force.
func (c *rulesDiff) Run(r *run) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	s, err := r.o.State(context.Background())
	if err != nil {
		return err
	}
	removed, added := difference(s.Rules().Text, string(text))
	var b strings.Builder
	for _, l := range removed {
		b.WriteString("- " + l + "\n")
	}
	for _, l := range added {
		b.WriteString("+ " + l + "\n")
	}
	return r.print(map[string]any{"base_offset": s.Rules().Offset, "removed": removed, "added": added}, b.String())
}

// difference returns the lines of a that b lacks, and those of b that a lacks.
// The order of rules of one kind matters only among routes.
func difference(a, b string) (removed, added []string) {
	return missing(a, b), missing(b, a)
}

func missing(from, in string) []string {
	have := make(map[string]int)
	for _, l := range strings.Split(in, "\n") {
		have[l]++
	}
	lines := []string{}
	for _, l := range strings.Split(from, "\n") {
		if have[l] > 0 {
			have[l]--
			continue
		}
		lines = append(lines, l)
	}
	return lines
}

type rulesPublish struct {
	File string `arg:"" help:"Rules file."`
	Base int64  `help:"Offset of the rules that the file was made from; those in force if negative." default:"-1"`
}

// Run publishes a file.
func (c *rulesPublish) Run(r *run) error {
	ctx := context.Background()
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	base := id.Offset(c.Base)
	if c.Base < 0 {
		s, err := r.o.State(ctx)
		if err != nil {
			return err
		}
		base = s.Rules().Offset
	}
	offset, err := r.o.Publish(ctx, time.Now(), c.File, string(text), base)
	if err != nil {
		return err
	}
	return r.print(map[string]any{"offset": offset}, fmt.Sprintf("published at offset %d\n", offset))
}

type rulesShow struct{}

// Run shows the rules in force.
func (c *rulesShow) Run(r *run) error {
	s, err := r.o.State(context.Background())
	if err != nil {
		return err
	}
	return r.print(map[string]any{"offset": s.Rules().Offset, "text": s.Rules().Text}, s.Rules().Text)
}

type keyCommand struct {
	Give     keyGive     `cmd:"" help:"Give a key to a workspace; its text is shown once."`
	Withdraw keyWithdraw `cmd:"" help:"Withdraw a key for good."`
	List     keyList     `cmd:"" help:"List keys, without their secrets."`
}

type keyGive struct {
	Workspace string   `arg:"" help:"Workspace that the key acts for."`
	Classes   []string `help:"Classes the key may use; every class if none."`
	Comment   string   `help:"Who asked for the key." required:""`
}

// Run gives a key.
func (c *keyGive) Run(r *run) error {
	classes := make([]id.Class, len(c.Classes))
	for i, n := range c.Classes {
		classes[i] = id.Class(n)
	}
	secret, kid, err := r.o.GiveKey(context.Background(), time.Now(), id.Workspace(c.Workspace), classes, c.Comment)
	if err != nil {
		return err
	}
	return r.print(map[string]string{"key": string(kid), "secret": string(secret)}, string([]byte(secret))+"\n")
}

type keyWithdraw struct {
	Key     string `arg:"" help:"Id of the key."`
	Comment string `help:"Who asked for it." required:""`
}

// Run withdraws a key.
func (c *keyWithdraw) Run(r *run) error {
	if err := r.o.WithdrawKey(context.Background(), time.Now(), id.Key(c.Key), c.Comment); err != nil {
		return err
	}
	return r.print(map[string]string{"withdrawn": c.Key}, "withdrawn "+c.Key+"\n")
}

type keyList struct{}

// Run lists keys.
func (c *keyList) Run(r *run) error {
	s, err := r.o.State(context.Background())
	if err != nil {
		return err
	}
	type line struct {
		Key       id.Key       `json:"key"`
		Workspace id.Workspace `json:"workspace"`
		Classes   []id.Class   `json:"classes"`
		Withdrawn bool         `json:"withdrawn"`
		Comment   string       `json:"comment"`
	}
	lines := []line{}
	var b strings.Builder
	for _, k := range s.Keys.All() {
		lines = append(lines, line{Key: k.ID, Workspace: k.Workspace, Classes: k.Classes, Withdrawn: k.Withdrawn, Comment: k.Comment})
		fmt.Fprintf(&b, "%s workspace=%s classes=%v withdrawn=%t comment=%q\n", k.ID, k.Workspace, k.Classes, k.Withdrawn, k.Comment)
	}
	return r.print(lines, b.String())
}

type statusCommand struct{}

// Run shows every process.
func (c *statusCommand) Run(r *run) error {
	answers := r.o.Status(context.Background())
	var b strings.Builder
	type line struct {
		Address string `json:"address"`
		Error   string `json:"error,omitempty"`
		Status  any    `json:"status,omitempty"`
	}
	lines := []line{}
	for _, a := range answers {
		if a.Err != nil {
			lines = append(lines, line{Address: a.Address, Error: a.Err.Error()})
			fmt.Fprintf(&b, "%s error=%q\n", a.Address, a.Err)
			continue
		}
		m := a.Message
		lines = append(lines, line{Address: a.Address, Status: m})
		fmt.Fprintf(&b, "%s node=%s role=%s data_centre=%s ready=%t offset=%d rules=%d running=%d waiting=%d\n", a.Address,
			m.GetNode().GetId(), m.GetNode().GetRole(), m.GetNode().GetDataCentre(), m.GetReady(), m.GetJournalOffset(), m.GetRulesOffset(), m.GetRunning(), m.GetWaiting())
		for _, l := range m.GetLeases() {
			fmt.Fprintf(&b, "  lease=%s holder=%s term=%d offset=%d released=%t\n", l.GetDuty(), l.GetHolder(), l.GetTerm(), l.GetOffset(), l.GetReleased())
		}
		for _, u := range m.GetUpstreams() {
			l := u.GetLoad()
			fmt.Fprintf(&b, "  upstream=%s data_centre=%s state=%s limit=%d running=%d waiting=%d outstanding=%d\n",
				l.GetUpstream(), u.GetDataCentre(), l.GetState(), l.GetLimit(), l.GetRunning(), l.GetWaiting(), u.GetOutstanding())
		}
	}
	return r.print(lines, b.String())
}

type explainCommand struct {
	Request string   `arg:"" help:"Id of the request, from X-Request-Id."`
	Logs    []string `help:"Files with the logs of processes to read instead of asking these." type:"existingfile"`
}

// notExplainedError says that no process remembers a request.
type notExplainedError struct{ request string }

func (e *notExplainedError) Error() string {
	return fmt.Sprintf("no process remembers request %q", e.request)
}

// Run shows the decisions taken about a request.
func (c *explainCommand) Run(r *run) error {
	if len(c.Logs) > 0 {
		return c.fromLogs(r)
	}
	decisions := r.o.Explain(context.Background(), id.Request(c.Request))
	if len(decisions) == 0 {
		return &notExplainedError{request: c.Request}
	}
	var b strings.Builder
	for _, d := range decisions {
		fmt.Fprintf(&b, "%s node=%s step=%s reason=%s %s\n",
			time.UnixMicro(d.GetAtUnixUs()).UTC().Format("15:04:05.000000"), d.GetNode(), d.GetStep(), d.GetReason(), d.GetDetail())
	}
	return r.print(decisions, b.String())
}

// fromLogs shows the lines about a request, and in brackets what its nodes believed.
func (c *explainCommand) fromLogs(r *run) error {
	var story []trace.LogLine
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		lines, unreadable, err := trace.Timeline(f, id.Request(c.Request))
		if err = errors.Join(err, f.Close()); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		story = append(story, lines...)
		for _, e := range unreadable { // the last line of a process that was killed may be torn
			fmt.Fprintf(os.Stderr, "%s: left out %v\n", path, e)
		}
	}
	if !slices.ContainsFunc(story, func(l trace.LogLine) bool { return !l.Context }) {
		return &notExplainedError{request: c.Request}
	}
	slices.SortStableFunc(story, func(a, b trace.LogLine) int { return cmp.Compare(a.At, b.At) })
	var b strings.Builder
	for _, l := range story {
		if l.Context {
			fmt.Fprintf(&b, "[%s]\n", l.Text)
		} else {
			fmt.Fprintln(&b, l.Text)
		}
	}
	return r.print(story, b.String())
}

type drainCommand struct {
	DataCentre string `arg:"" help:"Data centre."`
	Comment    string `help:"Who asked for it, and why." required:""`
}

// Run takes a data centre out of service.
func (c *drainCommand) Run(r *run) error {
	offset, err := r.o.Drain(context.Background(), time.Now(), id.DataCentre(c.DataCentre), c.Comment)
	if err != nil {
		return err
	}
	return r.print(map[string]any{"offset": offset}, fmt.Sprintf("%s drained at offset %d\n", c.DataCentre, offset))
}

type undrainCommand struct {
	DataCentre string `arg:"" help:"Data centre."`
}

// Run puts a data centre back into service.
func (c *undrainCommand) Run(r *run) error {
	offset, err := r.o.Undrain(context.Background(), time.Now(), id.DataCentre(c.DataCentre))
	if err != nil {
		return err
	}
	return r.print(map[string]any{"offset": offset}, fmt.Sprintf("%s back in service at offset %d\n", c.DataCentre, offset))
}
