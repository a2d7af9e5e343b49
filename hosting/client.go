package hosting

// This file defines Client, which implements Platform over HTTP. Bodies are JSON; the
// payloads of log records are base64 strings within it.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/response"
)

// Limits of one request. A read of the log may take its wait on top of requestTimeout.
const (
	requestTimeout   = 3 * time.Second
	maxResponseBytes = 64 << 20
)

// Client is a client of the platform's HTTP interface. Its Log methods use one stream.
type Client struct {
	base       string
	httpClient *http.Client
	stream     StreamName
	vmCache    *vmCache
}

// vmCache holds the last VM list with its ETag. All copies of a Client share it.
type vmCache struct {
	mu   sync.Mutex
	etag string
	vms  []VM
}

var _ Platform = (*Client)(nil)

// NewClient returns a client for the platform at base, such as http://127.0.0.1:7000.
func NewClient(base string, c *http.Client) *Client {
	return &Client{base: base, httpClient: c, stream: StreamControl, vmCache: new(vmCache)}
}

// Stream implements Streams.
func (c *Client) Stream(name StreamName) Log {
	other := *c
	other.stream = name
	return &other
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, payload []byte) (id.Offset, error) {
	var out struct {
		Offset id.Offset `json:"offset"`
	}
	err := c.request(ctx, "append", http.MethodPost, c.recordsPath(), payload, requestTimeout, &out)
	return out.Offset, err
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, after id.Offset, wait time.Duration) (Page, error) {
	q := url.Values{}
	q.Set("after", strconv.FormatUint(uint64(after), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var page Page
	err := c.request(ctx, "read", http.MethodGet, c.recordsPath()+"?"+q.Encode(), nil, requestTimeout+wait, &page)
	if err != nil {
		return Page{}, err
	}
	if page.OldestOffset > after+1 && page.NewestOffset > after {
		return page, &TrimmedError{After: after, Oldest: page.OldestOffset}
	}
	for i, r := range page.Records {
		if want := after + 1 + id.Offset(i); r.Offset != want {
			return Page{}, &UnavailableError{Call: "read", Cause: fmt.Errorf("the response belongs to another read: it has record %d in place of %d", r.Offset, want)}
		}
	}
	return page, nil
}

func (c *Client) recordsPath() string { return "/v1/log/" + string(c.stream) + "/records" }

// SubmitOrder implements OrderSink.
func (c *Client) SubmitOrder(ctx context.Context, o Order) error {
	return c.postFenced(ctx, "order", "/v1/orders", o, o.FencingNumber)
}

// SubmitUsage implements UsageSink.
func (c *Client) SubmitUsage(ctx context.Context, r UsageReport) error {
	return c.postFenced(ctx, "report", "/v1/usage-reports", r, r.FencingNumber)
}

// ListVMs implements VMLister. It sends the ETag of the previous list, so that the platform
// sends an unchanged list only once. Callers must not modify the result.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	etag, vms := c.vmCache.load()
	var out struct {
		VMs []VM `json:"vms"`
	}
	newETag, err := c.getIfChanged(ctx, "vms", "/v1/vms", etag, &out)
	if err != nil {
		return nil, err
	}
	if newETag != "" && newETag == etag {
		return vms, nil
	}
	c.vmCache.store(newETag, out.VMs)
	return out.VMs, nil
}

func (c *vmCache) load() (etag string, vms []VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.vms
}

func (c *vmCache) store(etag string, vms []VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.vms = etag, vms
}

// postFenced posts a document with a fencing number. Status 409 becomes a
// *StaleFencingError.
func (c *Client) postFenced(ctx context.Context, call, path string, doc any, fencingNumber id.Term) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	err = c.request(ctx, call, http.MethodPost, path, body, requestTimeout, nil)
	var statusErr *statusError
	if errors.As(err, &statusErr) && statusErr.status == http.StatusConflict {
		return &StaleFencingError{FencingNumber: fencingNumber, Detail: statusErr.body}
	}
	return err
}

// statusError describes a response with an unexpected status.
type statusError struct {
	call   string
	status int
	body   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("platform %s returned status %d: %s", e.call, e.status, e.body)
}

func (c *Client) request(ctx context.Context, call, method, path string, body []byte, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	_, err = c.do(call, rq, out)
	return err
}

// getIfChanged gets a document unless its ETag is still the given one. It returns the
// document's ETag, and leaves out unchanged if that is equal to the given one.
func (c *Client) getIfChanged(ctx context.Context, call, path, etag string, out any) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return "", err
	}
	if etag != "" {
		rq.Header.Set("If-None-Match", etag)
	}
	return c.do(call, rq, out)
}

// unavailable returns the error of a call without a whole response. The idle connections are closed, since
// what has failed one of them may have failed all.
func (c *Client) unavailable(call string, err error) error {
	if !errors.Is(err, context.Canceled) {
		c.httpClient.CloseIdleConnections()
	}
	return &UnavailableError{Call: call, Cause: err}
}

// do sends a request, decodes the response into out and returns the document's ETag.
func (c *Client) do(call string, rq *http.Request, out any) (etag string, err error) {
	rs, err := c.httpClient.Do(rq)
	if err != nil {
		return "", c.unavailable(call, err)
	}
	defer rs.Body.Close()
	data, err := response.ReadBody(rs.Body, maxResponseBytes)
	if err != nil {
		return "", c.unavailable(call, err)
	}
	statusErr := &statusError{call: call, status: rs.StatusCode, body: string(bytes.TrimSpace(data))}
	switch {
	case rs.StatusCode == http.StatusNotModified && rq.Header.Get("If-None-Match") != "":
		return rq.Header.Get("If-None-Match"), nil
	case rs.StatusCode == http.StatusNotModified, rs.StatusCode >= http.StatusInternalServerError:
		return "", &UnavailableError{Call: call, Cause: statusErr}
	case rs.StatusCode != http.StatusOK:
		return "", statusErr
	case out == nil:
		return "", nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return "", &UnavailableError{Call: call, Cause: err}
	}
	return rs.Header.Get("ETag"), nil
}
