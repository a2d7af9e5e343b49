package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
)

// TestShortPromptIsRefusedForBacklogOfOtherGroup guards against short prompts that are refused for the backlog of the
// engines for long ones, to which a full group sends them, while their own engines have none.
func TestShortPromptIsRefusedForBacklogOfOtherGroup(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := New(new(catalog.Latest))
	p.SetGatewayCount(5)
	for i := range 9 {
		p.Put(now, Listing{ID: id.Upstream(fmt.Sprint("i-", i)), Service: "llm", Slots: 128})
	}
	engines := p.byService["llm"]
	forLong := engines[:5]
	for _, u := range forLong {
		u.backlog[0] = 60_000
	}
	rq := &Request{
		Service: "llm", MaxWait: 300 * time.Millisecond,
		Prompt: Prompt{Model: "m", Length: 150, Parts: []PromptPart{{ID: "shared", Tokens: 50}, {ID: "own", Tokens: 100}}},
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	admitted, refused := p.admit(now, forLong[0], forLong, engines, rq)
	require.Nil(t, refused)
	require.Zero(t, admitted.upstream.backlog[0])
	require.InDelta(t, 150, admitted.ahead, 1)
}
