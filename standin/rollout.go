package standin

// This file defines how operators order roll-outs on the users' platform, and how the platform carries
// them out: it starts replicas of the target version, reads the status that the router writes, and ends
// the replicas that are no longer wanted.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// StatusTopic is the topic in which the router reports to operators. See Store.Len.
const StatusTopic = "keyed.status"

// RolloutState is how far a roll-out is, as the router reports it.
type RolloutState string

// The states of a roll-out.
const (
	RolloutRunning    RolloutState = "running"
	RolloutDone       RolloutState = "done"
	RolloutRolledBack RolloutState = "rolled_back"
)

// RolloutStatus is the status of a roll-out, with the platform's names of its fields.
type RolloutStatus struct {
	State  RolloutState
	Target id.Version
}

// RolloutKey returns the key of the order for a service and of its status.
func RolloutKey(service id.Service) string { return "rollout/" + string(service) }

// OrderRollout writes an order to move the traffic of a service to a version within a time. An order
// replaces the one before.
func (s *Store) OrderRollout(service id.Service, target id.Version, within time.Duration) error {
	text, err := json.Marshal(map[string]any{"Service": service, "Target": target, "DurationS": within.Seconds()})
	if err != nil {
		return err
	}
	s.Put(OperatorsTopic, RolloutKey(service), text)
	return nil
}

// WithdrawRollout deletes the order for a service.
func (s *Store) WithdrawRollout(service id.Service) { s.Put(OperatorsTopic, RolloutKey(service), nil) }

// statusRecord returns the newest status of a service's roll-out as it lies on the store.
func (s *Store) statusRecord(service id.Service) keyedRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partition(StatusTopic).newest[RolloutKey(service)]
}

// parseRolloutStatus reads a status that the router has written.
func parseRolloutStatus(text []byte) (status RolloutStatus, err error) {
	if err := json.Unmarshal(text, &status); err != nil {
		return RolloutStatus{}, fmt.Errorf("status %.100q: %w", text, err)
	}
	switch status.State {
	case RolloutRunning, RolloutDone, RolloutRolledBack:
		return status, nil
	}
	return RolloutStatus{}, fmt.Errorf("status %.100q: State: expected running, done or rolled_back", text)
}

// appendTopic returns the topic to which a call appends; it is empty for any other call.
func appendTopic(r *http.Request) string {
	if r.URL.Path != "/api/log-append" {
		return ""
	}
	return r.URL.Query().Get("Topic")
}

// RecordAppends returns a handler that calls record with the topic of each append before next handles it.
// A test puts it in front of a store to learn which process writes.
func RecordAppends(next http.Handler, record func(topic string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if topic := appendTopic(r); topic != "" {
			record(topic)
		}
		next.ServeHTTP(w, r)
	})
}

// The times of the platform in a roll-out.
const (
	startDelay    = 600 * time.Millisecond // from an order to the start of replicas of the target
	rollbackDelay = 3 * time.Second        // from rolled_back until the target's replicas drain
	statusPoll    = 20 * time.Millisecond
)

// RolloutOrder is an order for a roll-out, and the replicas of the target that the platform starts for it.
type RolloutOrder struct {
	Service  id.Service
	Target   id.Version
	Within   time.Duration
	Replicas []ReplicaConfig
}

// StatusChange is a status as the platform first saw it.
type StatusChange struct {
	At time.Time
	RolloutStatus
}

// RolloutRecord is what the platform has seen of a roll-out.
type RolloutRecord struct {
	Service   id.Service
	Target    id.Version
	OrderedAt time.Time
	Deadline  time.Time      // by which a good version must be in use alone
	Statuses  []StatusChange // in their order
	Problems  []string       // statuses that cannot be read, or are not allowed after those before
}

// End returns how the roll-out ended. It reports false while it goes on.
func (r *RolloutRecord) End() (StatusChange, bool) {
	for _, c := range r.Statuses {
		if c.Target == r.Target && c.State != RolloutRunning {
			return c, true
		}
	}
	return StatusChange{}, false
}

// Rollout is an order that the platform carries out. It is safe for concurrent use.
type Rollout struct {
	replicas *Replicas
	configs  []ReplicaConfig

	mu     sync.Mutex
	record RolloutRecord
}

// Order writes an order and carries it out until ctx ends.
func (rs *Replicas) Order(ctx context.Context, o RolloutOrder) (*Rollout, error) {
	now := time.Now()
	r := &Rollout{replicas: rs, configs: o.Replicas, record: RolloutRecord{Service: o.Service, Target: o.Target, OrderedAt: now, Deadline: now.Add(o.Within)}}
	before := rs.store.statusRecord(o.Service)
	if err := rs.store.OrderRollout(o.Service, o.Target, o.Within); err != nil {
		return nil, err
	}
	rs.tasks.Go(func() { r.carryOut(ctx, before) })
	return r, nil
}

// Record returns what the platform has seen so far.
func (r *Rollout) Record() RolloutRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.record
	c.Statuses, c.Problems = slices.Clone(c.Statuses), slices.Clone(c.Problems)
	return c
}

// carryOut starts replicas of the target and acts on each status but the one that lay on the store before.
func (r *Rollout) carryOut(ctx context.Context, before keyedRecord) {
	o := r.Record()
	started, drainAt := false, time.Time{}
	for ticker := time.NewTicker(statusPoll); ; {
		select {
		case <-ctx.Done():
			ticker.Stop()
			return
		case now := <-ticker.C:
			if !started && now.Sub(o.OrderedAt) >= startDelay {
				started = true
				r.startTarget()
			}
			if c, changed := r.readStatus(now, before); changed {
				switch {
				case c.Target != o.Target && !r.isReplaced(): // still of the order before
				case c.Target != o.Target, c.State == RolloutRolledBack:
					drainAt = now.Add(rollbackDelay)
				case c.State == RolloutDone:
					r.replicas.stopOthers(o.Service, o.Target)
				}
			}
			if !drainAt.IsZero() && now.After(drainAt) {
				drainAt = time.Time{}
				r.replicas.drainVersion(ctx, o.Service, o.Target)
			}
		}
	}
}

// isReplaced reports whether a newer order names another target.
func (r *Rollout) isReplaced() bool {
	s := r.replicas.store
	s.mu.Lock()
	defer s.mu.Unlock()
	var order struct{ Target id.Version }
	newest := s.partition(OperatorsTopic).newest[RolloutKey(r.record.Service)]
	return json.Unmarshal(newest.value, &order) == nil && order.Target != r.record.Target
}

// startTarget starts the replicas of the target unless the roll-out has ended.
func (r *Rollout) startTarget() {
	record := r.Record()
	if _, ended := record.End(); ended {
		return
	}
	for _, cfg := range r.configs {
		if _, err := r.replicas.Start(cfg); err != nil {
			r.addProblem("start a replica of %s: %v", cfg.Version, err)
		}
	}
}

// readStatus reports whether there is a status that differs from the last one seen.
func (r *Rollout) readStatus(now time.Time, before keyedRecord) (StatusChange, bool) {
	record := r.replicas.store.statusRecord(r.record.Service)
	if record.value == nil || record.offset == before.offset && bytes.Equal(record.value, before.value) {
		return StatusChange{}, false
	}
	status, err := parseRolloutStatus(record.value)
	if err != nil {
		r.addProblem("%v", err)
		return StatusChange{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last := StatusChange{}
	if n := len(r.record.Statuses); n > 0 {
		last = r.record.Statuses[n-1]
	}
	if last.RolloutStatus == status {
		return StatusChange{}, false
	}
	if last.State != "" && last.State != RolloutRunning && last.Target == status.Target {
		r.record.Problems = append(r.record.Problems, fmt.Sprintf("the status of %s went from %s to %s", r.record.Service, last.State, status.State))
	}
	c := StatusChange{now, status}
	r.record.Statuses = append(r.record.Statuses, c)
	return c, true
}

func (r *Rollout) addProblem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if text := fmt.Sprintf(format, args...); !slices.Contains(r.record.Problems, text) {
		r.record.Problems = append(r.record.Problems, text)
	}
}
