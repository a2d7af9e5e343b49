package hosting

// This file defines Client, the platform's HTTP interface. Offsets and lines
// travel as JSON; payloads are base64 within it.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// Limits of one call.
const (
	callTimeout  = 3 * time.Second
	maxPageBytes = 64 << 20
)

// Client calls the platform at a base URL.
type Client struct {
	base   string
	http   *http.Client
	stream StreamName
	listed *list
}

// list is the VM list as last read, with the tag under which the platform sent it.
type list struct {
	mu  sync.Mutex
	tag string
	vms []VM
}

var _ Platform = (*Client)(nil)

// NewClient returns a client for the platform at base, such as http://127.0.0.1:7000.
func NewClient(base string, c *http.Client) *Client {
	return &Client{base: base, http: c, stream: StreamControl, listed: new(list)}
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
	err := c.call(ctx, "append", http.MethodPost, c.recordsPath(), payload, callTimeout, &out)
	return out.Offset, err
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, after id.Offset, wait time.Duration) (Page, error) {
	q := url.Values{}
	q.Set("after", strconv.FormatUint(uint64(after), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var page Page
	err := c.call(ctx, "read", http.MethodGet, c.recordsPath()+"?"+q.Encode(), nil, callTimeout+wait, &page)
	if err != nil {
		return Page{}, err
	}
	if page.OldestOffset > after+1 && page.NewestOffset > after {
		return page, &TrimmedError{After: after, Oldest: page.OldestOffset}
	}
	return page, nil
}

func (c *Client) recordsPath() string { return "/v1/log/" + string(c.stream) + "/records" }

// SubmitOrder implements OrderSink.
func (c *Client) SubmitOrder(ctx context.Context, o Order) error {
	return c.fenced(ctx, "order", "/v1/orders", o, o.FencingNumber)
}

// SubmitUsage implements UsageSink.
func (c *Client) SubmitUsage(ctx context.Context, r UsageReport) error {
	return c.fenced(ctx, "report", "/v1/usage-reports", r, r.FencingNumber)
}

// ListVMs implements VMLister. The list is asked for with the tag of the last one, so that a
// list that has not changed costs a few bytes. Callers must not change it.
func (c *Client) ListVMs(ctx context.Context) ([]VM, error) {
	tag, vms := c.listed.read()
	var out struct {
		VMs []VM `json:"vms"`
	}
	now, err := c.callIfChanged(ctx, "vms", "/v1/vms", tag, &out)
	if err != nil {
		return nil, err
	}
	if now != "" && now == tag {
		return vms, nil
	}
	c.listed.write(now, out.VMs)
	return out.VMs, nil
}

func (l *list) read() (tag string, vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tag, l.vms
}

func (l *list) write(tag string, vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag, l.vms = tag, vms
}

// fenced posts a document whose refusal with 409 means a stale fencing number.
func (c *Client) fenced(ctx context.Context, call, path string, doc any, term id.Term) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	err = c.call(ctx, call, http.MethodPost, path, body, callTimeout, nil)
	var refused *statusError
	if errors.As(err, &refused) && refused.status == http.StatusConflict {
		return &StaleFencingError{FencingNumber: term, Detail: refused.body}
	}
	return err
}

// statusError is an answer other than 200.
type statusError struct {
	call   string
	status int
	body   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("platform %s answered %d: %s", e.call, e.status, e.body)
}

func (c *Client) call(ctx context.Context, call, method, path string, body []byte, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	_, err = c.do(call, rq, out)
	return err
}

// callIfChanged reads a document unless it still has the given tag. It returns the
// document's tag; out is left alone if that is the given one.
func (c *Client) callIfChanged(ctx context.Context, call, path, tag string, out any) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return "", err
	}
	if tag != "" {
		rq.Header.Set("If-None-Match", tag)
	}
	return c.do(call, rq, out)
}

// do sends a request, decodes its answer and returns the answer's tag.
func (c *Client) do(call string, rq *http.Request, out any) (tag string, err error) {
	rs, err := c.http.Do(rq)
	if err != nil {
		return "", &UnavailableError{Call: call, Cause: err}
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxPageBytes))
	if err != nil {
		return "", &UnavailableError{Call: call, Cause: err}
	}
	failed := &statusError{call: call, status: rs.StatusCode, body: string(bytes.TrimSpace(data))}
	switch {
	case rs.StatusCode == http.StatusNotModified:
		return rq.Header.Get("If-None-Match"), nil
	case rs.StatusCode >= http.StatusInternalServerError:
		return "", &UnavailableError{Call: call, Cause: failed}
	case rs.StatusCode != http.StatusOK:
		return "", failed
	case out == nil:
		return "", nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return "", &UnavailableError{Call: call, Cause: err}
	}
	return rs.Header.Get("ETag"), nil
}
