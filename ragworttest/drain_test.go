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

// noNewWork is the time after which an upstream that was taken out gets nothing.
const noNewWork = 3 * time.Second

// trio starts an entry before three sidecars in two data centres, th-a with one
// and th-b with two.
func trio(t *testing.T) (f *ragworttest.Fleet, e *ragworttest.Process, sides []*ragworttest.Process, engines []*standin.Engine, key string) {
	f = ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	key, _ = f.GiveKey("bangkok-forge")
	for i, dc := range []string{"th-a", "th-b", "th-b"} {
		g, url := f.StartEngine(standin.DefaultEngineConfig())
		g.MakeWarm()
		side := f.StartSidecar(fmt.Sprint("s", i), dc, url, "--models=temper-70b")
		side.WaitReady(t)
		engines, sides = append(engines, g), append(sides, side)
	}
	e = f.StartEntry("e1", "th-a")
	e.WaitReady(t)
	return f, e, sides, engines, key
}

// asking keeps callers asking until stop; every answer must be whole.
func asking(t *testing.T, e *ragworttest.Process, key string, callers int) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-done:
					return
				default:
				}
				content := fmt.Sprintf("caller %d asks %d", i, j)
				rs := send(t, e, key, content, streamed)
				requireWhole(t, listen(t, rs), content)
				rs.Body.Close()
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// requireNoNewWork requires that an engine gets nothing after noNewWork, while
// callers go on.
func requireNoNewWork(t *testing.T, g *standin.Engine, others ...*standin.Engine) {
	t.Helper()
	time.Sleep(noNewWork)
	had, before := g.Stats().Requests, int64(0)
	for _, o := range others {
		before += o.Stats().Requests
	}
	ragworttest.Eventually(t, func() bool {
		now := int64(0)
		for _, o := range others {
			now += o.Stats().Requests
		}
		return now > before+20
	}, "the others work on")
	require.Equal(t, had, g.Stats().Requests)
}

func TestDrainedDataCentreGetsNoNewWork(t *testing.T) {
	f, e, _, engines, key := trio(t)
	defer asking(t, e, key, 8)()
	ragworttest.Eventually(t, func() bool { return engines[0].Stats().Requests > 2 }, "the data centre works")
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules") + "drain data_centre=th-a # Wichai (platform): test\n")
	requireNoNewWork(t, engines[0], engines[1:]...)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	had := engines[0].Stats().Requests
	ragworttest.Eventually(t, func() bool { return engines[0].Stats().Requests > had }, "the data centre is back")
}

func TestLeavingVMGetsNoNewWork(t *testing.T) {
	f, e, sides, engines, key := trio(t)
	defer asking(t, e, key, 8)()
	ragworttest.Eventually(t, func() bool { return engines[0].Stats().Requests > 2 }, "the upstream works")
	f.Platform.SetVM(time.Now(), hosting.VM{
		ID: sides[0].Node, Role: "sidecar", DataCentre: id.DataCentre("th-a"), Address: sides[0].Address, State: hosting.VMLeaving,
	})
	requireNoNewWork(t, engines[0], engines[1:]...)
}

// A data centre with two of three sidecars is pulled: what ran there goes on
// elsewhere.
func TestDataCentrePulled(t *testing.T) {
	_, e, sides, engines, key := trio(t)
	stop := asking(t, e, key, 8)
	ragworttest.Eventually(t, func() bool { return engines[1].Stats().Requests > 4 && engines[2].Stats().Requests > 4 }, "the data centre works")
	for _, s := range sides[1:] {
		s.Kill(t)
	}
	had := engines[0].Stats().Requests
	ragworttest.Eventually(t, func() bool { return engines[0].Stats().Requests > had+20 }, "the other data centre works on")
	stop()
}

// A call that must not be repeated is sent once, whatever becomes of it.
func TestBookingRunsAtMostOnce(t *testing.T) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	key, _ := f.GiveKey("bangkok-forge")
	s, url := f.StartService()
	f.StartSidecar("s1", "th-a", url, "--service=order-desk").WaitReady(t)
	e := f.StartEntry("e1", "th-a")
	e.WaitReady(t)
	ragworttest.Eventually(t, func() bool { return sendBooking(t, e, key, "first") == http.StatusCreated }, "a booking runs")
	s.SetFaults(standin.ServiceFaults{DropResponses: 1})
	require.Equal(t, http.StatusBadGateway, sendBooking(t, e, key, "lost"))
	require.Equal(t, map[string]int{"first": 1, "lost": 1}, s.RunCounts())
}

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
