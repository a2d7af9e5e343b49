package operator

// This file defines the draining of a data centre: a drain rule is added to, or
// taken out of, the rules in force, and the result is published like any other
// edit. It loses against another operator's edit that comes first.

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
)

const rulesInForce = "rules"

// AlreadyInStateError says that a data centre already is in the state asked for.
type AlreadyInStateError struct {
	DataCentre id.DataCentre
	State      string
}

func (e *AlreadyInStateError) Error() string {
	return fmt.Sprintf("data centre %q already is %s", e.DataCentre, e.State)
}

// Drain takes a data centre out of service. Its error is an *AlreadyError, or one
// of Publish.
func (o *Client) Drain(ctx context.Context, now time.Time, dc id.DataCentre, comment string) (id.Offset, error) {
	s, err := o.State(ctx)
	if err != nil {
		return 0, err
	}
	rules := s.Rules()
	if rules.Drained(dc) {
		return 0, &AlreadyInStateError{DataCentre: dc, State: "drained"}
	}
	line := fmt.Sprintf("drain data_centre=%s # %s: %s\n", dc, o.cfg.OperatorName, oneLine(comment))
	text := rules.Text
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return o.Publish(ctx, now, rulesInForce, text+line, rules.Offset)
}

// Undrain puts a data centre back into service. Its error is an *AlreadyError, or
// one of Publish.
func (o *Client) Undrain(ctx context.Context, now time.Time, dc id.DataCentre) (id.Offset, error) {
	s, err := o.State(ctx)
	if err != nil {
		return 0, err
	}
	rules := s.Rules()
	d, ok := rules.Drains[dc]
	if !ok {
		return 0, &AlreadyInStateError{DataCentre: dc, State: "in service"}
	}
	return o.Publish(ctx, now, rulesInForce, withoutLine(rules, d), rules.Offset)
}

// withoutLine returns the text of the rules without the line of d.
func withoutLine(rules *rule.Set, d *rule.Drain) string {
	lines := strings.Split(rules.Text, "\n")
	return strings.Join(append(lines[:d.Line-1:d.Line-1], lines[d.Line:]...), "\n")
}

// oneLine keeps a comment from starting a new rule.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
