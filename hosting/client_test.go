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

// counting counts the bytes of the answers that pass through.
type counting struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (c counting) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.ResponseWriter.Write(p)
}

// TestUnchangedListCostsNothing reads the list of a full fleet again and again.
func TestUnchangedListCostsNothing(t *testing.T) {
	const size = 3100
	p := standin.NewPlatform()
	vm := func(i int, s hosting.VMState) hosting.VM {
		return hosting.VM{ID: id.Node(fmt.Sprint("vm-", i)), Role: "sidecar", DataCentre: "th-a", Address: "10.0.0.1:8081", State: s}
	}
	for i := range size {
		p.SetVM(time.Now(), vm(i, hosting.VMLive))
	}
	var bytes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.Handler().ServeHTTP(counting{w, &bytes}, r)
	}))
	defer server.Close()
	c := hosting.NewClient(server.URL, http.DefaultClient)
	read := func() []hosting.VM {
		vms, err := c.ListVMs(t.Context())
		require.NoError(t, err)
		require.Len(t, vms, size)
		return vms
	}
	read()
	first := bytes.Load()
	require.Greater(t, first, int64(size))
	for range 10 {
		read()
	}
	require.Equal(t, first, bytes.Load())
	p.SetVM(time.Now(), vm(7, hosting.VMLeaving))
	leaving := 0
	for _, v := range read() {
		if v.State == hosting.VMLeaving {
			leaving++
		}
	}
	require.Equal(t, 1, leaving)
	t.Logf("the list of %d VMs has %d bytes", size, first)
}
