package ledger

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// op is one step of a random history.
type op struct {
	Kind    uint8 // begin, revoke, claim, undo
	Attempt uint8
	Key     uint8 // 0 for none
	Body    uint8
}

// oracle is a simple reference implementation of the Ledger.
type oracle struct {
	attempts      map[uint8]string // "started" or "forbidden"
	keys          map[uint8]uint8  // key to the attempt that started it
	forbiddenKeys map[uint8]bool
	bodies        map[uint8]uint8 // key to the request body
	keyOf         map[uint8]uint8 // attempt to its key
}

func (o *oracle) begin(s op) (Verdict, string) {
	switch {
	case o.attempts[s.Attempt] == "forbidden":
		return VerdictForbidden, ""
	case o.attempts[s.Attempt] == "started":
		return VerdictRepeatedAttempt, name(s.Attempt)
	case s.Key != 0 && o.forbiddenKeys[s.Key]:
		return VerdictForbidden, ""
	}
	if by, ok := o.keys[s.Key]; ok && s.Key != 0 {
		if o.bodies[s.Key] != s.Body {
			return VerdictConflict, ""
		}
		return VerdictRepeatedKey, name(by)
	}
	o.attempts[s.Attempt] = "started"
	if s.Key != 0 {
		o.keys[s.Key], o.bodies[s.Key], o.keyOf[s.Attempt] = s.Attempt, s.Body, s.Key
	}
	return VerdictStart, name(s.Attempt)
}

func name(attempt uint8) string { return fmt.Sprintf("a%d", attempt) }

func key(k uint8) Key {
	if k == 0 {
		return Key{}
	}
	return Key{Workspace: "w", Text: fmt.Sprint(k)}
}

// matchesOracle applies a history to a Ledger and to the oracle and reports
// whether all results agree.
func matchesOracle(history []op) bool {
	l := New()
	o := &oracle{attempts: map[uint8]string{}, keys: map[uint8]uint8{}, forbiddenKeys: map[uint8]bool{}, bodies: map[uint8]uint8{}, keyOf: map[uint8]uint8{}}
	now := time.Unix(0, 0)
	for _, s := range history {
		now = now.Add(time.Millisecond)
		switch s.Kind {
		case 0:
			v, by := l.Begin(now, name(s.Attempt), key(s.Key), uint64(s.Body), time.Hour)
			if wantV, wantBy := o.begin(s); v != wantV || by != wantBy {
				return false
			}
		case 1:
			if o.attempts[s.Attempt] == "" {
				o.attempts[s.Attempt] = "forbidden"
			}
			if (l.Revoke(now, name(s.Attempt), time.Hour) == FateForbidden) != (o.attempts[s.Attempt] == "forbidden") {
				return false
			}
		case 2:
			if s.Key == 0 {
				continue
			}
			_, started := o.keys[s.Key]
			if !started {
				o.forbiddenKeys[s.Key] = true
			}
			if l.Claim(now, key(s.Key), time.Hour) == started {
				return false
			}
		case 3:
			if o.attempts[s.Attempt] != "started" {
				continue
			}
			o.attempts[s.Attempt] = "forbidden"
			if k, ok := o.keyOf[s.Attempt]; ok {
				delete(o.keys, k)
				delete(o.keyOf, s.Attempt)
				l.Undo(now, name(s.Attempt), key(k), time.Hour)
				continue
			}
			l.Undo(now, name(s.Attempt), Key{}, time.Hour)
		}
	}
	return true
}

func TestLedgerAgreesWithOracle(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.Rng.Seed(1)
	params.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(params)
	ops := gen.SliceOf(gen.Struct(reflect.TypeOf(op{}), map[string]gopter.Gen{
		"Kind": gen.UInt8Range(0, 3), "Attempt": gen.UInt8Range(1, 6), "Key": gen.UInt8Range(0, 3), "Body": gen.UInt8Range(0, 1),
	}))
	properties.Property("every result agrees with the oracle", prop.ForAll(matchesOracle, ops))
	properties.TestingRun(t)
}

func TestLedgerDropsExpiredRecords(t *testing.T) {
	l := New()
	now := time.Unix(0, 0)
	for i := range 100 {
		l.Begin(now, name(uint8(i)), key(uint8(i)), 0, time.Minute)
	}
	l.Begin(now.Add(2*time.Minute), "later", Key{}, 0, time.Minute)
	if l.Len() != 1 {
		t.Fatalf("%d records left after expiry, want 1", l.Len())
	}
}
