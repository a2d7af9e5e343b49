package key_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// secretText returns the text that String hides.
func secretText(s key.Secret) string { return string([]byte(s)) }

// TestAuthenticate checks that only the right secret of a key that is not withdrawn is
// accepted, and that neither errors nor String reveal a secret.
func TestAuthenticate(t *testing.T) {
	table := key.NewTable()
	good, goodRecord := key.Generate(time.Now(), "forge", nil, "")
	withdrawn, withdrawnRecord := key.Generate(time.Now(), "forge", nil, "")
	require.True(t, table.ApplyGiven(goodRecord))
	require.True(t, table.ApplyGiven(withdrawnRecord))
	require.True(t, table.ApplyWithdrawn(&ragwortv1.KeyWithdrawn{Key: withdrawnRecord.GetKey()}))
	require.True(t, table.ApplyWithdrawn(&ragwortv1.KeyWithdrawn{Key: "never"}))
	require.False(t, table.ApplyGiven(withdrawnRecord), "an ID must not be given again")
	require.False(t, table.ApplyGiven(&ragwortv1.KeyGiven{Key: "never", Workspace: "forge", Digest: goodRecord.GetDigest()}), "an ID must not be given again")

	cases := []struct {
		name, presented string
		want            any // pointer to a variable of the error's type; nil: valid
	}{
		{"valid", secretText(good), nil},
		{"withdrawn", secretText(withdrawn), new(*key.WithdrawnError)},
		{"withdrawn, wrong secret", secretText(withdrawn) + "x", new(*key.UnknownError)},
		{"valid id, wrong secret", secretText(good) + "x", new(*key.UnknownError)},
		{"other id's secret", "rw_" + goodRecord.GetKey() + "_" + strings.SplitN(secretText(withdrawn), "_", 3)[2], new(*key.UnknownError)},
		{"unknown id", "rw_nobody_secret", new(*key.UnknownError)},
		{"withdrawn, never given", "rw_never_secret", new(*key.UnknownError)},
		{"no secret", "rw_" + goodRecord.GetKey(), new(*key.MalformedError)},
		{"empty secret", "rw_" + goodRecord.GetKey() + "_", new(*key.MalformedError)},
		{"empty", "", new(*key.MalformedError)},
	}
	for _, c := range cases {
		k, err := table.Authenticate(key.Secret(c.presented))
		if c.want == nil {
			require.NoError(t, err, c.name)
			require.Equal(t, goodRecord.GetKey(), string(k.ID))
			continue
		}
		require.ErrorAs(t, err, c.want, c.name)
		if _, secret, ok := strings.Cut(strings.TrimPrefix(c.presented, "rw_"), "_"); ok && secret != "" {
			require.NotContains(t, err.Error(), secret, c.name)
		}
	}
	require.NotContains(t, good.String(), strings.SplitN(secretText(good), "_", 3)[2])
}

// TestWithdrawalCancelsRequests checks that the requests of a withdrawn key are cancelled,
// also one that starts after the withdrawal, and that those of other keys go on.
func TestWithdrawalCancelsRequests(t *testing.T) {
	table := key.NewTable()
	_, record := key.Generate(time.Now(), "forge", nil, "")
	_, other := key.Generate(time.Now(), "forge", nil, "")
	table.ApplyGiven(record)
	table.ApplyGiven(other)
	tracker := key.NewRequestTracker(table)
	keyID := table.All()[0].ID
	ctx, done := tracker.Track(t.Context(), keyID)
	defer done()
	otherCtx, doneOther := tracker.Track(t.Context(), table.All()[1].ID)
	defer doneOther()
	_, doneEarlier := tracker.Track(t.Context(), keyID)
	doneEarlier()

	require.Zero(t, tracker.CancelWithdrawn())
	table.ApplyWithdrawn(&ragwortv1.KeyWithdrawn{Key: string(keyID)})
	require.Equal(t, 1, tracker.CancelWithdrawn())
	var withdrawn *key.WithdrawnError
	require.ErrorAs(t, context.Cause(ctx), &withdrawn)
	require.NoError(t, otherCtx.Err())

	lateCtx, doneLate := tracker.Track(t.Context(), keyID)
	defer doneLate()
	require.ErrorAs(t, context.Cause(lateCtx), &withdrawn, "a request that starts after the withdrawal must be cancelled")
}
