package hosting_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/standin"
)

// countingWriter counts the bytes of the response bodies written through it.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c countingWriter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.ResponseWriter.Write(p)
}

// TestUnchangedVMListIsNotSentAgain lists a full fleet repeatedly. Only the first
// response may have a body, until the list changes.
func TestUnchangedVMListIsNotSentAgain(t *testing.T) {
	const vmCount = 3100
	p := standin.NewPlatform()
	vm := func(i int, s hosting.VMState) hosting.VM {
		return hosting.VM{ID: id.Node(fmt.Sprint("vm-", i)), Role: "sidecar", DataCentre: "th-a", Address: "10.0.0.1:8081", State: s}
	}
	for i := range vmCount {
		p.SetVM(time.Now(), vm(i, hosting.VMLive))
	}
	var responseBytes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.Handler().ServeHTTP(countingWriter{w, &responseBytes}, r)
	}))
	defer server.Close()
	client := hosting.NewClient(server.URL, http.DefaultClient)
	list := func() []hosting.VM {
		vms, err := client.ListVMs(t.Context())
		require.NoError(t, err)
		require.Len(t, vms, vmCount)
		return vms
	}
	list()
	listBytes := responseBytes.Load()
	require.Greater(t, listBytes, int64(vmCount))
	for range 10 {
		list()
	}
	require.Equal(t, listBytes, responseBytes.Load())
	p.SetVM(time.Now(), vm(7, hosting.VMLeaving))
	leaving := 0
	for _, v := range list() {
		if v.State == hosting.VMLeaving {
			leaving++
		}
	}
	require.Equal(t, 1, leaving)
	t.Logf("the list of %d VMs has %d bytes", vmCount, listBytes)
}

// TestResponsesToOtherCalls makes calls whose responses cannot belong to them. To believe one would
// skip records of the log, take an order for accepted, or empty the list of VMs.
func TestResponsesToOtherCalls(t *testing.T) {
	record := func(offset int) string { return fmt.Sprintf(`{"offset":%d,"payload":"eA=="}`, offset) }
	for _, tc := range []struct {
		name   string
		status int
		body   string
		call   func(*hosting.Client) error
		wantOK bool
	}{
		{"page of the read", http.StatusOK, `{"first":1,"newest":4,"records":[` + record(3) + `,` + record(4) + `]}`, readAfter2, true},
		{"page from further on", http.StatusOK, `{"first":1,"newest":5,"records":[` + record(4) + `,` + record(5) + `]}`, readAfter2, false},
		{"page from further back", http.StatusOK, `{"first":1,"newest":5,"records":[` + record(2) + `,` + record(3) + `]}`, readAfter2, false},
		{"page with a gap", http.StatusOK, `{"first":1,"newest":5,"records":[` + record(3) + `,` + record(5) + `]}`, readAfter2, false},
		{"unchanged log", http.StatusNotModified, "", readAfter2, false},
		{"unchanged order", http.StatusNotModified, "", func(c *hosting.Client) error { return c.SubmitOrder(t.Context(), hosting.Order{}) }, false},
		{"unchanged report", http.StatusNotModified, "", func(c *hosting.Client) error { return c.SubmitUsage(t.Context(), hosting.UsageReport{}) }, false},
		{"unchanged list that was never sent", http.StatusNotModified, "", func(c *hosting.Client) error { _, err := c.ListVMs(t.Context()); return err }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				_, _ = w.Write([]byte(tc.body))
			}))
			defer server.Close()
			err := tc.call(hosting.NewClient(server.URL, http.DefaultClient))
			if tc.wantOK {
				require.NoError(t, err)
				return
			}
			var unavailable *hosting.UnavailableError
			require.ErrorAs(t, err, &unavailable)
		})
	}
}

func readAfter2(c *hosting.Client) error {
	_, err := c.Read(context.Background(), 2, 0)
	return err
}

// TestReadsTakeOneSilentConnectionAfterTheOther guards against reads that each use another of the
// connections that are kept, when all of these have fallen silent and new ones work.
func TestReadsTakeOneSilentConnectionAfterTheOther(t *testing.T) {
	const kept = 5
	type connectionNumber struct{}
	var opened, silent atomic.Int64
	var together sync.WaitGroup
	together.Add(kept)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() == 0 {
			together.Done()
			together.Wait()
		} else if r.Context().Value(connectionNumber{}).(int64) <= silent.Load() {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write([]byte(`{"first":1,"newest":3,"records":[{"offset":3,"payload":"eA=="}]}`))
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionNumber{}, opened.Add(1))
	}
	server.Start()
	defer server.Close()
	defer server.CloseClientConnections()
	c := hosting.NewClient(server.URL, process.NewExternalClient())
	var reads sync.WaitGroup
	for range kept {
		reads.Go(func() { assert.NoError(t, readAfter2(c)) })
	}
	reads.Wait()
	silent.Store(kept)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Read(ctx, 2, 0)
	require.Error(t, err)
	ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = c.Read(ctx, 2, 0)
	require.NoError(t, err)
}
