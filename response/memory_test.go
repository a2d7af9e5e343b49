package response_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/id"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
	"github.com/ragwortpass/ragwortpass/response"
)

func ExampleMemory_ReadBody() {
	memory := response.NewMemory(160) // megabytes
	body, err := memory.ReadBody("i-1", strings.NewReader("ready"), 1<<20)
	defer body.Release()
	fmt.Println(string(body.Bytes()), body.Len(), err)
	// Output: ready 5 <nil>
}

// TestGreedyUpstreamsLeaveMemory has upstreams take all that they can get: an upstream that comes later
// gets its part of what is there.
func TestGreedyUpstreamsLeaveMemory(t *testing.T) {
	const step = response.ChunkBytes
	memory := response.NewMemory(160)
	limit := int64(160 * 0.15 * (1 << 20))
	for n := range int64(4) {
		share := memory.Share(id.Upstream(fmt.Sprint("greedy-", n)))
		size := int64(0)
		for share.GrowTo(size+step) == nil {
			size += step
		}
		require.Positive(t, size)
	}
	late := memory.Share("late")
	require.NoError(t, late.GrowTo(limit/32-step))
}

// TestSharesAddUp reserves and releases shares of several upstreams in any order: never is more reserved than
// there is, and all of it comes back.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := response.NewMemory(10)
		limit := int64(10 * 0.15 * (1 << 20))
		sizes := make([]int64, 6)
		shares := make([]*response.Share, len(sizes))
		for i := range shares {
			shares[i] = memory.Share(id.Upstream(fmt.Sprint("i-", i%3)))
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
				require.ErrorIs(t, err, response.ErrMemoryTaken)
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
		require.NoError(t, memory.Share("i-0").GrowTo(limit/2))
	})
}

// TestBodyErrors checks what a body that cannot be read whole leaves behind.
func TestBodyErrors(t *testing.T) {
	memory := response.NewMemory(10)
	body, err := memory.ReadBody("i-1", bytes.NewReader(make([]byte, 300<<10)), 200<<10)
	require.ErrorIs(t, err, response.ErrTooLarge)
	body.Release()
	body, err = memory.ReadBody("i-1", bytes.NewReader(make([]byte, 2<<20)), 4<<20)
	require.ErrorIs(t, err, response.ErrMemoryTaken)
	body.Release()
	body, err = memory.ReadBody("i-1", iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("cut"))), 10)
	require.ErrorIs(t, err, iotest.ErrTimeout)
	require.Equal(t, 1, body.Len())
	body.Release()
}
