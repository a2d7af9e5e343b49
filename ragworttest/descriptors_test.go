package ragworttest_test

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/ragwortpass/ragwortpass/ragworttest"
)

// relayPid returns the process id of a relay, by its log.
func relayPid(t *testing.T, p *ragworttest.Process) int {
	var match []string
	ragworttest.Eventually(t, func() bool {
		match = regexp.MustCompile(`event=start .*pid=(\d+)`).FindStringSubmatch(p.Log.String())
		return match != nil
	}, "the start is logged")
	pid, err := strconv.Atoi(match[1])
	require.NoError(t, err)
	return pid
}

// TestIdleCallersTakeAllDescriptors has callers that only connect take all descriptors of a process, while others call on
// connections that they keep.
func TestIdleCallersTakeAllDescriptors(t *testing.T) {
	const (
		descriptors = 300
		idle        = 600
		neighbours  = 8
	)
	f, node := newStoppedRelay(t)
	node.maxDescriptors = 200 + descriptors // that many are not for sockets
	f.writeSettings(node)
	f.startNode(node)
	f.waitReady(node)
	f.runTime.Store(int64(20 * time.Millisecond))
	limit := unix.Rlimit{Cur: descriptors, Max: descriptors}
	require.NoError(t, unix.Prlimit(relayPid(t, node.process), unix.RLIMIT_NOFILE, &limit, nil))
	for name, keep := range map[string]bool{"kept": true, "new": false} {
		t.Run(name, func(t *testing.T) {
			callers := make([]*persistentCaller, neighbours)
			for i := range callers {
				callers[i] = &persistentCaller{address: node.callerAddress, path: "/look/x"}
				defer callers[i].close()
				status, err := callers[i].call(time.Second)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
			}
			time.Sleep(5 * time.Second) // idle connections to upstreams are closed
			for range idle {
				conn, err := net.DialTimeout("tcp", node.callerAddress, time.Second)
				require.NoError(t, err)
				defer conn.Close()
			}
			time.Sleep(500 * time.Millisecond)
			var outcomes tally
			var running sync.WaitGroup
			for _, c := range callers {
				running.Go(func() {
					for range 20 {
						if !keep {
							c.close()
						}
						status, err := c.call(time.Second)
						if err != nil {
							outcomes.add(regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(err.Error(), "address"))
						} else {
							outcomes.add(fmt.Sprint(status))
						}
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
			running.Wait()
			lines := make(map[string]int)
			for line := range strings.Lines(node.process.Log.String()) {
				if event := regexp.MustCompile(`event=(\S+)`).FindStringSubmatch(line); event != nil && strings.Contains(line, "too many open files") {
					lines[event[1]]++
				}
			}
			t.Logf("%v, too many open files in %v", outcomes.counts, lines)
			require.False(t, node.process.Exited())
			require.Equal(t, map[string]int{"200": neighbours * 20}, outcomes.counts)
		})
	}
}
