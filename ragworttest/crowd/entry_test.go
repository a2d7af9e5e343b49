package crowd_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

const (
	completionsPath = "/v1/chat/completions"
	completionBody  = `{"model": "temper-70b", "max_tokens": 4, "messages": [{"role": "user", "content": "a hinge"}]}`
	nodeCallPath    = "/ragwort.v1.NodeService/Fetch"
)

var (
	entryDoors   = []string{"route", "ready", "call"}
	sidecarDoors = []string{"route", "call"}
)

// startFleet starts an entry and a sidecar with an engine. Both read their bounds from the environment.
func startFleet(t *testing.T, maxDescriptors int) (entry, sidecar *ragworttest.Process, crowdSecret string, ordinary map[string]func() (int, error)) {
	t.Setenv("RAGWORT_MEMORY_MB", strconv.Itoa(memoryMB))
	t.Setenv("RAGWORT_MAX_DESCRIPTORS", strconv.Itoa(maxDescriptors))
	t.Setenv("RAGWORT_MAX_BODY", strconv.Itoa(bodyLimit))
	f := ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	secret, _ := f.GiveKey("bangkok-forge")
	crowdSecret, _ = f.GiveKey("nan-forge")
	engine, url := f.StartEngine(standin.DefaultEngineConfig())
	engine.MakeWarm()
	sidecar, entry = f.StartSidecar("s1", "th-a", url, "--models=temper-70b"), f.StartEntry("e1", "th-a")
	sidecar.WaitReady(t)
	entry.WaitReady(t)
	ordinary = map[string]func() (int, error){
		"a caller":                       complete(entry.Address, secret),
		"the entry's check of readiness": get(entry.Address, "/readyz", "", nil), "the sidecar's check of readiness": get(sidecar.Address, "/readyz", "", nil),
	}
	ragworttest.Eventually(t, func() bool {
		status, err := ordinary["a caller"]()
		return err == nil && status == http.StatusOK
	}, "the entry serves")
	return entry, sidecar, crowdSecret, ordinary
}

// complete returns a function that asks for a completion on a new connection.
func complete(address, secret string) func() (int, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: ordinaryTimeout}
	return func() (int, error) {
		rq, err := http.NewRequest(http.MethodPost, "http://"+address+completionsPath, strings.NewReader(completionBody))
		if err != nil {
			return 0, err
		}
		rq.Header.Set("Authorization", "Bearer "+secret)
		rq.Header.Set("Content-Type", "application/json")
		rs, err := client.Do(rq)
		if err != nil {
			return 0, err
		}
		defer rs.Body.Close()
		_, err = io.Copy(io.Discard, rs.Body)
		return rs.StatusCode, err
	}
}

// doorsOf returns the doors of an entry or a sidecar, which are all at one address.
func doorsOf(address, secret string) map[string]door {
	headers := fmt.Sprintf("Host: %s\r\nAuthorization: Bearer %s\r\n", host, secret)
	return map[string]door{
		"route": {address, completionsPath, headers + "Content-Type: application/json\r\n"},
		"ready": {address, "/readyz", headers},
		"call":  {address, nodeCallPath, headers + "Content-Type: application/proto\r\n"},
	}
}

func newEntry(t *testing.T, maxDescriptors int) *target {
	entry, _, secret, ordinary := startFleet(t, maxDescriptors)
	return &target{process: entry, doors: doorsOf(entry.Address, secret), ordinary: ordinary}
}

func newSidecar(t *testing.T, maxDescriptors int) *target {
	_, sidecar, secret, ordinary := startFleet(t, maxDescriptors)
	return &target{process: sidecar, doors: doorsOf(sidecar.Address, secret), ordinary: ordinary}
}

// TestEntryMemory and TestEntryDescriptors have crowds at the doors of an entry of our own deployment.
func TestEntryMemory(t *testing.T)      { runAll(t, entryDoors, newEntry) }
func TestEntryDescriptors(t *testing.T) { runDescriptors(t, entryDoors, newEntry) }

// TestSidecarMemory and TestSidecarDescriptors have crowds at the doors of a sidecar.
func TestSidecarMemory(t *testing.T)      { runAll(t, sidecarDoors, newSidecar) }
func TestSidecarDescriptors(t *testing.T) { runDescriptors(t, sidecarDoors, newSidecar) }
