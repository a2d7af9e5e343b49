package operator_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/operator"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/standin"
)

const rulesText = `class name=a tier=gold # Malee
workspace name=w # Malee`

func newClient(t *testing.T) (*operator.Client, *standin.Platform) {
	p := standin.NewPlatform()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return operator.New(operator.Config{Platform: server.URL, OperatorName: "niran"}, process.NewExternalClient(), process.NewPeerClient()), p
}

func rules(t *testing.T, c *operator.Client) *rule.Set {
	s, err := c.State(context.Background())
	require.NoError(t, err)
	return s.Rules()
}

// TestPublishOnOutdatedBaseConflicts checks that a publish does not overwrite rules that
// another operator published in the meantime.
func TestPublishOnOutdatedBaseConflicts(t *testing.T) {
	c, _ := newClient(t)
	first, err := c.Publish(t.Context(), time.Now(), "f", rulesText, 0)
	require.NoError(t, err)
	_, err = c.Publish(t.Context(), time.Now(), "f", rulesText+"\n", 0)
	var conflict *operator.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, first, rules(t, c).Offset)
	require.Equal(t, rulesText, rules(t, c).Text)
}

// TestPublishRejectsInvalidRules checks that invalid rules are reported to the operator and
// do not replace those in force.
func TestPublishRejectsInvalidRules(t *testing.T) {
	c, _ := newClient(t)
	_, err := c.Publish(t.Context(), time.Now(), "f", "group name=a # x", 0)
	var ruleErrors rule.Errors
	require.ErrorAs(t, err, &ruleErrors)
	require.Equal(t, id.Offset(0), rules(t, c).Offset)
}

// TestChangesSucceedDespiteLostResponses checks that a change whose append succeeded
// without a response is retried, and applied once.
func TestChangesSucceedDespiteLostResponses(t *testing.T) {
	c, p := newClient(t)
	p.SetFaults(standin.PlatformFaults{DropAppendResponses: 2})
	offset, err := c.Publish(t.Context(), time.Now(), "f", rulesText, 0)
	require.NoError(t, err)
	require.Equal(t, offset, rules(t, c).Offset)
	_, keyID, err := c.GiveKey(t.Context(), time.Now(), "w", nil, "Malee")
	require.NoError(t, err)
	require.NoError(t, c.WithdrawKey(t.Context(), time.Now(), keyID, "Malee"))
	s, err := c.State(t.Context())
	require.NoError(t, err)
	require.True(t, s.Keys.All()[0].Withdrawn)
}

// TestDrainAndUndrain drains a data centre with a comment that contains a line break, which
// must not add a rule, and puts it back into service.
func TestDrainAndUndrain(t *testing.T) {
	c, _ := newClient(t)
	_, err := c.Publish(t.Context(), time.Now(), "f", rulesText, 0)
	require.NoError(t, err)
	_, err = c.Drain(t.Context(), time.Now(), "th-b", "power works\nclass name=x tier=gold")
	require.NoError(t, err)
	require.True(t, rules(t, c).Drained("th-b"))
	require.Len(t, rules(t, c).Classes, 1)
	var already *operator.AlreadyInStateError
	_, err = c.Drain(t.Context(), time.Now(), "th-b", "again")
	require.ErrorAs(t, err, &already)
	_, err = c.Undrain(t.Context(), time.Now(), "th-b")
	require.NoError(t, err)
	require.False(t, rules(t, c).Drained("th-b"))
	_, err = c.Undrain(t.Context(), time.Now(), "th-b")
	require.ErrorAs(t, err, &already)
}
