package ragworttest_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// drainLimit is the time after which an upstream that was taken out of service must get no
// new requests.
const drainLimit = 3 * time.Second

// newThreeSidecarFleet starts an entry and three sidecars in two data centres, one in th-a and
// two in th-b.
func newThreeSidecarFleet(t *testing.T) (f *ragworttest.Fleet, e *ragworttest.Process, sidecars []*ragworttest.Process, engines []*standin.Engine, key string) {
	f = ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	key, _ = f.GiveKey("bangkok-forge")
	for i, dc := range []string{"th-a", "th-b", "th-b"} {
		g, url := f.StartEngine(standin.DefaultEngineConfig())
		g.MakeWarm()
		sidecar := f.StartSidecar(fmt.Sprint("s", i), dc, url, "--models=temper-70b")
		sidecar.WaitReady(t)
		engines, sidecars = append(engines, g), append(sidecars, sidecar)
	}
	e = f.StartEntry("e1", "th-a")
	e.WaitReady(t)
	return f, e, sidecars, engines, key
}

// startCallers runs concurrent callers, which send chats one after another until stop is
// called; every answer must be complete.
func startCallers(t *testing.T, e *ragworttest.Process, key string, callers int) (stop func()) {
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-stopped:
					return
				default:
				}
				content := fmt.Sprintf("caller %d asks %d", i, j)
				rs := sendChat(t, e, key, content, streamOptions)
				requireComplete(t, readAnswer(t, rs), content)
				rs.Body.Close()
			}
		})
	}
	return func() {
		close(stopped)
		wg.Wait()
	}
}

// requireNoNewWork requires that an engine gets no requests after drainLimit, while others
// still serve the callers.
func requireNoNewWork(t *testing.T, g *standin.Engine, others ...*standin.Engine) {
	t.Helper()
	time.Sleep(drainLimit)
	drainedRequests, before := g.Stats().Requests, int64(0)
	for _, o := range others {
		before += o.Stats().Requests
	}
	ragworttest.Eventually(t, func() bool {
		now := int64(0)
		for _, o := range others {
			now += o.Stats().Requests
		}
		return now > before+20
	}, "the other engines get requests")
	require.Equal(t, drainedRequests, g.Stats().Requests, "requests of the drained engine")
}

// TestDrainedDataCentreGetsNoNewWork guards against requests to a data centre that the rules
// drain, and against one that stays unused after its drain has ended.
func TestDrainedDataCentreGetsNoNewWork(t *testing.T) {
	f, e, _, engines, key := newThreeSidecarFleet(t)
	defer startCallers(t, e, key, 8)()
	ragworttest.Eventually(t, func() bool { return engines[0].Stats().Requests > 2 }, "data centre th-a gets requests")
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules") + "drain data_centre=th-a # Wichai (platform): test\n")
	requireNoNewWork(t, engines[0], engines[1:]...)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	before := engines[0].Stats().Requests
	ragworttest.Eventually(t, func() bool { return engines[0].Stats().Requests > before }, "data centre th-a gets requests again")
}

// TestLeavingVMGetsNoNewWork guards against requests to a VM that the platform lists as
// leaving.
func TestLeavingVMGetsNoNewWork(t *testing.T) {
	f, e, sidecars, engines, key := newThreeSidecarFleet(t)
	defer startCallers(t, e, key, 8)()
	ragworttest.Eventually(t, func() bool { return engines[0].Stats().Requests > 2 }, "the upstream of the first sidecar gets requests")
	f.Platform.SetVM(time.Now(), hosting.VM{
		ID: sidecars[0].Node, Role: "sidecar", DataCentre: id.DataCentre("th-a"), Address: sidecars[0].Address, State: hosting.VMLeaving,
	})
	requireNoNewWork(t, engines[0], engines[1:]...)
}

// TestDataCentreFails guards against incomplete answers when both sidecars of a data centre are
// killed: the sidecar of the other data centre must complete the answers that were running.
func TestDataCentreFails(t *testing.T) {
	_, e, sidecars, engines, key := newThreeSidecarFleet(t)
	stop := startCallers(t, e, key, 8)
	ragworttest.Eventually(t, func() bool { return engines[1].Stats().Requests > 4 && engines[2].Stats().Requests > 4 }, "both upstreams of data centre th-b get requests")
	for _, s := range sidecars[1:] {
		s.Kill(t)
	}
	before := engines[0].Stats().Requests
	ragworttest.Eventually(t, func() bool { return engines[0].Stats().Requests > before+20 }, "data centre th-a gets the requests")
	stop()
}

// TestBookingRunsAtMostOnce guards against a second run of a call that must not be repeated,
// after its response was lost.
func TestBookingRunsAtMostOnce(t *testing.T) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	key, _ := f.GiveKey("bangkok-forge")
	s, url := f.StartService()
	f.StartSidecar("s1", "th-a", url, "--service=order-desk").WaitReady(t)
	e := f.StartEntry("e1", "th-a")
	e.WaitReady(t)
	ragworttest.Eventually(t, func() bool { return sendBooking(t, e, key, "first") == http.StatusCreated }, "a booking succeeds")
	s.SetFaults(standin.ServiceFaults{DropResponses: 1})
	require.Equal(t, http.StatusBadGateway, sendBooking(t, e, key, "lost"))
	require.Equal(t, map[string]int{"first": 1, "lost": 1}, s.RunCounts())
}

// sendBooking books a reference without an idempotency key and returns the HTTP status.
func sendBooking(t *testing.T, e *ragworttest.Process, key, reference string) int {
	t.Helper()
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Address+"/services/order-desk/bookings",
		strings.NewReader(`{"reference":"`+reference+`"}`))
	require.NoError(t, err)
	rq.Header.Set("Authorization", "Bearer "+key)
	rs, err := http.DefaultClient.Do(rq)
	require.NoError(t, err)
	rs.Body.Close()
	return rs.StatusCode
}
