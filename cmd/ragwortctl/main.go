// Ragwortctl is the command-line tool for operators.
//
// Exit codes: 0 success, 1 failure, 2 invalid settings or arguments, 3 invalid rules
// file, 4 conflict with another operator's change.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/willabides/kongplete"

	"github.com/ragwortpass/ragwortpass/operator"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/setting"
)

// Exit codes in addition to those of package setting.
const (
	exitInvalidRules = 3
	exitConflict     = 4
)

// settings holds the flags, environment variables and commands of the program.
type settings struct {
	Platform string   `help:"URL of the platform." default:"http://127.0.0.1:7000"`
	Nodes    []string `help:"Addresses of entries and sidecars, besides the platform's VM list."`
	Output   string   `help:"Form of the output." enum:"text,json" default:"text"`
	Operator string   `help:"Name of the operator, kept with each change." env:"RAGWORT_OPERATOR,USER" default:"operator"`

	Rules   rulesCommand   `cmd:"" help:"Check, compare, publish and show the rules."`
	Key     keyCommand     `cmd:"" help:"Give, withdraw and list keys."`
	Status  statusCommand  `cmd:"" help:"Show every process and upstream."`
	Explain explainCommand `cmd:"" help:"Show the decisions taken about a request, or those that would be taken now about one that is not sent (relay)."`
	Holds   holdsCommand   `cmd:"" help:"Show and release parts of prompts that are held back."`
	Rollout rolloutCommand `cmd:"" help:"Order, show and withdraw roll-outs of services (relay)."`
	Usage   usageCommand   `cmd:"" help:"Show what workspaces have used."`
	Drain   drainCommand   `cmd:"" help:"Take a data centre out of service: publish the rules with a drain rule."`
	Undrain undrainCommand `cmd:"" help:"Put a data centre back into service."`

	Completions kongplete.InstallCompletions `cmd:"" help:"Print the lines that make a shell complete commands and flags."`
}

// Check implements setting.Settings.
func (s *settings) Check() error {
	var c setting.Checker
	c.URL("platform", s.Platform)
	for _, n := range s.Nodes {
		c.Endpoint("nodes", n)
	}
	return c.Err()
}

func main() {
	signal.Ignore(syscall.SIGPIPE) // what was begun is completed also if nobody reads the output
	var s settings
	parser := setting.NewParser(&s, "ragwortctl", "Operates ragwortpass.")
	kongplete.Complete(parser)
	ctx := setting.ParseWith(parser, &s)
	client := operator.New(operator.Config{Platform: s.Platform, Nodes: s.Nodes, OperatorName: s.Operator},
		&http.Client{Transport: process.NewExternalClient().Transport}, process.NewPeerClient())
	err := ctx.Run(&commandEnv{client: client, json: s.Output == "json", out: os.Stdout})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var rulesErrors rule.Errors
	var conflict *operator.ConflictError
	var running *operator.RolloutRunningError
	switch {
	case errors.As(err, &rulesErrors):
		return exitInvalidRules
	case errors.As(err, &conflict), errors.As(err, &running):
		return exitConflict
	}
	return setting.ExitCode(err)
}
