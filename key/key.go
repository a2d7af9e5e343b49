// Package key generates, stores and checks callers' API keys.
//
// A key has the form rw_<id>_<secret>. Only the SHA-256 digest of the secret is stored.
// Table is the state that results from the log's KeyGiven and KeyWithdrawn records. It
// is sharded to reduce lock contention, since every request looks up a key.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const (
	prefix      = "rw_"
	secretBytes = 24
	shardCount  = 16
)

// Key is the stored part of a key. It must not be modified.
type Key struct {
	ID        id.Key
	Digest    [sha256.Size]byte
	Workspace id.Workspace
	Classes   []id.Class // empty: every class
	Comment   string
	Withdrawn bool
}

// UnknownError means that no key with this ID was given, or that the secret is wrong.
type UnknownError struct{ Key id.Key }

func (e *UnknownError) Error() string { return fmt.Sprintf("key %q is not known", e.Key) }

// WithdrawnError means that the key was withdrawn.
type WithdrawnError struct{ Key id.Key }

func (e *WithdrawnError) Error() string { return fmt.Sprintf("key %q is withdrawn", e.Key) }

// MalformedError means that a text does not have the form of a key.
type MalformedError struct{}

func (e *MalformedError) Error() string { return "malformed key: expected rw_<id>_<secret>" }

// Secret is the full text of a key, as a caller presents it. It must not be logged.
type Secret string

// String returns a placeholder, so that formatting does not reveal the secret.
func (Secret) String() string { return "rw_***" }

// Generate returns a new key's text and the record that adds the key.
func Generate(now time.Time, workspace id.Workspace, classes []id.Class, comment string) (Secret, *ragwortv1.KeyGiven) {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never fails
	keyID := strings.TrimPrefix(id.New("k", now), "k_")
	secret := base64.RawURLEncoding.EncodeToString(raw)
	digest := sha256.Sum256([]byte(secret))
	names := make([]string, len(classes))
	for i, c := range classes {
		names[i] = string(c)
	}
	record := &ragwortv1.KeyGiven{
		Key: keyID, Digest: digest[:], Workspace: string(workspace), Classes: names, Comment: comment,
	}
	return Secret(prefix + keyID + "_" + secret), record
}

// Allows reports whether the key may use class c.
func (k *Key) Allows(c id.Class) bool {
	return len(k.Classes) == 0 || slices.Contains(k.Classes, c)
}

// Table holds every key that was ever given, including withdrawn ones. It is safe for
// concurrent use.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu   sync.RWMutex
	keys map[id.Key]*Key
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].keys = make(map[id.Key]*Key)
	}
	return t
}

func (t *Table) shard(k id.Key) *shard {
	return &t.shards[xxhash.Sum64String(string(k))%shardCount]
}

// ApplyGiven adds a key. It reports false and changes nothing if the ID was used before
// or the record is malformed.
func (t *Table) ApplyGiven(r *ragwortv1.KeyGiven) bool {
	if r.GetKey() == "" || r.GetWorkspace() == "" || len(r.GetDigest()) != sha256.Size {
		return false
	}
	k := &Key{ID: id.Key(r.GetKey()), Workspace: id.Workspace(r.GetWorkspace()), Comment: r.GetComment()}
	copy(k.Digest[:], r.GetDigest())
	for _, c := range r.GetClasses() {
		k.Classes = append(k.Classes, id.Class(c))
	}
	s := t.shard(k.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.keys[k.ID]; exists {
		return false
	}
	s.keys[k.ID] = k
	return true
}

// ApplyWithdrawn withdraws a key. It reports false if the key was already withdrawn. The
// ID stays in the table, so that it is never given again. This also holds for an ID
// that was never given.
func (t *Table) ApplyWithdrawn(r *ragwortv1.KeyWithdrawn) bool {
	keyID := id.Key(r.GetKey())
	s := t.shard(keyID)
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.keys[keyID]
	if ok && k.Withdrawn {
		return false
	}
	withdrawn := Key{ID: keyID}
	if ok {
		withdrawn = *k
	}
	withdrawn.Withdrawn = true
	s.keys[keyID] = &withdrawn
	return true
}

// Find returns the key with the given ID. The error is an *UnknownError or a
// *WithdrawnError.
func (t *Table) Find(keyID id.Key) (*Key, error) {
	k := t.lookup(keyID)
	switch {
	case k == nil:
		return nil, &UnknownError{Key: keyID}
	case k.Withdrawn:
		return nil, &WithdrawnError{Key: keyID}
	}
	return k, nil
}

// Authenticate returns the key that a caller presents. It compares the secret first and
// in constant time, also for an ID that was never given, so that a caller without the
// right secret learns nothing about the ID. The error is a *MalformedError,
// *UnknownError or *WithdrawnError.
func (t *Table) Authenticate(presented Secret) (*Key, error) {
	keyID, secret, ok := parseSecret(presented)
	if !ok {
		return nil, &MalformedError{}
	}
	k := t.lookup(keyID)
	known := 1
	if k == nil || k.Workspace == "" { // never given
		k, known = &Key{}, 0
	}
	digest := sha256.Sum256([]byte(secret))
	if subtle.ConstantTimeCompare(digest[:], k.Digest[:])&known != 1 {
		return nil, &UnknownError{Key: keyID}
	}
	if k.Withdrawn {
		return nil, &WithdrawnError{Key: keyID}
	}
	return k, nil
}

// lookup returns the key with the given ID, withdrawn or not, or nil.
func (t *Table) lookup(keyID id.Key) *Key {
	s := t.shard(keyID)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.keys[keyID]
}

// All returns every key, sorted by ID.
func (t *Table) All() []*Key {
	var all []*Key
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, k := range s.keys {
			all = append(all, k)
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b *Key) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// parseSecret splits a presented key into its ID and secret. It reports false if the key
// is malformed.
func parseSecret(s Secret) (id.Key, string, bool) {
	rest, ok := strings.CutPrefix(string(s), prefix)
	if !ok {
		return "", "", false
	}
	keyID, secret, ok := strings.Cut(rest, "_")
	if !ok || keyID == "" || secret == "" {
		return "", "", false
	}
	return id.Key(keyID), secret, true
}
