// Package workspace holds the limits of workspaces. A limit is a promise over all
// entries, which each entry enforces by itself: it spends from a part of the
// limit.
//
// The limit of an idle workspace is split evenly among the entries. That of a busy
// one follows demand, but for a tenth that stays split evenly, so that it can turn
// to any entry. Entries tell each other the
// demand they see (Report), and each computes its own part. The parts never add
// up to more than the limit, whatever is delayed or lost, since an entry counts
// its own demand at the least that any other entry may still believe, and others'
// at what they told last.
//
// An entry that has lost touch with another falls back to the limit over the
// number of entries, and so do those that hear of it. Until all have noticed, and
// while they return, parts may be counted twice: around each such change, entries
// spend at most what the limit gives in noticeAfter more, besides a burst each.
package workspace

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
)

const (
	shardCount   = 16
	defaultBurst = time.Second
	evenPart     = 0.1 // of a limit, split evenly among the entries
)

// Decision is the outcome of a charge: Allowed or Limited.
type ChargeResult interface{ decision() }

// Allowed says that the workspace may run the request.
type Allowed struct{}

// Limited says that the workspace has spent its limit.
type Limited struct {
	Unit       string        // requests or tokens
	Fraction   float64       // of the limit, at this entry
	RetryAfter time.Duration // until this entry has what the request lacks
}

func (Allowed) decision() {}
func (Limited) decision() {}

// Limits enforces the limits of every workspace at one entry. It is safe for
// concurrent use.
type Limits struct {
	shards [shardCount]shard
	peers  peers
}

type shard struct {
	mu       sync.Mutex
	accounts map[id.Workspace]*account
}

// account is what one workspace spends at this entry.
type account struct {
	part     float64 // of the limits
	requests *rate.Limiter
	tokens   *rate.Limiter
	debt     float64 // tokens spent beyond what the limiter had; below zero: credit

	demand demand
}

// New returns limits that no workspace has spent from.
func New(now time.Time, incarnation id.Incarnation) *Limits {
	l := &Limits{}
	l.peers.init(now, incarnation)
	for i := range l.shards {
		l.shards[i].accounts = make(map[id.Workspace]*account)
	}
	return l
}

func (l *Limits) shard(ws id.Workspace) *shard {
	return &l.shards[xxhash.Sum64String(string(ws))%shardCount]
}

// Charge spends one request and its expected tokens.
func (l *Limits) Charge(now time.Time, r *rule.Workspace, expected id.Tokens) ChargeResult {
	if r.RequestsPerSecond <= 0 && r.TokensPerSecond <= 0 {
		return Allowed{}
	}
	s := l.shard(r.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[r.Name]
	if a == nil {
		a = l.open(s, r)
	}
	a.demand.add(float64(max(1, expected)))
	a.follow(now, r)
	return a.charge(now, r, float64(expected))
}

// open adds an account. The caller holds the lock of s, which is released in
// between: that of the peers is taken first.
func (l *Limits) open(s *shard, r *rule.Workspace) *account {
	s.mu.Unlock()
	part := l.peers.firstPart(r.Name)
	s.mu.Lock()
	a := s.accounts[r.Name]
	if a == nil {
		a = newAccount(r, part)
		s.accounts[r.Name] = a
	}
	return a
}

// Settle corrects a charge when the answer has ended.
func (l *Limits) Settle(ws id.Workspace, expected, got id.Tokens) {
	s := l.shard(ws)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[ws]; a != nil {
		a.debt += float64(got - expected)
		a.debt = max(a.debt, -float64(a.tokens.Burst()))
	}
}

// newAccount returns an account with a whole burst.
func newAccount(r *rule.Workspace, part float64) *account {
	requests, tokens := r.RequestsPerSecond*part, r.TokensPerSecond*part
	return &account{
		part:     part,
		requests: rate.NewLimiter(rate.Limit(requests), burst(requests, r.Burst)),
		tokens:   rate.NewLimiter(rate.Limit(tokens), burst(tokens, r.Burst)),
	}
}

// follow sets the limiters to the account's part of the rule's limits.
func (a *account) follow(now time.Time, r *rule.Workspace) {
	set(now, a.requests, r.RequestsPerSecond*a.part, r.Burst)
	set(now, a.tokens, r.TokensPerSecond*a.part, r.Burst)
}

func set(now time.Time, l *rate.Limiter, limit float64, span time.Duration) {
	if l.Limit() == rate.Limit(limit) {
		return
	}
	l.SetLimitAt(now, rate.Limit(limit))
	l.SetBurstAt(now, burst(limit, span))
}

// burst returns how much may be spent at once: at least one, so that a small part
// is of use.
func burst(limit float64, span time.Duration) int {
	if span <= 0 {
		span = defaultBurst
	}
	return max(1, int(limit*span.Seconds()))
}

// charge spends from both limiters or from none. A request that is expected to
// cost more than a burst is let in on a full bucket and leaves a debt.
func (a *account) charge(now time.Time, r *rule.Workspace, expected float64) ChargeResult {
	if r.RequestsPerSecond > 0 && a.requests.TokensAt(now) < 1 {
		return a.limited(now, a.requests, "requests", 1)
	}
	if r.TokensPerSecond > 0 {
		a.pay(now)
		if a.debt >= 1 {
			return a.limited(now, a.tokens, "tokens", a.debt)
		}
		need := min(expected+a.debt, float64(a.tokens.Burst()))
		if need >= 1 && a.tokens.TokensAt(now) < need {
			return a.limited(now, a.tokens, "tokens", need)
		}
		a.debt += expected
		a.pay(now)
	}
	if r.RequestsPerSecond > 0 {
		a.requests.AllowN(now, 1)
	}
	return Allowed{}
}

// pay lets the limiter pay as much of the debt as it can.
func (a *account) pay(now time.Time) {
	n := int(min(a.debt, a.tokens.TokensAt(now)))
	if n > 0 && a.tokens.AllowN(now, n) {
		a.debt -= float64(n)
	}
}

func (a *account) limited(now time.Time, l *rate.Limiter, unit string, need float64) ChargeResult {
	d := Limited{Unit: unit, Fraction: a.part, RetryAfter: time.Second}
	if limit := float64(l.Limit()); limit > 0 {
		missing := need - max(0, l.TokensAt(now))
		d.RetryAfter = min(time.Duration(missing/limit*float64(time.Second)), time.Minute)
	}
	return d
}
