// Package ragworttest starts small fleets for tests: the programs of this
// repository as real processes, and the stand-ins inside the test.
package ragworttest

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/operator"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/standin"
)

// Patience bounds how long a test waits for what must happen.
const Patience = 30 * time.Second

const pollEvery = 10 * time.Millisecond

// buildOnce builds each program once for a test binary.
var (
	buildMu   sync.Mutex
	buildDir  string
	buildDone = make(map[string]string)
)

// Binary builds a program of cmd and returns its path.
func Binary(t testing.TB, program string) string {
	t.Helper()
	buildMu.Lock()
	defer buildMu.Unlock()
	if path, ok := buildDone[program]; ok {
		return path
	}
	if buildDir == "" {
		dir, err := os.MkdirTemp("", "ragworttest")
		require.NoError(t, err)
		buildDir = dir
	}
	path := filepath.Join(buildDir, program)
	build := exec.Command("go", "build", "-o", path, "github.com/ragwortpass/ragwortpass/cmd/"+program)
	build.Dir = root()
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	buildDone[program] = path
	return path
}

// root returns the folder of the workspace.
func root() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Dir(filepath.Dir(file))
}

// Rules returns the text of a file in examples.
func Rules(t testing.TB, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root(), "examples", name))
	require.NoError(t, err)
	return string(text)
}

// The ports of FreeAddress lie below those that the system gives to outgoing
// connections, so that none is taken before the process listens on it.
const (
	firstPort = 10_000
	portCount = 20_000
)

var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err == nil {
			l.Close()
			return address
		}
	}
	require.Fail(t, "no free port")
	return ""
}

// Process is a running program.
type Process struct {
	Address string
	Node    id.Node
	Log     *Output

	cmd  *exec.Cmd
	done chan struct{}
}

// Output collects what a process writes. It is safe for concurrent use.
type Output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

// String returns everything written so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// Tail returns the end of what was written.
func (o *Output) Tail() string { return tail(o.String()) }

// Start runs a program until the test ends. A failed test prints its output.
func Start(t testing.TB, program, address string, args ...string) *Process {
	t.Helper()
	p := &Process{Address: address, Log: &Output{}, done: make(chan struct{})}
	p.cmd = exec.Command(Binary(t, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.Log, p.Log
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("output of %s %s:\n%s", program, strings.Join(args, " "), tail(p.Log.String()))
		}
	})
	return p
}

const tailBytes = 4000

func tail(s string) string { return s[max(0, len(s)-tailBytes):] }

// Signal sends a signal.
func (p *Process) Signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill(t testing.TB) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Kill())
	p.Wait(t)
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits for the process to end.
func (p *Process) Wait(t testing.TB) {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(Patience):
		require.Fail(t, "the process did not end", tail(p.Log.String()))
	}
}

// Eventually waits until ok returns true.
func Eventually(t testing.TB, ok func() bool, what string, args ...any) {
	t.Helper()
	for end := time.Now().Add(Patience); time.Now().Before(end); time.Sleep(pollEvery) {
		if ok() {
			return
		}
	}
	require.Fail(t, fmt.Sprintf("never happened: "+what, args...))
}

// Ready waits until the process is ready.
func (p *Process) Ready(t testing.TB) {
	t.Helper()
	client := process.NewExternalClient()
	Eventually(t, func() bool {
		rs, err := client.Get("http://" + p.Address + "/readyz")
		if err != nil {
			return false
		}
		defer rs.Body.Close()
		return rs.StatusCode == http.StatusOK
	}, "%s is ready", p.Address)
}

// Fleet is a platform inside the test, with processes around it.
type Fleet struct {
	Platform    *standin.Platform
	PlatformURL string
	Operator    *operator.Client

	t testing.TB
}

// NewFleet starts a platform.
func NewFleet(t testing.TB) *Fleet {
	t.Helper()
	f := &Fleet{t: t, Platform: standin.NewPlatform()}
	f.PlatformURL = serve(t, f.Platform.Handler())
	f.Operator = operator.New(operator.Config{Platform: f.PlatformURL, OperatorName: "test"}, process.NewExternalClient(), process.NewPeerClient())
	return f
}

func serve(t testing.TB, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// Engine starts a model engine inside the test and returns it with its URL.
func (f *Fleet) Engine(cfg standin.EngineConfig) (*standin.Engine, string) {
	f.t.Helper()
	g := standin.NewEngine(cfg)
	return g, serve(f.t, g.Handler())
}

// Service starts a plain service inside the test and returns it with its URL.
func (f *Fleet) Service() (*standin.Service, string) {
	f.t.Helper()
	s := standin.NewService()
	return s, serve(f.t, s.Handler())
}

// Entry starts an entry and puts it on the VM list.
func (f *Fleet) Entry(node, dataCentre string, args ...string) *Process {
	f.t.Helper()
	return f.node("entry", node, dataCentre, args...)
}

// Sidecar starts a sidecar and puts it on the VM list. Args name its models or
// its service.
func (f *Fleet) Sidecar(node, dataCentre, upstreamURL string, args ...string) *Process {
	f.t.Helper()
	args = append([]string{"--upstream=u-" + node, "--upstream-url=" + upstreamURL}, args...)
	return f.node("sidecar", node, dataCentre, args...)
}

func (f *Fleet) node(role, node, dataCentre string, args ...string) *Process {
	f.t.Helper()
	address := FreeAddress(f.t)
	args = append([]string{"--node=" + node, "--data-centre=" + dataCentre, "--listen=" + address,
		"--platform=" + f.PlatformURL, "--linger=100ms"}, args...)
	p := Start(f.t, role, address, args...)
	p.Node = id.Node(node)
	f.Platform.SetVM(time.Now(), hosting.VM{
		ID: p.Node, Role: role, DataCentre: id.DataCentre(dataCentre), Address: address, State: hosting.VMLive,
	})
	return p
}

// Publish makes text the rules in force.
func (f *Fleet) Publish(text string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), Patience)
	defer cancel()
	s, err := f.Operator.State(ctx)
	require.NoError(f.t, err)
	_, err = f.Operator.Publish(ctx, time.Now(), "rules", text, s.Rules().Offset)
	require.NoError(f.t, err)
}

// Key gives a workspace a key and returns its text and id.
func (f *Fleet) Key(ws id.Workspace, classes ...id.Class) (string, id.Key) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), Patience)
	defer cancel()
	secret, kid, err := f.Operator.GiveKey(ctx, time.Now(), ws, classes, "test")
	require.NoError(f.t, err)
	return string([]byte(secret)), kid
}
