// Package workspace enforces the rate limits of workspaces. A limit holds for all
// entries together, and each entry enforces a fraction of it locally.
//
// The limit of an idle workspace is split evenly among the entries. The limit of a
// busy workspace is split by demand, except for a tenth that stays split evenly, so
// that the workspace can send requests to any entry. Entries report the demand that
// they measure to each other (Report), and each computes its own fraction. The
// fractions never add up to more than one, even if reports are delayed or lost: an
// entry counts its own demand at the lowest value that any other entry may still
// use, and the demand of others at the last value that they reported.
//
// An entry that cannot reach another one falls back to an even split, and so do the
// entries that learn of it from a report. Until all of them have noticed, and while
// contact is restored, fractions may overlap: for each such change, entries spend at
// most what the limit grants in unreachableAfter in excess, besides one burst each.
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
	evenFraction = 0.1 // fraction of a limit that is always split evenly among the entries
)

// ChargeResult is the outcome of Limits.Charge: Allowed or Limited.
type ChargeResult interface{ chargeResult() }

// Allowed means that the request is within the limits.
type Allowed struct{}

// Limited means that the request exceeds a limit.
type Limited struct {
	Unit       string        // "requests" or "tokens"
	Fraction   float64       // of the limit that this entry may spend
	RetryAfter time.Duration // time until this entry can allow the request
}

func (Allowed) chargeResult() {}
func (Limited) chargeResult() {}

// Limits enforces the limits of every workspace at one entry. It is safe for
// concurrent use.
type Limits struct {
	shards [shardCount]shard
	peers  peers
}

// shard holds the accounts of some of the workspaces under its own lock.
type shard struct {
	mu       sync.Mutex
	accounts map[id.Workspace]*account
}

// account is the state of one workspace's limits at this entry.
type account struct {
	fraction float64 // of the limits that this entry may spend
	requests *rate.Limiter
	tokens   *rate.Limiter
	debt     float64 // tokens spent in excess of what the limiter had; negative: credit

	demand demand
}

// New returns limits without any charges.
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

// Charge charges one request and its expected tokens to the workspace's limits, or
// charges nothing if a limit is exceeded. Either way it counts the demand, unless the
// workspace has no limits.
func (l *Limits) Charge(now time.Time, r *rule.Workspace, expected id.Tokens) ChargeResult {
	if r.RequestsPerSecond <= 0 && r.TokensPerSecond <= 0 {
		return Allowed{}
	}
	s := l.shard(r.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[r.Name]
	if a == nil {
		a = l.openAccount(s, r)
	}
	a.demand.add(float64(max(1, expected)))
	a.updateLimits(now, r)
	return a.charge(now, r, float64(expected))
}

// openAccount returns the account of a workspace, added if missing. The caller must hold
// s.mu, which is released in between, because the lock of the peers must be taken before
// that of a shard.
func (l *Limits) openAccount(s *shard, r *rule.Workspace) *account {
	s.mu.Unlock()
	fraction := l.peers.initialFraction(r.Name)
	s.mu.Lock()
	a := s.accounts[r.Name]
	if a == nil {
		a = newAccount(r, fraction)
		s.accounts[r.Name] = a
	}
	return a
}

// Settle corrects a charge by the actual tokens when the answer has ended.
func (l *Limits) Settle(ws id.Workspace, expected, actual id.Tokens) {
	s := l.shard(ws)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[ws]; a != nil {
		a.debt += float64(actual - expected)
		a.debt = max(a.debt, -float64(a.tokens.Burst()))
	}
}

// newAccount returns an account whose limiters hold a full burst.
func newAccount(r *rule.Workspace, fraction float64) *account {
	requests, tokens := r.RequestsPerSecond*fraction, r.TokensPerSecond*fraction
	return &account{
		fraction: fraction,
		requests: rate.NewLimiter(rate.Limit(requests), burst(requests, r.Burst)),
		tokens:   rate.NewLimiter(rate.Limit(tokens), burst(tokens, r.Burst)),
	}
}

// updateLimits sets the limiters to the account's fraction of the rule's limits.
func (a *account) updateLimits(now time.Time, r *rule.Workspace) {
	setLimit(now, a.requests, r.RequestsPerSecond*a.fraction, r.Burst)
	setLimit(now, a.tokens, r.TokensPerSecond*a.fraction, r.Burst)
}

// setLimit sets the rate of l, and its burst to what the rate grants in the given span,
// if the rate changed.
func setLimit(now time.Time, l *rate.Limiter, limit float64, span time.Duration) {
	if l.Limit() == rate.Limit(limit) {
		return
	}
	l.SetLimitAt(now, rate.Limit(limit))
	l.SetBurstAt(now, burst(limit, span))
}

// burst returns how much may be spent at once. It is at least one, because a limiter
// with a smaller burst would never allow anything.
func burst(limit float64, span time.Duration) int {
	if span <= 0 {
		span = defaultBurst
	}
	return max(1, int(limit*span.Seconds()))
}

// charge takes from both limiters or from neither. A request that is expected to cost
// more than a burst is allowed when the token bucket is full, and leaves a debt.
func (a *account) charge(now time.Time, r *rule.Workspace, expected float64) ChargeResult {
	if r.RequestsPerSecond > 0 && a.requests.TokensAt(now) < 1 {
		return a.limited(now, a.requests, "requests", 1)
	}
	if r.TokensPerSecond > 0 {
		a.payDebt(now)
		if a.debt >= 1 {
			return a.limited(now, a.tokens, "tokens", a.debt)
		}
		need := min(expected+a.debt, float64(a.tokens.Burst()))
		if need >= 1 && a.tokens.TokensAt(now) < need {
			return a.limited(now, a.tokens, "tokens", need)
		}
		a.debt += expected
		a.payDebt(now)
	}
	if r.RequestsPerSecond > 0 {
		a.requests.AllowN(now, 1)
	}
	return Allowed{}
}

// payDebt pays as much of the debt as the token limiter allows.
func (a *account) payDebt(now time.Time) {
	n := int(min(a.debt, a.tokens.TokensAt(now)))
	if n > 0 && a.tokens.AllowN(now, n) {
		a.debt -= float64(n)
	}
}

// limited returns the result for a request that needs the given amount of a unit, of
// which its limiter l has less.
func (a *account) limited(now time.Time, l *rate.Limiter, unit string, need float64) ChargeResult {
	result := Limited{Unit: unit, Fraction: a.fraction, RetryAfter: time.Second}
	if limit := float64(l.Limit()); limit > 0 {
		missing := need - max(0, l.TokensAt(now))
		result.RetryAfter = min(time.Duration(missing/limit*float64(time.Second)), time.Minute)
	}
	return result
}
