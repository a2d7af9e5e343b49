package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/quarantine"
	"github.com/ragwortpass/ragwortpass/quota"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
	"github.com/ragwortpass/ragwortpass/rollout"
)

// infoCodec is a codec of which only the information about a request matters.
type infoCodec struct {
	HeaderCodec
	info *RequestInfo
}

func (c infoCodec) ParseRequest(http.Header) RequestInfo { return *c.info }

// explainedGateway is a gateway whose time and state a test sets. It is also its catalog status and its logger.
type explainedGateway struct {
	*Gateway
	info     RequestInfo // of the next request
	now      time.Time
	catalog  *catalog.Latest
	pool     *pool.Pool
	register *rollout.Register
	random   func() float64 // of the register
	stale    bool
	lines    int
	running  []*pool.Assignment
}

func (x *explainedGateway) Fresh(time.Time) bool            { return !x.stale }
func (x *explainedGateway) Failing(time.Time) time.Duration { return 0 }
func (x *explainedGateway) Contact() (time.Time, bool)      { return x.now, true }
func (x *explainedGateway) Log(...any) error {
	x.lines++
	return nil
}

// explainedCatalog returns a catalog of two routes to model engines and one to a plain service.
func explainedCatalog() *catalog.Catalog {
	first := 0
	c := &catalog.Catalog{
		Version: 3, RequireKeys: true,
		Routes: []catalog.Route{
			{Name: "chat", Host: "models.example", PathPrefix: "/chat/", Kind: catalog.KindResumable, Timeout: 20 * time.Second, LatencyObjective: time.Second, MaxEventGap: 200 * time.Millisecond, MaxAttempts: 3, Services: []catalog.WeightedService{{Service: "models", Weight: 3}, {Service: "spare", Weight: 1}}},
			{Name: "batch", Host: "models.example", PathPrefix: "/", Kind: catalog.KindOnce, Priority: 2, MaxAttempts: 1, Public: true, Services: []catalog.WeightedService{{Service: "models", Weight: 1}}},
		},
		Services: map[id.Service]*catalog.Service{
			"models": {Name: "models", Cold: catalog.ColdLimit{Duration: 3 * time.Second, RequestsPerSecond: 20}}, "spare": {Name: "spare"},
		},
		Workspaces: map[string]*catalog.Workspace{"key-1": {Name: "korat-forge", Priority: &first}, "key-2": {Name: "hinge"}},
		Limits:     catalog.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20},
	}
	c.Index()
	return c
}

// newExplainedGateway returns a gateway with upstreams of both services, whose models have an order if it is ordered.
func newExplainedGateway(upstreams int, ordered bool) *explainedGateway {
	x := &explainedGateway{now: time.Unix(1_800_000_000, 0), catalog: new(catalog.Latest)}
	x.catalog.Update(explainedCatalog())
	x.pool = pool.New(x.catalog)
	x.pool.UseRandom(rand.New(rand.NewPCG(1, 1)))
	x.register = rollout.New(rollout.Config{Share: 0.2, Slack: 50, Rollback: time.Minute}, func() float64 { return x.random() })
	x.random = rand.New(rand.NewPCG(2, 2)).Float64
	for i := range upstreams {
		x.pool.Put(x.now, x.listing(i))
	}
	x.pool.Put(x.now, pool.Listing{ID: "s-0", Service: "spare", Address: "10.0.1.1:80", DataCentre: "th-a"})
	if ordered {
		x.register.Order(x.now, rollout.Order{Service: "models", Target: "v1", Duration: 20 * time.Second, Offset: 7})
		x.round()
	}
	x.Gateway = New(Deps{
		Codec: infoCodec{info: &x.info}, Catalog: x.catalog, Pool: x.pool, RetryBudgets: NewRetryBudgets(RetryBudgetConfig{Ratio: 0.2, Slack: 40, Window: 10 * time.Second}),
		CatalogStatus: x, Memory: memory.NewBudgets(0), Quarantine: quarantine.New(), Rollouts: x.register, FleetTime: func() time.Time { return x.now },
		Metrics: metrics.NewRegistry(), Logger: log.LoggerFunc(x.Log),
	})
	return x
}

func (x *explainedGateway) listing(i int) pool.Listing {
	return pool.Listing{
		ID: id.Upstream(fmt.Sprint("m-", i)), Service: "models", Address: fmt.Sprintf("10.0.0.%d:80", i+1), DataCentre: id.DataCentre(fmt.Sprint("th-", i%2)),
		Version: id.Version(fmt.Sprint("v", i%2)), StartUnixMS: 1, Slots: 8,
	}
}

// round tells the register what runs.
func (x *explainedGateway) round() {
	versions := make(map[id.Version]rollout.Load)
	for v, l := range x.pool.Versions("models") {
		versions[v] = rollout.Load{Upstreams: l.Upstreams, Slots: l.Slots, Running: l.Running}
	}
	x.register.SetService(x.now, "models", rollout.Service{Known: true, Versions: versions})
	x.register.Round(x.now, nil, 0)
}

// drawQuestion draws a question, most of which the gateway knows how to answer.
func drawQuestion(t *rapid.T) *Question {
	q := &Question{
		Method: http.MethodPost, Host: rapid.SampledFrom([]string{"models.example", "models.example:80", "models.example", "other.example"}).Draw(t, "host"),
		Path: rapid.SampledFrom([]string{"/chat/x", "/chat/x", "/x"}).Draw(t, "path"), Top: 4,
		Info: RequestInfo{
			ID: "rq", Key: rapid.SampledFrom([]string{"key-1", "key-1", "key-2", "key-2", "key-9", ""}).Draw(t, "key"),
			Timeout: time.Duration(rapid.SampledFrom([]int{0, 300, 4000}).Draw(t, "timeout")) * time.Millisecond,
		},
	}
	if rapid.IntRange(0, 3).Draw(t, "has prompt") > 0 {
		shared, own := id.Tokens(rapid.IntRange(0, 6000).Draw(t, "shared")), id.Tokens(rapid.IntRange(1, 40_000).Draw(t, "own"))
		q.Info.Prompt = pool.Prompt{Model: "m", Length: shared + own, Output: 300, Parts: []pool.PromptPart{{ID: id.PromptPart(rapid.SampledFrom([]string{"a", "b", "held"}).Draw(t, "part")), Tokens: shared}, {ID: "own", Tokens: own}}}
	}
	return q
}

// send decides on a request as dispatch does, up to the point at which it is sent.
func (x *explainedGateway) send(q *Question) (*request, *pool.Assignment, *problem.Problem, *pool.Throttled) {
	x.info = q.Info
	r := httptest.NewRequest(q.Method, "http://"+q.Host+q.Path, http.NoBody)
	req, p := x.check(r, x.now)
	if p == nil {
		p = x.reserve(r, req)
	}
	if p != nil {
		return req, nil, p, nil
	}
	defer req.share.Release()
	f := &forwarding{gateway: x.Gateway, req: req, parts: partIDs(&req.info.Prompt)}
	x.deps.Quarantine.CountRequest(f.parts)
	x.deps.RetryBudgets.CountRequest(x.now, req.service)
	if p := f.heldProblem(); p != nil {
		return req, nil, p, nil
	}
	assignment, p, turn := f.tryChoice(x.now, x.now, f.query(x.now))
	return req, assignment, p, turn
}

// step changes the state of the gateway.
func (x *explainedGateway) step(t *rapid.T) {
	x.now = x.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
	l := x.listing(rapid.IntRange(0, 5).Draw(t, "upstream"))
	switch rapid.IntRange(0, 24).Draw(t, "step") {
	case 0:
		for i := range rapid.SampledFrom([]int{1, 6}).Draw(t, "cold") {
			l := x.listing(i)
			l.ColdFor = 2 * time.Second
			x.pool.Put(x.now, l)
		}
	case 1:
		l.Draining = rapid.Bool().Draw(t, "draining")
		x.pool.Put(x.now, l)
	case 2:
		x.pool.SetEvacuated(x.now, l.DataCentre, rapid.Bool().Draw(t, "evacuated"))
	case 3:
		x.pool.AskWait(x.now, &l, time.Second)
	case 4:
		limited, limit := rapid.Bool().Draw(t, "limited"), id.PerSecond(rapid.IntRange(1, 9).Draw(t, "limit"))
		for i := range rapid.SampledFrom([]int{1, 6}).Draw(t, "upstreams") {
			x.pool.HearLimit(x.now, new(x.listing(i)), limited, limit, x.now)
		}
	case 5:
		x.pool.SetFleet(quota.NewFleet("g-0", []id.Node{"g-0", "g-1", "g-2"}[:rapid.IntRange(1, 3).Draw(t, "members")], x.now, x.now))
	case 6:
		x.round()
		x.register.Adopt(rollout.Record{Service: "models", Target: "v1", Order: 7, State: rollout.State(rapid.IntRange(1, 4).Draw(t, "state")), Started: x.now, At: x.now})
	case 7:
		x.deps.Quarantine.Restore(x.now, []quarantine.Hold{{Part: "held", Since: x.now, Crashes: 3}})
	case 8:
		x.stale = rapid.Bool().Draw(t, "stale")
	case 9:
		if len(x.running) > 0 {
			x.running[0].PrefillDone(x.now)
			x.running[0].End(x.now)
			x.running = x.running[1:]
		}
	default:
		q := drawQuestion(t)
		for range rapid.SampledFrom([]int{1, 30}).Draw(t, "requests") {
			if _, a, _, _ := x.send(q); a != nil {
				x.running = append(x.running, a)
			}
		}
	}
}

// state returns what an explanation must not change.
func (x *explainedGateway) state() any {
	counts := map[string]int64{}
	x.deps.Metrics.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok {
			counts[name] = c.Count()
		}
	})
	x.deps.RetryBudgets.mu.Lock()
	defer x.deps.RetryBudgets.mu.Unlock()
	budgets := map[id.Service]serviceBudget{}
	for s, b := range x.deps.RetryBudgets.byService {
		budgets[s] = *b
	}
	report, version := x.deps.Quarantine.Report(x.now, true)
	r := rand.New(rand.NewPCG(5, 5))
	register := x.register.Snapshot("models", nil)
	return []any{
		x.pool.Snapshot("models", x.catalog, r), x.pool.Snapshot("spare", x.catalog, r), register, x.register.Version(), x.register.Reports(), budgets, report, version, counts,
		x.deps.Memory.Requests.Used(), x.lines, x.InFlight(), x.lastActivity.Load(),
	}
}

// TestExplanationComesTrue answers explanations that change something, and those after which the same request goes
// elsewhere or is refused for another reason.
func TestExplanationComesTrue(t *testing.T) {
	verdicts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		x := newExplainedGateway(6, rapid.Bool().Draw(t, "ordered"))
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			x.step(t)
		}
		q := drawQuestion(t)
		if strings.HasPrefix(q.Path, "/chat/") && q.Host != "other.example" && strings.HasPrefix(q.Info.Key, "key-") && q.Info.Key != "key-9" {
			q.Service = "models"
		}
		seed := func() rand.Source { return rand.NewPCG(9, 9) }
		before := x.state()
		said, err := x.explain(x.now, q, seed)
		require.NoError(t, err)
		require.Equal(t, before, x.state())
		require.LessOrEqual(t, len(said.Candidates), q.Top)

		x.pool.UseRandom(rand.New(seed()))
		x.random = rand.New(seed()).Float64
		if c := x.catalog.Load(); q.Service != "" { // which the request then draws
			c.Route("models.example", q.Path).Services = []catalog.WeightedService{{Service: q.Service, Weight: 1}}
		}
		req, assignment, refusal, turn := x.send(q)
		if req.service != "" {
			require.Equal(t, said.Caller.Workspace, req.workspace)
			require.Equal(t, said.Caller.Urgency, req.urgency)
			require.Equal(t, said.Service, req.service)
		}
		switch {
		case refusal != nil:
			verdicts[string(refusal.Reason)]++
			require.Equal(t, WouldBeRefused, said.Verdict)
			require.Equal(t, &ExplainedRefusal{Reason: refusal.Reason, Status: refusal.Status, Detail: refusal.Detail, RetryAfterMS: refusal.RetryAfter.Milliseconds()}, said.Refusal)
			require.Nil(t, said.Target)
		case assignment != nil:
			verdicts[assignment.Reason]++
			require.Equal(t, WouldBeSent, said.Verdict)
			require.Equal(t, assignment.Upstream.ID, said.Target.Upstream)
			require.Equal(t, assignment.Reason, said.Target.Choice)
			require.Equal(t, assignment.Expected.Milliseconds(), said.Target.ExpectedMS)
			require.True(t, said.Candidates[0].Chosen)
			require.Equal(t, assignment.Upstream.ID, said.Candidates[0].Upstream)
			require.Empty(t, said.Candidates[0].Excluded)
		default:
			verdicts["waits"]++
			require.Equal(t, WouldWait, said.Verdict)
			require.Equal(t, turn.Until.Sub(x.now).Milliseconds(), said.Wait.ExpectedMS)
		}
	})
	for _, verdict := range []string{"waits", "affine", "least_of_two", "key_unknown", "route_unknown", "stale_config", "prompt_held", "no_upstream", "upstream_overloaded"} {
		require.Positive(t, verdicts[verdict], "%s: %v", verdict, verdicts)
	}
}

// TestExplanationWithoutConfiguration answers an operator who asks a gateway that knows nothing yet.
func TestExplanationWithoutConfiguration(t *testing.T) {
	x := newExplainedGateway(1, false)
	x.deps.Catalog = new(catalog.Latest)
	said, err := x.Explain(x.now, &Question{Host: "models.example", Path: "/", Workspace: "hinge"})
	require.NoError(t, err)
	require.Equal(t, problem.NotReady, said.Refusal.Reason)
	require.Contains(t, said.String(), "verdict=refused")
}

// TestExplanationWhileLeaving answers a gateway that says it would send what it refuses.
func TestExplanationWhileLeaving(t *testing.T) {
	x := newExplainedGateway(1, false)
	x.BeginShutdown(time.Now())
	x.SetShutdownDeadline(time.Now())
	now := time.Now()
	said, err := x.Explain(now, &Question{Host: "models.example", Path: "/", Top: 3})
	require.NoError(t, err)
	require.Equal(t, problem.Leaving, said.Refusal.Reason)
	require.Len(t, said.Candidates, 1)
}

// TestExplanationsBesideRequests answers explanations that read what requests change at the same time, which the race
// detector finds.
func TestExplanationsBesideRequests(t *testing.T) {
	x := newExplainedGateway(6, true)
	x.register.Adopt(rollout.Record{Service: "models", Target: "v1", Order: 7, State: rollout.Canary, Started: x.now, At: x.now})
	q := &Question{Host: "models.example", Path: "/", Top: 9, Info: RequestInfo{ID: "rq", Prompt: pool.Prompt{Length: 9, Parts: []pool.PromptPart{{ID: "a", Tokens: 4}, {ID: "own", Tokens: 5}}}}}
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for range 200 {
			_, err := x.Explain(x.now, q)
			require.NoError(t, err)
		}
	})
	tasks.Go(func() {
		for i := range 200 {
			x.pool.HearLimit(x.now, new(x.listing(i%6)), true, id.PerSecond(i), x.now.Add(time.Duration(i)*time.Millisecond))
			if _, a, _, _ := x.send(q); a != nil {
				a.Unsent()
				a.End(x.now)
			}
			x.round()
		}
	})
	tasks.Wait()
}

// TestExplanationAsText answers operators who miss something in the text that the JSON form has.
func TestExplanationAsText(t *testing.T) {
	x := newExplainedGateway(4, true)
	x.pool.HearLimit(x.now, new(x.listing(1)), true, 2, x.now)
	x.deps.Quarantine.Restore(x.now, []quarantine.Hold{{Part: "held", Since: x.now, Crashes: 3}})
	said, err := x.Explain(x.now, &Question{
		Host: "models.example", Path: "/", Top: 3,
		Info: RequestInfo{Prompt: pool.Prompt{Length: 5, Parts: []pool.PromptPart{{ID: "held", Tokens: 3}, {ID: "own", Tokens: 2}}}},
	})
	require.NoError(t, err)
	text := said.String()
	for _, part := range []string{
		"verdict=refused config=3", "reason=prompt_held status=503", "route name=batch", "caller key=none", "limits service=models", "rollout target=v1 state=unknown",
		`tries=["not version v1"]`, "excluded=version", "rate_limited=true", `held_part="held"`, "1 more upstreams are not shown",
	} {
		require.Contains(t, text, part)
	}
	written, err := json.Marshal(said)
	require.NoError(t, err)
	var read Explanation
	require.NoError(t, json.Unmarshal(written, &read))
	require.Equal(t, text, read.String())
	q := &Question{Host: "models.example:80", Path: "/chat/%61?b=c", Workspace: "korat-forge"}
	said, err = x.Explain(x.now, q)
	require.NoError(t, err)
	require.Equal(t, id.Route("chat"), said.Route.Name)
}

// BenchmarkExplain explains a request for a service of 2,700 upstreams.
func BenchmarkExplain(b *testing.B) {
	x := newExplainedGateway(2700, true)
	q := &Question{Host: "models.example", Path: "/", Top: defaultTop, Info: RequestInfo{Prompt: pool.Prompt{Length: 3200, Parts: []pool.PromptPart{{ID: "system", Tokens: 3000}, {ID: "own", Tokens: 200}}}}}
	b.ReportAllocs()
	for b.Loop() {
		_, err := x.Explain(x.now, q)
		require.NoError(b, err)
	}
}

// ExampleGateway_Explain asks where a prompt would go, one of whose upstreams is draining.
func ExampleGateway_Explain() {
	x := newExplainedGateway(4, false)
	draining := x.listing(3)
	draining.Draining = true
	x.pool.Put(x.now, draining)
	said, err := x.Explain(x.now, &Question{
		Method: http.MethodPost, Host: "models.example", Path: "/chat/1", Workspace: "korat-forge", Service: "models", Top: 4,
		Info: RequestInfo{Prompt: pool.Prompt{Model: "m", Length: 3200, Parts: []pool.PromptPart{{ID: "system", Tokens: 3000}, {ID: "question", Tokens: 200}}}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(said.Verdict, said.Target.Upstream, said.Target.Choice)
	for _, c := range said.Candidates {
		fmt.Println(strings.TrimSpace(fmt.Sprint(c.Upstream, " ", c.DataCentre, " affinity ", c.Affinity, " group ", c.Group, " ", c.Excluded)))
	}
	// Output:
	// sent m-0 affine
	// m-0 th-0 affinity 1 group true
	// m-1 th-1 affinity 2 group true
	// m-2 th-0 affinity 0 group false
	// m-3 th-1 affinity 0 group false draining
}
