// Package setting parses a program's settings from flags and environment variables. It
// reports all invalid values at once.
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

// Error describes a setting with an invalid value.
type Error struct {
	Flag     string
	Value    string
	Expected string
}

// Error implements error. The message holds the flag, its value and the expected form.
func (e *Error) Error() string {
	return fmt.Sprintf("--%s: bad value %q: expected %s", e.Flag, e.Value, e.Expected)
}

// Errors holds all errors in a program's settings.
type Errors []*Error

// Error implements error. The message has one line per error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Checker validates settings and collects the errors.
type Checker struct{ errors Errors }

// Endpoint requires an IP address with a port.
func (c *Checker) Endpoint(flag, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addError(flag, value, "IP:port, such as 127.0.0.1:7000")
	}
}

// URL requires an http URL whose host is an IP address with a port.
func (c *Checker) URL(flag, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" {
		c.addError(flag, value, "a URL such as http://127.0.0.1:7000")
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.addError(flag, value, "a URL such as http://127.0.0.1:7000")
	}
}

// Name requires a value that is not empty and contains no space, tab or line feed.
func (c *Checker) Name(flag, value string) {
	if value == "" || strings.ContainsAny(value, " \t\n") {
		c.addError(flag, value, "a name without spaces")
	}
}

// Require adds an error for the flag unless ok is true.
func (c *Checker) Require(ok bool, flag, value, expected string) {
	if !ok {
		c.addError(flag, value, expected)
	}
}

func (c *Checker) addError(flag, value, expected string) {
	c.errors = append(c.errors, &Error{Flag: flag, Value: value, Expected: expected})
}

// Err returns the collected errors as an error of type Errors, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.errors) == 0 {
		return nil
	}
	return c.errors
}

// Settings is implemented by the structs that define the flags, environment variables and
// commands of a program.
type Settings interface {
	// Check validates the values. It returns nil or Errors.
	Check() error
}

// Exit codes of the programs.
const (
	ExitFailure     = 1
	ExitBadSettings = 2
)

// EnvPrefix is the prefix of the names of environment variables.
const EnvPrefix = "RAGWORT"

// NewParser returns the parser of a program's flags and environment variables. A usage
// error ends the program with ExitBadSettings.
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

// Parse fills settings from flags and environment variables and validates them. An error
// ends the program with ExitBadSettings.
func Parse(settings Settings, name, description string) *kong.Context {
	return ParseWith(NewParser(settings, name, description), settings)
}

// ParseWith is like Parse, with a parser from NewParser.
func ParseWith(parser *kong.Kong, settings Settings) *kong.Context {
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := settings.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitBadSettings)
	}
	return ctx
}

// ParseArgs fills settings from the given arguments and the defaults alone, and validates
// them. It is for a program that runs inside another program's process.
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

// ExitCode returns the exit code for a program that ended with a non-nil err.
func ExitCode(err error) int {
	var settingErrors Errors
	if errors.As(err, &settingErrors) {
		return ExitBadSettings
	}
	return ExitFailure
}
