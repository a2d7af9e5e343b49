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

func newOperator(t *testing.T) (*operator.Client, *standin.Platform) {
	p := standin.NewPlatform()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return operator.New(operator.Config{Platform: server.URL, OperatorName: "niran"}, process.NewExternalClient(), process.NewPeerClient()), p
}

func rules(t *testing.T, o *operator.Client) *rule.Set {
	s, err := o.State(context.Background())
	require.NoError(t, err)
	return s.Rules()
}

func TestPublishOnAnOldBaseConflicts(t *testing.T) {
	o, _ := newOperator(t)
	first, err := o.Publish(t.Context(), time.Now(), "f", rulesText, 0)
	require.NoError(t, err)
	_, err = o.Publish(t.Context(), time.Now(), "f", rulesText+"\n", 0)
	var conflict *operator.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, first, rules(t, o).Offset)
	require.Equal(t, rulesText, rules(t, o).Text)
}

func TestPublishRefusesFaults(t *testing.T) {
	o, _ := newOperator(t)
	_, err := o.Publish(t.Context(), time.Now(), "f", "group name=a # x", 0)
	var faults rule.Errors
	require.ErrorAs(t, err, &faults)
	require.Equal(t, id.Offset(0), rules(t, o).Offset)
}

func TestLostAnswersChangeNothing(t *testing.T) {
	o, p := newOperator(t)
	p.SetFaults(standin.PlatformFaults{LoseAnswers: 2})
	offset, err := o.Publish(t.Context(), time.Now(), "f", rulesText, 0)
	require.NoError(t, err)
	require.Equal(t, offset, rules(t, o).Offset)
	_, kid, err := o.GiveKey(t.Context(), time.Now(), "w", nil, "Malee")
	require.NoError(t, err)
	require.NoError(t, o.WithdrawKey(t.Context(), time.Now(), kid, "Malee"))
	s, err := o.State(t.Context())
	require.NoError(t, err)
	require.True(t, s.Keys.All()[0].Withdrawn)
}

func TestDrainAndUndrain(t *testing.T) {
	o, _ := newOperator(t)
	_, err := o.Publish(t.Context(), time.Now(), "f", rulesText, 0)
	require.NoError(t, err)
	_, err = o.Drain(t.Context(), time.Now(), "th-b", "power works\nclass name=x tier=gold")
	require.NoError(t, err)
	require.True(t, rules(t, o).Drained("th-b"))
	require.Len(t, rules(t, o).Classes, 1)
	var already *operator.AlreadyInStateError
	_, err = o.Drain(t.Context(), time.Now(), "th-b", "again")
	require.ErrorAs(t, err, &already)
	_, err = o.Undrain(t.Context(), time.Now(), "th-b")
	require.NoError(t, err)
	require.False(t, rules(t, o).Drained("th-b"))
	_, err = o.Undrain(t.Context(), time.Now(), "th-b")
	require.ErrorAs(t, err, &already)
}
