// Package ragworttest starts small fleets for tests: the programs of this repository as
// processes of their own, and the stand-ins of package standin inside the test process. It also
// checks what these have recorded.
package ragworttest

import (
	"bytes"
	"context"
	"fmt"
	"io"
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

// WaitTimeout is the time that a test waits for an expected condition before it fails.
const WaitTimeout = 30 * time.Second

const pollInterval = 10 * time.Millisecond // between two checks of an expected condition

// Programs that this test process has already built, by name, so that each is built once.
var (
	buildMu    sync.Mutex
	buildDir   string
	builtPaths = make(map[string]string)
)

// Binary builds the program in a folder of cmd and returns the path of the executable.
func Binary(t testing.TB, program string) string {
	t.Helper()
	buildMu.Lock()
	defer buildMu.Unlock()
	if path, ok := builtPaths[program]; ok {
		return path
	}
	if buildDir == "" {
		dir, err := os.MkdirTemp("", "ragworttest")
		require.NoError(t, err)
		buildDir = dir
	}
	path := filepath.Join(buildDir, program)
	build := exec.Command("go", "build", "-o", path, "github.com/ragwortpass/ragwortpass/cmd/"+program)
	build.Dir = repositoryRoot()
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	builtPaths[program] = path
	return path
}

// repositoryRoot returns the root folder of the repository.
func repositoryRoot() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Dir(filepath.Dir(file))
}

// ExampleRules returns the text of a rules file in the folder examples.
func ExampleRules(t testing.TB, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot(), "examples", name))
	require.NoError(t, err)
	return string(text)
}

// The ports of FreeAddress lie below the ephemeral ports, so that no outgoing connection
// takes one before the process under test listens on it.
const (
	firstPort = 10_000
	portCount = 20_000
)

var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// FreeAddress returns a loopback address on which nothing listens.
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
	require.Fail(t, "no free port on 127.0.0.1")
	return ""
}

// Process is a program that was started as a process of its own.
type Process struct {
	Address string  // on which it listens
	Node    id.Node // empty unless a Fleet started it
	Log     *Output

	cmd    *exec.Cmd
	output io.ReadCloser // the end of the pipe from which its output is read
	exited chan struct{} // closed when the process has exited and its output is read
}

// Output collects the standard output and standard error of a process. It is safe for
// concurrent use.
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

// Tail returns the last tailBytes bytes written.
func (o *Output) Tail() string { return tail(o.String()) }

// StartProcess starts a program and kills it when the test ends. A failed test prints the end
// of the program's output. Args must make the program listen on address.
func StartProcess(t testing.TB, program, address string, args ...string) *Process {
	t.Helper()
	return start(t, &Process{Address: address, Log: &Output{}}, nil, exec.Command(Binary(t, program), args...))
}

// StartProcessWritingTo is like StartProcess for a program whose output goes to out, and not to
// Process.Log.
func StartProcessWritingTo(t testing.TB, out *os.File, program, address string, args ...string) *Process {
	t.Helper()
	return start(t, &Process{Address: address, Log: &Output{}}, out, exec.Command(Binary(t, program), args...))
}

// StartTestProcess starts the test binary as a process that runs only the named test, with the
// environment of this one.
func StartTestProcess(t testing.TB, test string) *Process {
	t.Helper()
	return start(t, &Process{Log: &Output{}}, nil, exec.Command(os.Args[0], "-test.run=^"+test+"$", "-test.timeout=1m"))
}

// start starts a command whose output goes to out, or to the log of the process if out is nil.
func start(t testing.TB, p *Process, out *os.File, cmd *exec.Cmd) *Process {
	t.Helper()
	p.exited, p.cmd = make(chan struct{}), cmd
	output, input, err := os.Pipe()
	require.NoError(t, err)
	p.output = output
	if out == nil {
		out = input
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	require.NoError(t, p.cmd.Start())
	require.NoError(t, input.Close())
	var reading sync.WaitGroup
	reading.Go(func() { _, _ = io.Copy(p.Log, output) }) // until the process or CloseOutput closes the pipe
	go func() {
		_ = p.cmd.Wait()
		reading.Wait()
		p.output.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("last output of %s:\n%s", strings.Join(cmd.Args, " "), tail(p.Log.String()))
		}
	})
	return p
}

const tailBytes = 4000

func tail(s string) string { return s[max(0, len(s)-tailBytes):] }

// Signal sends a signal to the process.
func (p *Process) Signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// TrySignal sends a signal to the process. It returns os.ErrProcessDone if the process has ended.
func (p *Process) TrySignal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill(t testing.TB) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Kill())
	p.WaitExit(t)
}

// CloseOutput stops reading the output of the process: it writes to a broken pipe from then on.
func (p *Process) CloseOutput() { p.output.Close() }

// Status returns how the process has ended. It must have exited.
func (p *Process) Status() syscall.WaitStatus {
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	if !ok {
		panic("ragworttest: the system has another wait status")
	}
	return status
}

// PeakMemoryMB returns the most memory that the process has had resident. It must run.
func (p *Process) PeakMemoryMB(t testing.TB) float64 {
	megabytes, err := p.PeakMemory()
	require.NoError(t, err)
	return megabytes
}

// PeakMemory returns the most megabytes that the process has had resident. It returns an error if the
// process has ended.
func (p *Process) PeakMemory() (megabytes float64, err error) {
	var kilobytes float64
	err = p.scanStatus("VmHWM", "%f kB", &kilobytes)
	return kilobytes / 1024, err
}

// HandlesSignal reports whether the process, or at least its runtime, ignores or handles a signal by now.
// Until then the signal has its default action, whatever the program does.
func (p *Process) HandlesSignal(s syscall.Signal) bool {
	ignored, handled := p.SignalAction(s)
	return ignored || handled
}

// SignalAction reports whether the process ignores a signal by now, or handles it. It reports neither of a
// process that has ended.
func (p *Process) SignalAction(s syscall.Signal) (ignored, handled bool) {
	isSet := func(field string) bool {
		var mask uint64
		err := p.scanStatus(field, "%x", &mask)
		return err == nil && mask&(1<<(s-1)) != 0
	}
	return isSet("SigIgn"), isSet("SigCgt")
}

// scanStatus reads a field of the status that the kernel shows of the process.
func (p *Process) scanStatus(field, format string, value any) error {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return err
	}
	_, line, _ := strings.Cut(string(status), field+":")
	if _, err := fmt.Sscanf(line, format, value); err != nil {
		return fmt.Errorf("no %s in the status of the process: %w", field, err)
	}
	return nil
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// ExitCode waits until the process has exited and returns its exit code, -1 if a signal ended it.
func (p *Process) ExitCode(t testing.TB) int {
	t.Helper()
	p.WaitExit(t)
	return p.cmd.ProcessState.ExitCode()
}

// WaitExit waits until the process has exited.
func (p *Process) WaitExit(t testing.TB) {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(WaitTimeout):
		require.Fail(t, "the process has not exited", tail(p.Log.String()))
	}
}

// Eventually waits until condition returns true. The description, a format of args, says in a
// failure what was expected. Args are evaluated before the wait; a pointer shows the value at its
// end.
func Eventually(t testing.TB, condition func() bool, description string, args ...any) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	require.Fail(t, fmt.Sprintf("timed out waiting for: "+description, args...))
}

// WaitReady waits until the process reports on /readyz that it is ready.
func (p *Process) WaitReady(t testing.TB) {
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

// Fleet is a platform inside the test process, and the entries and sidecars that use it.
type Fleet struct {
	Platform    *standin.Platform
	PlatformURL string
	Operator    *operator.Client // acts for the operator "test"

	t testing.TB
}

// NewFleet starts a platform without entries and sidecars.
func NewFleet(t testing.TB) *Fleet {
	t.Helper()
	f := &Fleet{t: t, Platform: standin.NewPlatform()}
	f.PlatformURL = serveHandler(t, f.Platform.Handler())
	f.Operator = operator.New(operator.Config{Platform: f.PlatformURL, OperatorName: "test"}, process.NewExternalClient(), process.NewPeerClient())
	return f
}

// serveHandler serves h until the test ends and returns its URL.
func serveHandler(t testing.TB, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// StartEngine starts a model engine inside the test process and returns it with its URL.
func (f *Fleet) StartEngine(cfg standin.EngineConfig) (*standin.Engine, string) {
	f.t.Helper()
	g := standin.NewEngine(cfg)
	return g, serveHandler(f.t, g.Handler())
}

// StartService starts a plain service inside the test process and returns it with its URL.
func (f *Fleet) StartService() (*standin.Service, string) {
	f.t.Helper()
	s := standin.NewService()
	return s, serveHandler(f.t, s.Handler())
}

// StartEntry starts an entry and adds its VM to the VM list. Args are further flags.
func (f *Fleet) StartEntry(node, dataCentre string, args ...string) *Process {
	f.t.Helper()
	return f.startNode("entry", node, dataCentre, args...)
}

// StartSidecar starts a sidecar and adds its VM to the VM list. Args are further flags, among
// them its models or its service.
func (f *Fleet) StartSidecar(node, dataCentre, upstreamURL string, args ...string) *Process {
	f.t.Helper()
	args = append([]string{"--upstream=u-" + node, "--upstream-url=" + upstreamURL}, args...)
	return f.startNode("sidecar", node, dataCentre, args...)
}

// startNode starts a program of the given role and adds its VM to the VM list.
func (f *Fleet) startNode(role, node, dataCentre string, args ...string) *Process {
	f.t.Helper()
	address := FreeAddress(f.t)
	args = append([]string{"--node=" + node, "--data-centre=" + dataCentre, "--listen=" + address,
		"--platform=" + f.PlatformURL, "--linger=100ms"}, args...)
	p := StartProcess(f.t, role, address, args...)
	p.Node = id.Node(node)
	f.Platform.SetVM(time.Now(), hosting.VM{
		ID: p.Node, Role: role, DataCentre: id.DataCentre(dataCentre), Address: address, State: hosting.VMLive,
	})
	return p
}

// PublishRules publishes text as the rules in force.
func (f *Fleet) PublishRules(text string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	s, err := f.Operator.State(ctx)
	require.NoError(f.t, err)
	_, err = f.Operator.Publish(ctx, time.Now(), "rules", text, s.Rules().Offset)
	require.NoError(f.t, err)
}

// GiveKey gives a workspace a key, which is limited to the classes if any are named. It
// returns the key's secret text and its ID.
func (f *Fleet) GiveKey(ws id.Workspace, classes ...id.Class) (string, id.Key) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	secret, keyID, err := f.Operator.GiveKey(ctx, time.Now(), ws, classes, "test")
	require.NoError(f.t, err)
	return string([]byte(secret)), keyID // the conversion to bytes skips the secret's String method
}
