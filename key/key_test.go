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

// text returns a secret as a caller presents it.
func text(s key.Secret) string { return string([]byte(s)) }

func TestCheck(t *testing.T) {
	table := key.NewTable()
	good, goodRecord := key.Generate(time.Now(), "forge", nil, "")
	gone, goneRecord := key.Generate(time.Now(), "forge", nil, "")
	require.True(t, table.ApplyGiven(goodRecord))
	require.True(t, table.ApplyGiven(goneRecord))
	require.True(t, table.ApplyWithdrawn(&ragwortv1.KeyWithdrawn{Key: goneRecord.GetKey()}))
	require.True(t, table.ApplyWithdrawn(&ragwortv1.KeyWithdrawn{Key: "never"}))
	require.False(t, table.ApplyGiven(goneRecord), "no id returns")
	require.False(t, table.ApplyGiven(&ragwortv1.KeyGiven{Key: "never", Workspace: "forge", Digest: goodRecord.GetDigest()}), "no id returns")

	cases := []struct {
		name, presented string
		want            any // a pointer to the error's type; nil: valid
	}{
		{"valid", text(good), nil},
		{"withdrawn", text(gone), new(*key.WithdrawnError)},
		{"withdrawn, wrong secret", text(gone) + "x", new(*key.UnknownError)},
		{"valid id, wrong secret", text(good) + "x", new(*key.UnknownError)},
		{"other id's secret", "rw_" + goodRecord.GetKey() + "_" + strings.SplitN(text(gone), "_", 3)[2], new(*key.UnknownError)},
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
	require.NotContains(t, good.String(), strings.SplitN(text(good), "_", 3)[2])
}

func TestUsesEndWithTheirKey(t *testing.T) {
	table := key.NewTable()
	_, record := key.Generate(time.Now(), "forge", nil, "")
	_, other := key.Generate(time.Now(), "forge", nil, "")
	table.ApplyGiven(record)
	table.ApplyGiven(other)
	uses := key.NewRequestTracker(table)
	kid := table.All()[0].ID
	ctx, done := uses.Track(t.Context(), kid)
	defer done()
	others, doneOthers := uses.Track(t.Context(), table.All()[1].ID)
	defer doneOthers()
	_, doneEarlier := uses.Track(t.Context(), kid)
	doneEarlier()

	require.Zero(t, uses.CancelWithdrawn())
	table.ApplyWithdrawn(&ragwortv1.KeyWithdrawn{Key: string(kid)})
	require.Equal(t, 1, uses.CancelWithdrawn())
	var withdrawn *key.WithdrawnError
	require.ErrorAs(t, context.Cause(ctx), &withdrawn)
	require.NoError(t, others.Err())

	late, doneLate := uses.Track(t.Context(), kid)
	defer doneLate()
	require.ErrorAs(t, context.Cause(late), &withdrawn, "a use that starts after the withdrawal")
}
