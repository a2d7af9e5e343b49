package operator

// This file defines how operators drain a data centre: a drain rule is added to or
// removed from the rules in force, and the result is published like any other edit. If
// another operator's edit comes first, the change is rejected.

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
)

// rulesFileName is the file name in errors about the edited rules.
const rulesFileName = "rules"

// AlreadyInStateError means that a data centre is already in the requested state.
type AlreadyInStateError struct {
	DataCentre id.DataCentre
	State      string
}

func (e *AlreadyInStateError) Error() string {
	return fmt.Sprintf("data centre %q is already %s", e.DataCentre, e.State)
}

// Drain takes a data centre out of service. The error is an *AlreadyInStateError or an
// error of State or Publish.
func (c *Client) Drain(ctx context.Context, now time.Time, dc id.DataCentre, comment string) (id.Offset, error) {
	s, err := c.State(ctx)
	if err != nil {
		return 0, err
	}
	rules := s.Rules()
	if rules.Drained(dc) {
		return 0, &AlreadyInStateError{DataCentre: dc, State: "drained"}
	}
	line := fmt.Sprintf("drain data_centre=%s # %s: %s\n", dc, c.cfg.OperatorName, singleLine(comment))
	text := rules.Text
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return c.Publish(ctx, now, rulesFileName, text+line, rules.Offset)
}

// Undrain puts a data centre back into service. The error is an *AlreadyInStateError or
// an error of State or Publish.
func (c *Client) Undrain(ctx context.Context, now time.Time, dc id.DataCentre) (id.Offset, error) {
	s, err := c.State(ctx)
	if err != nil {
		return 0, err
	}
	rules := s.Rules()
	d, ok := rules.Drains[dc]
	if !ok {
		return 0, &AlreadyInStateError{DataCentre: dc, State: "in service"}
	}
	return c.Publish(ctx, now, rulesFileName, removeDrain(rules, d), rules.Offset)
}

// removeDrain returns the text of the rules without the line of a drain rule.
func removeDrain(rules *rule.Set, drain *rule.Drain) string {
	lines := strings.Split(rules.Text, "\n")
	return strings.Join(append(lines[:drain.Line-1:drain.Line-1], lines[drain.Line:]...), "\n")
}

// singleLine replaces each run of white space with one space, so that a line break in a
// comment cannot add a rule.
func singleLine(s string) string { return strings.Join(strings.Fields(s), " ") }
