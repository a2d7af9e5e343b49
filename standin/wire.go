package standin

// This file defines what operators, replicas and clients write and read on the users'
// platform, in the platform's own words, so that tests need not spell them.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// Partitions by name, for StoreFaults.UnavailablePartitions, Trim and Len.
const (
	OperatorsTopic = "keyed.op"
	ReplicasTopic  = "keyed.servers"
	ClaimsTopic    = "duty.usage"
)

// CopyPartition names the partition with a copy of a topic; they are numbered from 1.
func CopyPartition(topic string, number int) string {
	return fmt.Sprintf("keyed.copy.%s/%d", topic, number)
}

// PutCatalog puts a configuration in force. Of what a catalog holds, the limits of idle time
// and of heads that take long are not written.
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
		for _, x := range r.Services {
			split = append(split, map[string]any{"Service": x.Service, "Weight": x.Weight})
		}
		routes = append(routes, map[string]any{
			"Name": r.Name, "Host": r.Host, "PathPrefix": r.PathPrefix, "RouteKind": kind, "Resumable": r.Kind == catalog.KindResumable,
			"TimeoutMs": r.Timeout.Milliseconds(), "GoalMs": r.LatencyObjective.Milliseconds(), "GapGoalMs": r.MaxEventGap.Milliseconds(),
			"Priority": r.Priority, "Split": split, "Attempts": r.MaxAttempts, "Public": r.Public, "Sticky": r.PromptAffinity,
		})
	}
	services := make([]map[string]any, 0, len(c.Services))
	for _, x := range c.Services {
		services = append(services, map[string]any{"Name": x.Name, "ColdS": x.Cold.Duration.Seconds(), "ColdPerS": x.Cold.RequestsPerSecond})
	}
	type tenant struct {
		Name     id.Workspace
		Priority *int
		ApiKeys  []string //nolint:revive // the wire's spelling
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

// SetEvacuated asks that a data centre gets no new work, or takes that back.
func (s *Store) SetEvacuated(dc id.DataCentre, on bool) {
	var value []byte
	if on {
		value = []byte("{}")
	}
	s.Put(OperatorsTopic, "evacuate/"+string(dc), value)
}

// PutListing writes the entry of a replica, as it does at each heartbeat.
func (s *Store) PutListing(l pool.Listing) error {
	state := "ready"
	if l.Draining {
		state = "draining"
	}
	s.mu.Lock()
	s.beats++
	beat := s.beats
	s.mu.Unlock()
	text, err := json.Marshal(map[string]any{
		"Service": l.Service, "Addr": l.Address, "Zone": l.DataCentre, "State": state, "Slots": l.Slots,
		"ColdLeftMs": l.ColdFor.Milliseconds(), "born": l.StartUnixMS, "Seq": beat,
	})
	if err != nil {
		return err
	}
	s.Put(ReplicasTopic, string(l.ID), text)
	return nil
}

// DeleteListing removes the entry of a replica.
func (s *Store) DeleteListing(u id.Upstream) { s.Put(ReplicasTopic, string(u), nil) }

// ReplicaRequest is what a replica is told of a request.
type ReplicaRequest struct {
	Request         id.Request
	ExpectedReplica id.Upstream
	Workspace       id.Workspace
	Urgency         int // -1: not said
	LastEventID     int // the last event that the client has; zero: none
}

// ParseReplicaRequest reads the headers of a request at a replica.
func ParseReplicaRequest(h http.Header) ReplicaRequest {
	number := func(name string, unsaid int) int {
		if n, err := strconv.Atoi(h.Get(name)); err == nil {
			return n
		}
		return unsaid
	}
	return ReplicaRequest{
		Request: id.Request(h.Get("X-Request-Id")), ExpectedReplica: id.Upstream(h.Get("X-Expect-Replica")), Workspace: id.Workspace(h.Get("X-Tenant")),
		Urgency: number("X-Request-Urgency", -1), LastEventID: number("Last-Event-Id", 0),
	}
}

// SignResponse marks the answer of a replica that runs a request.
func SignResponse(h http.Header, rq id.Request) {
	h.Set("X-Request-Id", string(rq))
	h.Set("X-Replica-Stamp", "signed")
}

// RefuseRequest answers a request that a replica does not run: 421 if another replica was
// meant, else 503.
func RefuseRequest(w http.ResponseWriter, j ReplicaRequest, self id.Upstream) {
	w.Header().Set("X-Request-Id", string(j.Request))
	w.Header().Set("X-Not-Run", "1")
	if j.ExpectedReplica != self {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// SetRequestHeaders sets the headers of a client's request.
func SetRequestHeaders(h http.Header, rq id.Request, key string, wait time.Duration) {
	h.Set("X-Request-Id", string(rq))
	h.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	h.Set("Authorization", "Bearer "+key)
}

// ResponseRequestID returns the request that an answer is for.
func ResponseRequestID(h http.Header) id.Request { return id.Request(h.Get("X-Request-Id")) }
