package logbook_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// lossy is a log whose appends are folded at once, and whose answers are lost every
// third time.
type lossy struct {
	state *logbook.State

	mu      sync.Mutex
	appends int
}

func (l *lossy) Read(context.Context, id.Offset, time.Duration) (hosting.Page, error) {
	panic("unreachable")
}

func (l *lossy) Append(_ context.Context, payload []byte) (id.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	at := l.state.Offset() + 1
	l.state.Apply(at, payload)
	if l.appends%3 == 0 {
		return 0, errors.New("answer lost")
	}
	return at, nil
}

// TestWriterBatches has many records appended at once: each is folded once, and the
// appends stay within their rate.
func TestWriterBatches(t *testing.T) {
	const (
		records       = 2000
		appendsSecond = 20
	)
	state := logbook.NewState()
	l := &lossy{state: state}
	w := logbook.NewWriter(l, state, "w", log.NewNopLogger(), metrics.NewRegistry())
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	begin := time.Now()
	go w.Run(ctx)
	var wg sync.WaitGroup
	for i := range records {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond / 2)
			o, err := w.Append(ctx, time.Now(), &ragwortv1.Record{Body: &ragwortv1.Record_KeyWithdrawn{
				KeyWithdrawn: &ragwortv1.KeyWithdrawn{Key: id.New("k", time.Now())},
			}})
			if err != nil || o.Result != logbook.Accepted {
				t.Errorf("record %d: %v %v", i, o.Result, err)
			}
		})
	}
	wg.Wait()
	require.Len(t, state.Snapshot().GetWithdrawnKeys(), records)
	l.mu.Lock()
	defer l.mu.Unlock()
	// Each lost answer is followed by a repeat at once.
	require.LessOrEqual(t, l.appends, 2*(1+int(time.Since(begin).Seconds()*appendsSecond+1)))
	t.Logf("%d records in %d appends within %v", records, l.appends, time.Since(begin))
}

// TestAbandonedRecord gives a record up whose fate is not known, and one that was
// never sent.
func TestAbandonedRecord(t *testing.T) {
	state := logbook.NewState()
	w := logbook.NewWriter(&stuck{}, state, "w", log.NewNopLogger(), metrics.NewRegistry())
	run, stop := context.WithCancel(t.Context())
	defer stop()
	record := func() *ragwortv1.Record {
		return &ragwortv1.Record{Body: &ragwortv1.Record_KeyWithdrawn{KeyWithdrawn: &ragwortv1.KeyWithdrawn{Key: "k"}}}
	}
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := w.Append(short, time.Now(), record())
	var notSent *logbook.NotSentError
	require.ErrorAs(t, err, &notSent, "no writer runs")
	go w.Run(run)
	short, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = w.Append(short, time.Now(), record())
	var uncertain *logbook.UncertainError
	require.ErrorAs(t, err, &uncertain)
}

// stuck is a log that does not answer.
type stuck struct{}

func (*stuck) Read(context.Context, id.Offset, time.Duration) (hosting.Page, error) {
	panic("unreachable")
}

func (*stuck) Append(ctx context.Context, _ []byte) (id.Offset, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}
