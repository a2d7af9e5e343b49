package main

// This file defines the commands for parts of prompts that entries hold back.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"
)

type holdsCommand struct {
	List    holdsList    `cmd:"" help:"List the parts of prompts whose requests are held back."`
	Release holdsRelease `cmd:"" help:"Let requests with a part of a prompt run again, on all entries."`
}

type holdsList struct {
	Entry string `required:"" help:"Address of the metrics of any entry (relay)." placeholder:"HOST:PORT"`
}

// heldPart is a part of prompts as an entry lists it.
type heldPart struct {
	Part    string    `json:"part"`
	Since   time.Time `json:"since"`
	Crashes int       `json:"crashes"`
}

// Run lists the parts that an entry holds back, with the number of crashes and since when.
func (c *holdsList) Run(env *commandEnv) error {
	body, err := callEntry(http.MethodGet, c.Entry, "/holds", nil)
	if err != nil {
		return err
	}
	var parts []heldPart
	if err := json.Unmarshal(body, &parts); err != nil {
		return fmt.Errorf("decode the list of %s: %w", c.Entry, err)
	}
	var b strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&b, "%s held since %s, %d crashes\n", p.Part, p.Since.Format(time.RFC3339), p.Crashes)
	}
	return env.print(parts, b.String())
}

type holdsRelease struct {
	Part  string `arg:"" help:"Id of the part."`
	Entry string `required:"" help:"Address of the metrics of any entry (relay)." placeholder:"HOST:PORT"`
}

// Run releases a part.
func (c *holdsRelease) Run(env *commandEnv) error {
	if _, err := callEntry(http.MethodDelete, c.Entry, "/holds/"+url.PathEscape(c.Part), nil); err != nil {
		return err
	}
	return env.print(map[string]string{"released": c.Part}, c.Part+" released\n")
}
