package hosting_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
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
