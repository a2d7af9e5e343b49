package main

// This file defines the command that explains a request: one that was sent, from what processes remember or have logged,
// or one that is not sent, as an entry would decide on it now.

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/setting"
	"github.com/ragwortpass/ragwortpass/trace"
)

type explainCommand struct {
	Request string   `arg:"" optional:"" help:"Id of the request, from X-Request-Id; none for a request that is not sent."`
	Logs    []string `help:"Files with the logs of processes to read instead of asking these." type:"existingfile"`

	Entry        string        `help:"Address of the metrics of an entry (relay), which says where a request would go now." placeholder:"HOST:PORT" group:"A request that is not sent"`
	Method       string        `help:"Its method." default:"POST" group:"A request that is not sent"`
	Host         string        `help:"Its host." group:"A request that is not sent"`
	Path         string        `help:"Its path." default:"/" group:"A request that is not sent"`
	Key          string        `help:"Its key." group:"A request that is not sent"`
	Workspace    string        `help:"Its workspace, instead of a key." group:"A request that is not sent"`
	Service      string        `help:"Service, of those of its route; drawn if none." group:"A request that is not sent"`
	Model        string        `help:"Its model." group:"A request that is not sent"`
	Tokens       int64         `help:"Tokens of its prompt; the sum of its parts if none." group:"A request that is not sent"`
	OutputTokens int64         `help:"Most tokens of its answer." group:"A request that is not sent"`
	HintTokens   int64         `help:"Tokens of its answer that its caller expects." group:"A request that is not sent"`
	Part         []string      `help:"A part of its prompt; the last one is its own." placeholder:"ID:TOKENS" sep:"none" group:"A request that is not sent"`
	Deadline     time.Duration `help:"How long its caller waits." group:"A request that is not sent"`
	Top          int           `help:"Most upstreams to show." default:"20" group:"A request that is not sent"`
}

// unknownRequestError reports that no process, or no log, has data on a request.
type unknownRequestError struct{ request string }

func (e *unknownRequestError) Error() string {
	return fmt.Sprintf("no information on request %q", e.request)
}

// Run prints the decisions that processes made about a request, or those that an entry would make now.
func (c *explainCommand) Run(env *commandEnv) error {
	var checker setting.Checker
	checker.Require((c.Request == "") != (c.Entry == ""), "entry", c.Entry, "either the id of a request, or the address of an entry for one that is not sent")
	checker.Require(c.Entry == "" || len(c.Logs) == 0, "logs", strings.Join(c.Logs, ","), "no logs for a request that is not sent")
	if err := checker.Err(); err != nil {
		return err
	}
	if c.Entry != "" {
		return c.explainUnsent(env)
	}
	if len(c.Logs) > 0 {
		return c.explainFromLogs(env)
	}
	decisions := env.client.Explain(context.Background(), id.Request(c.Request))
	if len(decisions) == 0 {
		return &unknownRequestError{request: c.Request}
	}
	var b strings.Builder
	for _, d := range decisions {
		fmt.Fprintf(&b, "%s node=%s step=%s reason=%s %s\n",
			time.UnixMicro(d.GetAtUnixUs()).UTC().Format("15:04:05.000000"), d.GetNode(), d.GetStep(), d.GetReason(), d.GetDetail())
	}
	return env.print(decisions, b.String())
}

// explainFromLogs prints the log lines about a request and, in brackets, the lines that show
// the state of the processes at the time.
func (c *explainCommand) explainFromLogs(env *commandEnv) error {
	var timeline []trace.LogLine
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		lines, unreadable, err := trace.Timeline(f, id.Request(c.Request))
		if err = errors.Join(err, f.Close()); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		timeline = append(timeline, lines...)
		for _, e := range unreadable { // the last line of a killed process may be incomplete
			fmt.Fprintf(os.Stderr, "%s: skipped %v\n", path, e)
		}
	}
	if !slices.ContainsFunc(timeline, func(l trace.LogLine) bool { return !l.Context }) {
		return &unknownRequestError{request: c.Request}
	}
	slices.SortStableFunc(timeline, func(a, b trace.LogLine) int { return cmp.Compare(a.At, b.At) })
	var b strings.Builder
	for _, l := range timeline {
		if l.Context {
			fmt.Fprintf(&b, "[%s]\n", l.Text)
		} else {
			fmt.Fprintln(&b, l.Text)
		}
	}
	return env.print(timeline, b.String())
}

// explainUnsent asks an entry where a request would go, and prints its answer.
func (c *explainCommand) explainUnsent(env *commandEnv) error {
	header := make(http.Header)
	if c.Key != "" {
		header.Set("Authorization", "Bearer "+c.Key)
	}
	body, err := callEntry(http.MethodGet, c.Entry, "/explain?"+c.parameters().Encode(), header)
	if err != nil {
		return err
	}
	var explanation gateway.Explanation
	if err := json.Unmarshal(body, &explanation); err != nil {
		return fmt.Errorf("decode the explanation of %s: %w", c.Entry, err)
	}
	return env.print(&explanation, explanation.String())
}

// parameters returns the parameters that describe the request, without those that are not given.
func (c *explainCommand) parameters() url.Values {
	values := url.Values{"part": c.Part}
	set := func(name, value, absent string) {
		if value != absent {
			values.Set(name, value)
		}
	}
	set("method", c.Method, "")
	set("host", c.Host, "")
	set("path", c.Path, "")
	set("workspace", c.Workspace, "")
	set("service", c.Service, "")
	set("model", c.Model, "")
	set("tokens", strconv.FormatInt(c.Tokens, 10), "0")
	set("output_tokens", strconv.FormatInt(c.OutputTokens, 10), "0")
	set("hint_tokens", strconv.FormatInt(c.HintTokens, 10), "0")
	if c.Deadline != 0 {
		values.Set("deadline_ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	}
	set("top", strconv.Itoa(c.Top), "0")
	return values
}
