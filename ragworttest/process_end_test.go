package ragworttest_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/platform"
	"github.com/ragwortpass/ragwortpass/ragworttest"
)

// briefly is how long what a process needs at its start is missing.
const briefly = 500 * time.Millisecond

// newStoppedRelay returns a fleet of one relay, with a metrics page, whose process is not running.
func newStoppedRelay(t *testing.T) (*relayFleet, *relayNode) {
	f := newRelayFleet(t, 1)
	node := f.nodes[0]
	node.metricsAddress = ragworttest.FreeAddress(t)
	node.process.Kill(t)
	f.writeSettings(node)
	return f, node
}

// requireServes waits until the process of a node has served some requests.
func (f *relayFleet) requireServes(r *relayNode) {
	f.t.Helper()
	outcomes := &callOutcomes{}
	ragworttest.Eventually(f.t, func() bool {
		f.sendRequest(http.DefaultClient, r, http.MethodGet, "/look/x", outcomes)
		return outcomes.served.Load() >= 20 || r.process.Exited()
	}, "%s serves", r.name)
	require.False(f.t, r.process.Exited(), "the process has ended: %s", r.process.Log.Tail())
	outcomes.requireNoViolations(f.t)
}

// TestLogReaderGoneEndsProcess guards against programs that end by SIGPIPE when the reader of their output
// goes away. Lines that could not be written must be counted.
func TestLogReaderGoneEndsProcess(t *testing.T) {
	t.Run("relay", func(t *testing.T) {
		f, node := newStoppedRelay(t)
		reader, output, err := os.Pipe()
		require.NoError(t, err)
		node.process = ragworttest.StartProcessWritingTo(t, output, "entry", node.callerAddress, "relay", "--settings", node.settingsPath)
		require.NoError(t, output.Close())
		f.waitReady(node)
		require.NoError(t, reader.Close())
		f.requireServes(node)
		ragworttest.Eventually(t, func() bool {
			f.requireServes(node)
			return readGauge(t, node.metricsAddress, "log_lines_lost") > 0
		}, "lost lines are counted")
		node.process.Signal(t, syscall.SIGTERM)
		require.Zero(t, node.process.ExitCode(t))
	})
	fleet := ragworttest.NewFleet(t)
	_, engine := fleet.StartService()
	nodeFlags := func(address string) []string {
		return []string{"--node=n", "--data-centre=th-a", "--listen=" + address, "--platform=" + fleet.PlatformURL, "--linger=100ms"}
	}
	for _, c := range []struct {
		name, program string
		args          func(address string) []string
	}{
		{"serve", "entry", nodeFlags},
		{"sidecar", "sidecar", func(address string) []string {
			return append(nodeFlags(address), "--upstream=u", "--upstream-url="+engine, "--service=desk")
		}},
		{"standin", "standin", func(address string) []string { return []string{"service", "--listen=" + address} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := ragworttest.FreeAddress(t)
			reader, output, err := os.Pipe()
			require.NoError(t, err)
			p := ragworttest.StartProcessWritingTo(t, output, c.program, address, c.args(address)...)
			require.NoError(t, output.Close())
			_, err = reader.Read(make([]byte, 1))
			require.NoError(t, err)
			require.NoError(t, reader.Close())
			p.WaitReady(t)
			p.Signal(t, syscall.SIGTERM) // each of them logs at its end
			require.Zero(t, p.ExitCode(t))
		})
	}
}

// readGauge returns a value from the metrics page of a relay, zero if it has none of that name.
func readGauge(t *testing.T, metricsAddress, name string) float64 {
	rs, err := http.Get("http://" + metricsAddress + "/metrics.json")
	require.NoError(t, err)
	defer rs.Body.Close()
	var all map[string]struct{ Value, Count float64 }
	require.NoError(t, json.NewDecoder(rs.Body).Decode(&all))
	return all[name].Value + all[name].Count
}

// TestHangupAtStartEndsProcess sends SIGHUPs through the whole start of a process, from the moment at which it
// can be seen to survive them, and through its stop.
func TestHangupAtStartEndsProcess(t *testing.T) {
	fleet, node := newStoppedRelay(t)
	platformFleet := ragworttest.NewFleet(t)
	for _, c := range []struct {
		name  string
		start func(t *testing.T) *ragworttest.Process
	}{
		{"relay", func(*testing.T) *ragworttest.Process {
			fleet.startNode(node)
			return node.process
		}},
		{"serve", func(t *testing.T) *ragworttest.Process {
			address := ragworttest.FreeAddress(t)
			return ragworttest.StartProcess(t, "entry", address, "--node=n", "--data-centre=th-a", "--listen="+address, "--platform="+platformFleet.PlatformURL, "--linger=1ms")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range 5 {
				p := c.start(t)
				for deadline := time.Now().Add(ragworttest.WaitTimeout); !survivesHangup(p) && !p.Exited(); time.Sleep(100 * time.Microsecond) {
					require.True(t, time.Now().Before(deadline), "no signal is registered")
				}
				for range 50 {
					require.False(t, p.Exited(), "a SIGHUP has ended the process: %s", p.Log.Tail())
					p.Signal(t, syscall.SIGHUP)
					time.Sleep(time.Millisecond)
				}
				p.Signal(t, syscall.SIGTERM)
				for !p.Exited() { // and through its stop
					_ = p.TrySignal(syscall.SIGHUP)
					time.Sleep(time.Millisecond)
				}
				require.Zero(t, p.ExitCode(t), p.Log.Tail())
			}
		})
	}
}

// TestTakenPortEndsProcess starts a process while another has one of its ports for a short time, by
// listening or by an outgoing connection. It must not end, nor be ready before callers can be served.
func TestTakenPortEndsProcess(t *testing.T) {
	listen := func(t *testing.T, address string) io.Closer {
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		return l
	}
	connect := func(t *testing.T, address string) io.Closer {
		local, err := net.ResolveTCPAddr("tcp", address)
		require.NoError(t, err)
		server, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { server.Close() })
		conn, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", server.Addr().String())
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).SetLinger(0)) // no TIME_WAIT
		return conn
	}
	f, node := newStoppedRelay(t)
	for _, c := range []struct {
		name    string
		address *string
		take    func(*testing.T, string) io.Closer
	}{
		{"callers listened", &node.callerAddress, listen},
		{"callers connected", &node.callerAddress, connect},
		{"ready listened", &node.readyAddress, listen},
		{"peers connected", &node.peerAddress, connect},
		{"metrics connected", &node.metricsAddress, connect},
	} {
		t.Run(c.name, func(t *testing.T) {
			*c.address = ragworttest.FreeAddress(t)
			f.writeSettings(node)
			taken := c.take(t, *c.address)
			f.startNode(node)
			for deadline := time.Now().Add(briefly); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
				require.False(t, node.process.Exited(), node.process.Log.Tail())
				require.False(t, c.address == &node.callerAddress && f.isReady(node), "ready without its port for callers")
			}
			taken.Close()
			f.waitReady(node)
			f.requireServes(node)
			ragworttest.Eventually(t, func() bool {
				rs, err := http.Get("http://" + *c.address)
				if err != nil {
					return false
				}
				rs.Body.Close()
				return true
			}, "it listens on %s", *c.address)
			node.process.Kill(t)
		})
	}
	t.Run("serve", func(t *testing.T) {
		fleet := ragworttest.NewFleet(t)
		address := ragworttest.FreeAddress(t)
		taken := listen(t, address)
		p := ragworttest.StartProcess(t, "entry", address, "--node=n", "--data-centre=th-a", "--listen="+address, "--platform="+fleet.PlatformURL)
		time.Sleep(briefly)
		require.False(t, p.Exited(), p.Log.Tail())
		taken.Close()
		ragworttest.Eventually(t, func() bool {
			rs, err := http.Get("http://" + address + "/healthz")
			if err != nil {
				return false
			}
			rs.Body.Close()
			return rs.StatusCode == http.StatusOK
		}, "the entry listens")
	})
}

// TestMetricsServerFailureEndsProcess guards against a process that does not serve callers since its
// metrics page or its port for peers cannot be served.
func TestMetricsServerFailureEndsProcess(t *testing.T) {
	f, node := newStoppedRelay(t)
	for _, address := range []string{node.metricsAddress, node.peerAddress} {
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		defer l.Close()
	}
	f.startNode(node)
	f.requireServes(node)
	require.True(t, f.isReady(node))
	node.process.Signal(t, syscall.SIGTERM)
	require.Zero(t, node.process.ExitCode(t))
}

// TestTornSettingsEndProcess starts a process while its settings file is being written. It must wait for the
// whole file. If none comes, it must name the problem and exit as after invalid settings.
func TestTornSettingsEndProcess(t *testing.T) {
	f, node := newStoppedRelay(t)
	whole, err := os.ReadFile(node.settingsPath)
	require.NoError(t, err)
	for _, c := range []struct{ name, text string }{
		{"missing", ""}, {"empty", ""}, {"half written", string(whole[:len(whole)/2])}, {"another version", `{"node":"n"}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.NoError(t, os.WriteFile(node.settingsPath, []byte(c.text), 0o600))
			if c.name == "missing" {
				require.NoError(t, os.Remove(node.settingsPath))
			}
			f.startNode(node)
			time.Sleep(briefly)
			require.False(t, node.process.Exited(), node.process.Log.Tail())
			require.Contains(t, node.process.Log.String(), "event=settings_unusable")
			f.writeSettings(node)
			f.waitReady(node)
			f.requireServes(node)
			node.process.Kill(t)
		})
	}
	t.Run("for good", func(t *testing.T) {
		require.NoError(t, os.WriteFile(node.settingsPath, whole[:len(whole)/2], 0o600))
		f.startNode(node)
		require.Equal(t, 2, node.process.ExitCode(t))
		require.Contains(t, node.process.Log.String(), "cause=settings")
		require.Contains(t, node.process.Log.String(), "unexpected end of JSON input")
	})
	t.Run("stopped meanwhile", func(t *testing.T) {
		f.startNode(node)
		ragworttest.Eventually(t, func() bool { return len(node.process.Log.String()) > 0 }, "the first read has failed")
		node.process.Signal(t, syscall.SIGTERM)
		require.Zero(t, node.process.ExitCode(t))
		require.Contains(t, node.process.Log.String(), "cause=signal")
	})
}

// panickingTopic is a topic whose reads panic for a while, as on a record that the program cannot deal with.
type panickingTopic struct {
	feed.Topic
	reads atomic.Int64
}

const panickingReads = 3

func (p *panickingTopic) Since(ctx context.Context, from feed.Position, wait time.Duration) (feed.Page, error) {
	if p.reads.Add(1) <= panickingReads {
		panic("broken record")
	}
	return p.Topic.Since(ctx, from, wait)
}

const panicSettings = "RAGWORT_TEST_PANIC"

// TestPanicOfTaskEndsProcess runs a gateway whose follower panics on its first reads, in a process of its
// own. The process must go on serving and follow the topic again.
func TestPanicOfTaskEndsProcess(t *testing.T) {
	if path := os.Getenv(panicSettings); path != "" {
		runPanickingGateway(t, path)
		return
	}
	f, node := newStoppedRelay(t)
	t.Setenv(panicSettings, node.settingsPath)
	node.process = ragworttest.StartTestProcess(t, t.Name())
	f.waitReady(node)
	f.requireServes(node)
	f.putCatalog("key-1", "key-3")
	ragworttest.Eventually(t, func() bool { return f.statusFor(node, "key-3") == http.StatusOK || node.process.Exited() }, "the topic is followed again")
	require.False(t, node.process.Exited(), node.process.Log.Tail())
	require.Contains(t, node.process.Log.String(), "event=task_panicked")
	require.Contains(t, node.process.Log.String(), "broken record")
}

// runPanickingGateway runs a gateway until it ends.
func runPanickingGateway(t *testing.T, settingsPath string) {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stdout))
	s, err := gateway.ReadSettings(settingsPath)
	require.NoError(t, err)
	p := platform.New(s, logger)
	p.OperatorTopic = &panickingTopic{Topic: p.OperatorTopic}
	readSettings := func() (*gateway.Settings, error) { return s, nil }
	require.NoError(t, gateway.NewProgram(s, readSettings, clock.New(), p, logger).Run(t.Context(), gateway.Signals{}))
}

// TestStuckLogReaderStopsNothing starts programs whose output is never read and too much for the pipe. They
// must stop when asked to.
func TestStuckLogReaderStopsNothing(t *testing.T) {
	const platformURL = "http://127.0.0.1:1" // nothing listens there: each failure is logged
	for _, c := range []struct {
		program string
		args    []string
	}{
		{"entry", nil},
		{"sidecar", []string{"--upstream=u", "--upstream-url=http://127.0.0.1:2", "--service=desk"}},
	} {
		t.Run(c.program, func(t *testing.T) {
			reader, output, err := os.Pipe()
			require.NoError(t, err)
			t.Cleanup(func() { require.NoError(t, reader.Close()) })
			size, _, errno := syscall.Syscall(syscall.SYS_FCNTL, output.Fd(), unix.F_SETPIPE_SZ, 4096)
			require.Zero(t, errno)
			address := ragworttest.FreeAddress(t)
			args := append([]string{"--node=n", "--data-centre=th-a", "--listen=" + address, "--platform=" + platformURL, "--linger=1ms"}, c.args...)
			p := ragworttest.StartProcessWritingTo(t, output, c.program, address, args...)
			require.NoError(t, output.Close())
			ragworttest.Eventually(t, func() bool {
				held, err := unix.IoctlGetInt(int(reader.Fd()), unix.TIOCINQ)
				return err == nil && held > int(size)*3/4
			}, "the pipe is full")
			time.Sleep(briefly)
			p.Signal(t, syscall.SIGTERM)
			require.Zero(t, p.ExitCode(t))
		})
	}
}

// TestTornSettingsAreReloaded asks for a reload while the settings file is being written. The process must
// apply the whole file once it is there.
func TestTornSettingsAreReloaded(t *testing.T) {
	f := newRelayFleet(t, 1)
	node := f.nodes[0]
	whole, err := os.ReadFile(node.settingsPath)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(node.settingsPath, whole[:len(whole)/2], 0o600))
	node.process.Signal(t, syscall.SIGHUP)
	ragworttest.Eventually(t, func() bool { return strings.Contains(node.process.Log.String(), "event=reload_refused") }, "the torn file is refused")
	require.NotContains(t, node.process.Log.String(), "event=reloaded")
	require.NoError(t, os.WriteFile(node.settingsPath, whole, 0o600))
	ragworttest.Eventually(t, func() bool { return strings.Contains(node.process.Log.String(), "event=reloaded") }, "the whole file is applied")
}
