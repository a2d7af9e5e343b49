package main

// This file defines the commands, except for usage.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/operator"
	"github.com/ragwortpass/ragwortpass/rule"
)

// commandEnv is passed to the Run method of every command.
type commandEnv struct {
	client *operator.Client
	json   bool
	out    io.Writer
}

// print writes v as JSON if that is the output format, and text otherwise.
func (env *commandEnv) print(v any, text string) error {
	if env.json {
		return json.NewEncoder(env.out).Encode(v)
	}
	_, err := io.WriteString(env.out, text)
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

// Run parses a rules file and reports all its errors.
func (c *rulesCheck) Run(env *commandEnv) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	set, err := rule.Parse(c.File, string(text))
	if err != nil {
		return err
	}
	n := len(set.Classes) + len(set.Routes) + len(set.Workspaces) + len(set.Models) + len(set.Upstreams) + len(set.Drains) + len(set.Fleets)
	return env.print(map[string]any{"file": c.File, "rules": n}, fmt.Sprintf("%s: %d rules, no errors\n", c.File, n))
}

type rulesDiff struct {
	File string `arg:"" help:"Rules file."`
}

// Run compares a rules file, line by line, with the current rules.
func (c *rulesDiff) Run(env *commandEnv) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	s, err := env.client.State(context.Background())
	if err != nil {
		return err
	}
	removed, added := diffLines(s.Rules().Text, string(text))
	var b strings.Builder
	for _, l := range removed {
		b.WriteString("- " + l + "\n")
	}
	for _, l := range added {
		b.WriteString("+ " + l + "\n")
	}
	return env.print(map[string]any{"base_offset": s.Rules().Offset, "removed": removed, "added": added}, b.String())
}

// diffLines returns the lines of a that b does not contain, and those of b that a does not
// contain. It ignores the order of lines, which matters only for routes and for upstream
// rules without a name.
func diffLines(a, b string) (removed, added []string) {
	return linesMissingFrom(a, b), linesMissingFrom(b, a)
}

// linesMissingFrom returns the lines of text that other does not contain. A line that
// occurs n times in text must occur n times in other.
func linesMissingFrom(text, other string) []string {
	counts := make(map[string]int)
	for _, l := range strings.Split(other, "\n") {
		counts[l]++
	}
	lines := []string{}
	for _, l := range strings.Split(text, "\n") {
		if counts[l] > 0 {
			counts[l]--
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

// Run publishes a rules file.
func (c *rulesPublish) Run(env *commandEnv) error {
	ctx := context.Background()
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	base := id.Offset(c.Base)
	if c.Base < 0 {
		s, err := env.client.State(ctx)
		if err != nil {
			return err
		}
		base = s.Rules().Offset
	}
	offset, err := env.client.Publish(ctx, time.Now(), c.File, string(text), base)
	if err != nil {
		return err
	}
	return env.print(map[string]any{"offset": offset}, fmt.Sprintf("published at offset %d\n", offset))
}

type rulesShow struct{}

// Run prints the current rules.
func (c *rulesShow) Run(env *commandEnv) error {
	s, err := env.client.State(context.Background())
	if err != nil {
		return err
	}
	return env.print(map[string]any{"offset": s.Rules().Offset, "text": s.Rules().Text}, s.Rules().Text)
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

// Run creates a key and prints its secret.
func (c *keyGive) Run(env *commandEnv) error {
	classes := make([]id.Class, len(c.Classes))
	for i, n := range c.Classes {
		classes[i] = id.Class(n)
	}
	secret, keyID, err := env.client.GiveKey(context.Background(), time.Now(), id.Workspace(c.Workspace), classes, c.Comment)
	if err != nil {
		return err
	}
	return env.print(map[string]string{"key": string(keyID), "secret": string(secret)}, string([]byte(secret))+"\n")
}

type keyWithdraw struct {
	Key     string `arg:"" help:"Id of the key."`
	Comment string `help:"Who asked for it." required:""`
}

// Run withdraws a key.
func (c *keyWithdraw) Run(env *commandEnv) error {
	if err := env.client.WithdrawKey(context.Background(), time.Now(), id.Key(c.Key), c.Comment); err != nil {
		return err
	}
	return env.print(map[string]string{"withdrawn": c.Key}, "withdrawn "+c.Key+"\n")
}

type keyList struct{}

// Run lists all keys, including withdrawn ones.
func (c *keyList) Run(env *commandEnv) error {
	s, err := env.client.State(context.Background())
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
	return env.print(lines, b.String())
}

type statusCommand struct{}

// Run prints the status of every process and its view of the upstreams.
func (c *statusCommand) Run(env *commandEnv) error {
	responses := env.client.Status(context.Background())
	var b strings.Builder
	type line struct {
		Address string `json:"address"`
		Error   string `json:"error,omitempty"`
		Status  any    `json:"status,omitempty"`
	}
	lines := []line{}
	for _, response := range responses {
		if response.Err != nil {
			lines = append(lines, line{Address: response.Address, Error: response.Err.Error()})
			fmt.Fprintf(&b, "%s error=%q\n", response.Address, response.Err)
			continue
		}
		m := response.Message
		lines = append(lines, line{Address: response.Address, Status: m})
		fmt.Fprintf(&b, "%s node=%s role=%s data_centre=%s ready=%t offset=%d rules=%d running=%d waiting=%d\n", response.Address,
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
	return env.print(lines, b.String())
}

type drainCommand struct {
	DataCentre string `arg:"" help:"Data centre."`
	Comment    string `help:"Who asked for it, and why." required:""`
}

// Run publishes the current rules with an added drain rule for a data centre.
func (c *drainCommand) Run(env *commandEnv) error {
	offset, err := env.client.Drain(context.Background(), time.Now(), id.DataCentre(c.DataCentre), c.Comment)
	if err != nil {
		return err
	}
	return env.print(map[string]any{"offset": offset}, fmt.Sprintf("%s drained at offset %d\n", c.DataCentre, offset))
}

type undrainCommand struct {
	DataCentre string `arg:"" help:"Data centre."`
}

// Run publishes the current rules without the drain rule for a data centre.
func (c *undrainCommand) Run(env *commandEnv) error {
	offset, err := env.client.Undrain(context.Background(), time.Now(), id.DataCentre(c.DataCentre))
	if err != nil {
		return err
	}
	return env.print(map[string]any{"offset": offset}, fmt.Sprintf("%s back in service at offset %d\n", c.DataCentre, offset))
}
