package peer

// This file defines stringGuard. Protobuf cannot encode a message with a string that is not
// UTF-8, and a row goes to every peer: one such string would end all exchanges of its gateway,
// which would then count as dead and know of no other. The decoders of what comes from outside
// let no such string in; the guard is for one that they miss.

import (
	"strconv"
	"sync"
	"unicode/utf8"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// maxLoggedStrings bounds how many invalid strings are logged, each once.
const maxLoggedStrings = 64

// stringGuard makes the strings of messages valid, and logs and counts those that were not. It is
// safe for concurrent use.
type stringGuard struct {
	logger   log.Logger
	registry metrics.Registry

	mu     sync.Mutex
	logged map[string]bool
}

func newStringGuard(logger log.Logger, registry metrics.Registry) *stringGuard {
	return &stringGuard{logger: logger, registry: registry, logged: make(map[string]bool)}
}

// valid reports whether a string that belongs into a field can be encoded.
func (g *stringGuard) valid(field protoreflect.FullName, s string) bool {
	if utf8.ValidString(s) {
		return true
	}
	metrics.GetOrRegisterCounter("peer_string_invalid", g.registry).Inc(1)
	g.mu.Lock()
	isNew := !g.logged[s] && len(g.logged) < maxLoggedStrings
	if isNew {
		g.logged[s] = true
	}
	g.mu.Unlock()
	if isNew {
		_ = g.logger.Log("event", "peer_string_invalid", "field", field, "value", strconv.QuoteToASCII(s[:min(len(s), 64)]))
	}
	return false
}

// repair replaces every string of a message that is not UTF-8 by one that escapes its bytes.
func (g *stringGuard) repair(m proto.Message) { g.repairMessage(m.ProtoReflect()) }

func (g *stringGuard) repairMessage(m protoreflect.Message) {
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.IsMap():
			g.repairMap(field, value.Map())
		case field.IsList():
			list := value.List()
			for i := range list.Len() {
				if repaired, changed := g.repairValue(field, list.Get(i)); changed {
					list.Set(i, repaired)
				}
			}
		default:
			if repaired, changed := g.repairValue(field, value); changed {
				m.Set(field, repaired)
			}
		}
		return true
	})
}

// repairMap repairs the keys and values of a map.
func (g *stringGuard) repairMap(field protoreflect.FieldDescriptor, entries protoreflect.Map) {
	var invalid []protoreflect.MapKey
	entries.Range(func(key protoreflect.MapKey, value protoreflect.Value) bool {
		if repaired, changed := g.repairValue(field.MapValue(), value); changed {
			entries.Set(key, repaired)
		}
		if field.MapKey().Kind() == protoreflect.StringKind && !g.valid(field.FullName(), key.String()) {
			invalid = append(invalid, key)
		}
		return true
	})
	for _, key := range invalid {
		entries.Set(protoreflect.ValueOfString(escape(key.String())).MapKey(), entries.Get(key))
		entries.Clear(key)
	}
}

// repairValue repairs one value of a field. Changed tells that it is to be replaced.
func (g *stringGuard) repairValue(field protoreflect.FieldDescriptor, value protoreflect.Value) (repaired protoreflect.Value, changed bool) {
	switch field.Kind() {
	case protoreflect.MessageKind:
		g.repairMessage(value.Message())
	case protoreflect.StringKind:
		if s := value.String(); !g.valid(field.FullName(), s) {
			return protoreflect.ValueOfString(escape(s)), true
		}
	}
	return value, false
}

// escape returns a string in ASCII that differs for different strings.
func escape(s string) string {
	quoted := strconv.QuoteToASCII(s)
	return quoted[1 : len(quoted)-1]
}
