package standin

// This file defines the records and headers that operators, replicas and clients exchange on
// the users' platform, with the platform's own names, so that tests need not know them. A
// replica is an upstream, an evacuated data centre one that gets no new work, and a tenant a
// workspace.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// Names of partitions, for StoreFaults.UnavailablePartitions, Trim and Len.
const (
	OperatorsTopic = "keyed.op"      // the configuration and evacuated data centres
	ReplicasTopic  = "keyed.servers" // listings of replicas
	ClaimsTopic    = "duty.usage"    // claims of the duty to report usage
)

// CopyPartition returns the name of the partition with the given copy of a topic. Copies are
// numbered from 1.
func CopyPartition(topic string, number int) string {
	return fmt.Sprintf("keyed.copy.%s/%d", topic, number)
}

// PutCatalog writes a configuration as an operator does. It leaves out the catalog's timeouts
// for idle connections and for request headers, and writes keys only if the catalog requires
// them.
func (s *Store) PutCatalog(c *catalog.Catalog) error {
	routes := make([]map[string]any, 0, len(c.Routes))
	for _, r := range c.Routes {
		kind := "stream"
		switch r.Kind {
		case catalog.KindOnce:
			kind = "unsafe"
		case catalog.KindSafe:
			kind = "safe"
		case catalog.KindStream, catalog.KindResumable:
		}
		split := make([]map[string]any, 0, len(r.Services))
		for _, service := range r.Services {
			split = append(split, map[string]any{"Service": service.Service, "Weight": service.Weight})
		}
		routes = append(routes, map[string]any{
			"Name": r.Name, "Host": r.Host, "PathPrefix": r.PathPrefix, "RouteKind": kind, "Resumable": r.Kind == catalog.KindResumable,
			"TimeoutMs": r.Timeout.Milliseconds(), "GoalMs": r.LatencyObjective.Milliseconds(), "GapGoalMs": r.MaxEventGap.Milliseconds(),
			"Priority": r.Priority, "Split": split, "Attempts": r.MaxAttempts, "Public": r.Public, "Sticky": r.PromptAffinity,
		})
	}
	services := make([]map[string]any, 0, len(c.Services))
	for _, service := range c.Services {
		services = append(services, map[string]any{"Name": service.Name, "ColdS": service.Cold.Duration.Seconds(), "ColdPerS": service.Cold.RequestsPerSecond})
	}
	type tenant struct {
		Name     id.Workspace
		Priority *int
		ApiKeys  []string //nolint:revive // spelled as on the wire
	}
	byName := make(map[id.Workspace]*tenant)
	var tenants []*tenant
	for key, w := range c.Workspaces {
		if byName[w.Name] == nil {
			byName[w.Name] = &tenant{Name: w.Name, Priority: w.Priority}
			tenants = append(tenants, byName[w.Name])
		}
		byName[w.Name].ApiKeys = append(byName[w.Name].ApiKeys, key)
	}
	doc := map[string]any{
		"Version": c.Version, "Routes": routes, "Services": services,
		"Limits": map[string]int64{"MaxBodyBytes": c.Limits.BodyBytes, "MaxHeaderBytes": int64(c.Limits.HeaderBytes)},
	}
	if c.RequireKeys {
		doc["Tenants"] = tenants
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	s.Put(OperatorsTopic, "config", text)
	return nil
}

// SetEvacuated marks a data centre as evacuated, so that it gets no new work, or removes the
// mark.
func (s *Store) SetEvacuated(dc id.DataCentre, evacuated bool) {
	var value []byte
	if evacuated {
		value = []byte("{}")
	}
	s.Put(OperatorsTopic, "evacuate/"+string(dc), value)
}

// PutListing writes the listing of a replica, as the replica does at each heartbeat.
// It leaves out a version that is empty.
func (s *Store) PutListing(l pool.Listing) error {
	state := "ready"
	if l.Draining {
		state = "draining"
	}
	s.mu.Lock()
	s.listingSeq++
	seq := s.listingSeq
	s.mu.Unlock()
	fields := map[string]any{
		"Service": l.Service, "Addr": l.Address, "Zone": l.DataCentre, "State": state, "Slots": l.Slots,
		"ColdLeftMs": l.ColdFor.Milliseconds(), "born": l.StartUnixMS, "Seq": seq,
	}
	if l.Version != "" {
		fields["Version"] = l.Version
	}
	text, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	s.Put(ReplicasTopic, string(l.ID), text)
	return nil
}

// DeleteListing deletes the listing of a replica.
func (s *Store) DeleteListing(u id.Upstream) { s.Put(ReplicasTopic, string(u), nil) }

// ReplicaRequest holds the headers that a replica reads of a request.
type ReplicaRequest struct {
	Request         id.Request
	ExpectedReplica id.Upstream
	Workspace       id.Workspace
	Urgency         int // -1: not given
	LastEventID     int // the last event that the client has received; zero: none
}

// ParseReplicaRequest reads the headers of a request that a replica has received.
func ParseReplicaRequest(h http.Header) ReplicaRequest {
	intHeader := func(name string, fallback int) int {
		if n, err := strconv.Atoi(h.Get(name)); err == nil {
			return n
		}
		return fallback
	}
	return ReplicaRequest{
		Request: id.Request(h.Get("X-Request-Id")), ExpectedReplica: id.Upstream(h.Get("X-Expect-Replica")), Workspace: id.Workspace(h.Get("X-Tenant")),
		Urgency: intHeader("X-Request-Urgency", -1), LastEventID: intHeader("Last-Event-Id", 0),
	}
}

// SignResponse sets the headers with which a replica marks a response as its own.
func SignResponse(h http.Header, requestID id.Request) {
	h.Set("X-Request-Id", string(requestID))
	h.Set("X-Replica-Stamp", "signed")
}

// RefuseRequest answers a request that the replica self has not run: with 421 if it was meant
// for another replica, else with 503.
func RefuseRequest(w http.ResponseWriter, request ReplicaRequest, self id.Upstream) {
	MarkNotRun(w.Header(), request.Request)
	if request.ExpectedReplica != self {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// MarkNotRun sets the headers of a response to a request that the replica has not run. Without an
// ID, the response does not name the request.
func MarkNotRun(h http.Header, requestID id.Request) {
	if requestID != "" {
		h.Set("X-Request-Id", string(requestID))
	}
	h.Set("X-Not-Run", "1")
}

// MarkLeaving sets the header that a replica adds to every response once it is leaving.
func MarkLeaving(h http.Header) { h.Set("Server-Leaving", "1") }

// AskWait sets the header by which a replica that refuses a request asks for no further ones
// for a time.
func AskWait(h http.Header, wait time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
}

// NameLimit sets the header by which a replica names how many requests a second it takes from
// all callers together.
func NameLimit(h http.Header, limit id.PerSecond) {
	h.Set("Server-Limit", strconv.FormatFloat(float64(limit), 'f', -1, 64))
}

// SetRequestHeaders sets the headers of a client's request. The timeout is the time that the
// client grants for the response.
func SetRequestHeaders(h http.Header, requestID id.Request, key string, timeout time.Duration) {
	h.Set("X-Request-Id", string(requestID))
	h.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	h.Set("Authorization", "Bearer "+key)
}

// SetExpectedReplica names the replica that a request is meant for.
func SetExpectedReplica(h http.Header, replica id.Upstream) {
	h.Set("X-Expect-Replica", string(replica))
}

// ResponseRequestID returns the ID of the request that a response answers.
func ResponseRequestID(h http.Header) id.Request { return id.Request(h.Get("X-Request-Id")) }

// SetPrompt sets the headers that describe the prompt of a client's request by the ids of its
// parts, each with the same number of tokens.
func SetPrompt(h http.Header, model id.Model, parts ...string) {
	const partTokens = 20
	sized := make([]string, 0, len(parts))
	for _, part := range parts {
		sized = append(sized, fmt.Sprintf("%s:%d", part, partTokens))
	}
	h.Set("X-Model", string(model))
	h.Set("X-Token-Count", fmt.Sprintf("%d,8", partTokens*len(parts)))
	h.Set("X-Prompt-Prefix", strings.Join(sized, ","))
}

// PromptParts returns the ids of the parts of a request's prompt, in order.
func PromptParts(h http.Header) []string {
	var ids []string
	for part := range strings.SplitSeq(h.Get("X-Prompt-Prefix"), ",") {
		name, _, _ := strings.Cut(part, ":")
		ids = append(ids, name)
	}
	return ids
}
