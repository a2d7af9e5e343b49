package memory_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/memory"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
)

func ExampleShare_ReadBody() {
	budgets := memory.NewBudgets(160) // megabytes
	body, err := budgets.Responses.Share("i-1").ReadBody(strings.NewReader("ready"), 1<<20)
	defer body.Release()
	fmt.Println(string(body.Bytes()), body.Len(), err)
	// Output: ready 5 <nil>
}

// TestGreedyUpstreamsLeaveMemory has upstreams take all that they can get: an upstream that comes later
// gets its part of what is there.
func TestGreedyUpstreamsLeaveMemory(t *testing.T) {
	const (
		step  = memory.ChunkBytes
		limit = 24 << 20
	)
	budget := memory.NewBudget(limit)
	for n := range int64(4) {
		share := budget.Share(memory.Holder(fmt.Sprint("greedy-", n)))
		size := int64(0)
		for share.GrowTo(size+step) == nil {
			size += step
		}
		require.Positive(t, size)
	}
	late := budget.Share("late")
	require.NoError(t, late.GrowTo(limit/32-step))
}

// TestSharesAddUp reserves and releases shares of several upstreams in any order: never is more reserved than
// there is, and all of it comes back.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit int64 = 3 << 19
		budget := memory.NewBudget(limit)
		sizes := make([]int64, 6)
		shares := make([]*memory.Share, len(sizes))
		for i := range shares {
			shares[i] = budget.Share(memory.Holder(fmt.Sprint("i-", i%3)))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(shares)-1).Draw(t, "share")
			if rapid.Bool().Draw(t, "release") {
				shares[i].Release()
				sizes[i] = 0
				continue
			}
			size := rapid.Int64Range(0, limit).Draw(t, "size")
			if err := shares[i].GrowTo(size); err == nil {
				sizes[i] = max(sizes[i], size)
			} else {
				require.ErrorIs(t, err, memory.ErrFull)
			}
			sum := int64(0)
			for _, size := range sizes {
				sum += size
			}
			require.LessOrEqual(t, sum, limit)
		}
		for _, s := range shares {
			s.Release()
		}
		require.NoError(t, budget.Share("i-0").GrowTo(limit/2))
	})
}

// TestBodyErrors checks what a body that cannot be read whole leaves behind.
func TestBodyErrors(t *testing.T) {
	budget := memory.NewBudget(3 << 19)
	read := func(body io.Reader, size int) (*memory.Buffer, error) {
		return budget.Share("i-1").ReadBody(body, size)
	}
	body, err := read(bytes.NewReader(make([]byte, 300<<10)), 200<<10)
	require.ErrorIs(t, err, memory.ErrTooLarge)
	body.Release()
	body, err = read(bytes.NewReader(make([]byte, 2<<20)), 4<<20)
	require.ErrorIs(t, err, memory.ErrFull)
	body.Release()
	body, err = read(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("cut"))), 10)
	require.ErrorIs(t, err, iotest.ErrTimeout)
	require.Equal(t, 1, body.Len())
	body.Release()
	body, err = budget.Share("i-1").ReadLength(strings.NewReader("cut"), 5)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, "cut", string(body.Bytes()))
	body.Release()
	require.Zero(t, budget.Used())
}

// TestBodyNeedsMemoryFirst guards against a body being read that there is no memory for.
func TestBodyNeedsMemoryFirst(t *testing.T) {
	budget := memory.NewBudget(10 << 10)
	unread := strings.NewReader(strings.Repeat("x", 6<<10))
	_, err := budget.Share("ws").ReadLength(unread, unread.Len())
	require.Equal(t, &memory.FullError{Asked: 6 << 10, Limit: 10 << 10}, err)
	require.Equal(t, 6<<10, unread.Len())
}

// TestUrgentHoldersHaveRoom has a holder take all that those who matter less may have: one that matters more
// finds what they leave.
func TestUrgentHoldersHaveRoom(t *testing.T) {
	budget := memory.NewBudget(1000)
	for n := range 20 {
		less := budget.ShareLeaving(memory.Holder(fmt.Sprint("less-", n)), 0.2)
		for size := int64(1); less.GrowTo(size) == nil; size++ {
			require.LessOrEqual(t, budget.Used(), int64(800))
		}
	}
	require.NoError(t, budget.Share("more").GrowTo(100))
	require.ErrorIs(t, budget.Share("more").GrowTo(101), memory.ErrFull)
}

// TestBodyInChunks reads bodies of many sizes: what comes back is what was read, and the share has at least
// as much.
func TestBodyInChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOfN(rapid.Byte(), 0, 200<<10).Draw(t, "content")
		budget := memory.NewBudget(1 << 20)
		body, err := budget.Share("ws").ReadBody(iotest.HalfReader(bytes.NewReader(content)), len(content))
		require.NoError(t, err)
		require.GreaterOrEqual(t, budget.Used(), int64(len(content)))
		read, err := io.ReadAll(body.Reader())
		require.NoError(t, err)
		require.True(t, bytes.Equal(content, read) && bytes.Equal(content, body.Bytes()))
		body.Release()
		require.Zero(t, budget.Used())
	})
}
