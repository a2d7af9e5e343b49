// Package setting reads a program's settings from flags and environment
// variables, and names every fault at once.
package setting

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

// Error is one setting with a bad value.
type Error struct {
	Flag     string
	Value    string
	Expected string
}

// Error names the flag, its value and what was expected.
func (f *Error) Error() string {
	return fmt.Sprintf("--%s: bad value %q: expected %s", f.Flag, f.Value, f.Expected)
}

// Errors is every fault of a program's settings.
type Errors []*Error

// Error returns one fault a line.
func (f Errors) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// Checker collects faults.
type Checker struct{ faults Errors }

// Endpoint checks an IP address with a port.
func (c *Checker) Endpoint(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fault(flag, value, "IP:port, such as 127.0.0.1:7000")
	}
}

// URL checks an http URL whose host is an IP address with a port.
func (c *Checker) URL(flag, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" {
		c.fault(flag, value, "a URL such as http://127.0.0.1:7000")
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.fault(flag, value, "a URL such as http://127.0.0.1:7000")
	}
}

// Name checks that a value is not empty and has no spaces.
func (c *Checker) Name(flag, value string) {
	if value == "" || strings.ContainsAny(value, " \t\n") {
		c.fault(flag, value, "a name without spaces")
	}
}

// Require notes a fault unless ok.
func (c *Checker) Require(ok bool, flag, value, expect string) {
	if !ok {
		c.fault(flag, value, expect)
	}
}

func (c *Checker) fault(flag, value, expect string) {
	c.faults = append(c.faults, &Error{Flag: flag, Value: value, Expected: expect})
}

// Err returns the faults as an error of type Errors, or nil.
func (c *Checker) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}

// Settings is a program's settings.
type Settings interface {
	Check() error
}

// Exit codes of the programs.
const (
	ExitFailure     = 1
	ExitBadSettings = 2
)

// EnvPrefix starts the name of every environment variable.
const EnvPrefix = "RAGWORT"

// NewParser returns the parser of a program's flags and environment variables.
func NewParser(settings Settings, name, description string) *kong.Kong {
	return kong.Must(settings, kong.Name(name), kong.Description(description), kong.UsageOnError(),
		kong.DefaultEnvars(EnvPrefix), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) {
			if code != 0 {
				code = ExitBadSettings
			}
			os.Exit(code)
		}))
}

// Parse fills settings from flags and environment variables and checks them. It
// ends the program with ExitBadSettings on a fault.
func Parse(settings Settings, name, description string) *kong.Context {
	return ParseWith(NewParser(settings, name, description), settings)
}

// ParseWith is Parse with a parser made by NewParser.
func ParseWith(parser *kong.Kong, settings Settings) *kong.Context {
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := settings.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitBadSettings)
	}
	return ctx
}

// ParseArgs fills settings from the given flags and the defaults alone, for a
// program that runs inside another, and checks them.
func ParseArgs(settings Settings, args ...string) error {
	parser, err := kong.New(settings)
	if err != nil {
		return err
	}
	if _, err := parser.Parse(args); err != nil {
		return err
	}
	return settings.Check()
}

// ExitCode returns the exit code of a program that ended with err.
func ExitCode(err error) int {
	var faults Errors
	if errors.As(err, &faults) {
		return ExitBadSettings
	}
	return ExitFailure
}
