package main

// This file defines the commands for roll-outs on the users' platform.

import (
	"context"
	"fmt"
	"strings"
	"time"
	"unicode"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/operator"
	"github.com/ragwortpass/ragwortpass/platform"
	"github.com/ragwortpass/ragwortpass/setting"
)

// maxOrderTime bounds the time that an order grants.
const maxOrderTime = 365 * 24 * time.Hour

type rolloutCommand struct {
	Order    rolloutOrder    `cmd:"" help:"Order that a service's traffic moves to a version."`
	Show     rolloutShow     `cmd:"" help:"Show orders, how far they are, and the upstreams of each version."`
	Withdraw rolloutWithdraw `cmd:"" help:"Withdraw an order: a roll-out that has not ended is rolled back."`
}

// storeFlag names the store of the users' platform.
type storeFlag struct {
	Store string `required:"" help:"Address of the users' store (relay)." placeholder:"IP:PORT"`
}

// check checks the address.
func (f *storeFlag) check(c *setting.Checker) { c.Endpoint("store", f.Store) }

// rollouts returns the operations on the store.
func (f *storeFlag) rollouts() *operator.Rollouts {
	return operator.NewRollouts(platform.NewOperatorStore(f.Store))
}

// checkText requires a name that the store and logs can hold.
func checkText(c *setting.Checker, name, value string) {
	isOdd := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }
	c.Require(value != "" && len(value) <= maxNameBytes && !strings.ContainsFunc(value, isOdd), name, value, fmt.Sprintf("1 to %d bytes without spaces", maxNameBytes))
}

// maxNameBytes bounds the names of services and versions.
const maxNameBytes = 240

type rolloutOrder struct {
	storeFlag
	Service string        `arg:"" help:"Service."`
	Target  string        `arg:"" help:"Version that is to serve it."`
	Within  time.Duration `required:"" help:"Time until the version must serve all traffic, such as 10m."`
	Replace bool          `help:"Replace an order that has not ended."`
}

// Run orders a roll-out.
func (c *rolloutOrder) Run(env *commandEnv) error {
	var checker setting.Checker
	c.check(&checker)
	checkText(&checker, "service", c.Service)
	checkText(&checker, "target", c.Target)
	checker.Require(c.Within >= time.Millisecond && c.Within <= maxOrderTime, "within", c.Within.String(), "a time from 1ms to a year, such as 10m")
	if err := checker.Err(); err != nil {
		return err
	}
	o := operator.RolloutOrder{Service: id.Service(c.Service), Target: id.Version(c.Target), Within: c.Within}
	if err := c.rollouts().Order(context.Background(), o, c.Replace); err != nil {
		return err
	}
	return env.print(o, fmt.Sprintf("ordered %s to %s within %s\n", c.Service, c.Target, c.Within))
}

type rolloutShow struct {
	storeFlag
	Service string `arg:"" optional:"" help:"Service; all with an order if none."`
}

// Run prints a line for each roll-out.
func (c *rolloutShow) Run(env *commandEnv) error {
	var checker setting.Checker
	c.check(&checker)
	if err := checker.Err(); err != nil {
		return err
	}
	all, err := c.rollouts().Show(context.Background(), id.Service(c.Service))
	if err != nil {
		return err
	}
	var b strings.Builder
	for _, r := range all {
		fmt.Fprintln(&b, r)
	}
	return env.print(all, b.String())
}

type rolloutWithdraw struct {
	storeFlag
	Service string `arg:"" help:"Service."`
}

// Run withdraws the order for a service.
func (c *rolloutWithdraw) Run(env *commandEnv) error {
	var checker setting.Checker
	c.check(&checker)
	checkText(&checker, "service", c.Service)
	if err := checker.Err(); err != nil {
		return err
	}
	if err := c.rollouts().Withdraw(context.Background(), id.Service(c.Service)); err != nil {
		return err
	}
	return env.print(map[string]string{"withdrawn": c.Service}, c.Service+" withdrawn\n")
}
