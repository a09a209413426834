package engine

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// Account is the declared policy of a client account.
type Account struct {
	Name session.Account
	// Priority orders accounts; 0 is the highest.
	Priority int
	// Limited accounts may run Rate operations a second and Burst at once, over all hosts.
	Limited     bool
	Rate, Burst float64
}

// maxPriorityStep bounds how far an account's weight falls below the usual one, so that an account
// of low priority still gets a share.
const maxPriorityStep = 4

// KeyDigest is a keyed digest of an account's key. The key of the digest is drawn at the start
// of the process, so that digests mean nothing elsewhere and lookups reveal nothing of a key.
type KeyDigest [sha256.Size]byte

// digestSecret is the key of the digests of this process.
var digestSecret = sync.OnceValue(func() []byte {
	secret := make([]byte, sha256.Size)
	// Read never returns an error.
	_, _ = rand.Read(secret)
	return secret
})

// DigestKey returns the digest of an account's key, as Declared.Keys needs it.
func DigestKey(key string) KeyDigest {
	h := hmac.New(sha256.New, digestSecret())
	_, _ = h.Write([]byte(key))
	return KeyDigest(h.Sum(nil))
}

// LimitError reports that an account has reached its limit.
type LimitError struct {
	// RetryAfter is when the next operation is expected to be admitted.
	RetryAfter time.Duration
	// Undecided means that the host that grants operations did not answer in time.
	Undecided bool
}

// Error returns the text of the refusal.
func (e *LimitError) Error() string {
	if e.Undecided {
		return fmt.Sprintf("the account's limit can't be checked, retry in %d ms", e.RetryAfter.Milliseconds())
	}
	return fmt.Sprintf("the account has reached its limit, retry in %d ms", e.RetryAfter.Milliseconds())
}

// limitReached reports whether an attempt failed because of the account's limit. Another attempt
// would need an admission, too.
func limitReached(err error) bool {
	var e *LimitError
	return errors.As(err, &e)
}

// errSendByPassed reports that an operation waited for longer than its admission is valid.
var errSendByPassed = errors.New("the operation waited for longer than its admission is valid")

// accountFor returns the account of a key on a database. It returns false if the database is not
// public and the key is not known.
func (d *Declared) accountFor(db Database, key KeyDigest) (session.Account, bool) {
	if d.Accounts == nil || db.Public {
		return noAccount, true
	}
	a, ok := d.Keys[key]
	return a, ok
}

// usesAccounts reports whether callers need an account.
func (e *Engine) usesAccounts() bool {
	d := e.declared.Load()
	return d != nil && d.Accounts != nil
}

// admitOperation asks for the admission of the session's next operation: a single statement
// or a transaction.
func (s *CallerSession) admitOperation(deadline time.Time) error {
	s.admitted, s.sendBy = false, 0
	return s.admit(deadline)
}

// admit asks for the admission of an operation unless it has one that is still valid.
func (s *CallerSession) admit(deadline time.Time) error {
	if s.e.Admit == nil || s.account == noAccount {
		return nil
	}
	if s.admitted && (s.sendBy == 0 || s.e.BootTime() < s.sendBy) {
		return nil
	}
	sendBy, err := s.e.Admit(deadline, s.account)
	if err != nil {
		s.admitted = false
		s.e.emit(Event{Group: s.db.Group, Decision: "limit_reached", Code: Busy, Reason: "account " + string(s.account) + ": " + err.Error()})
		return err
	}
	s.admitted, s.sendBy = true, sendBy
	return nil
}

// admitAttempt gives an attempt the session's account and admission.
func (s *CallerSession) admitAttempt(a *attempt) error {
	a.account = s.account
	s.schedule(a)
	if err := s.admit(a.queueDeadline); err != nil {
		return err
	}
	a.sendBy = s.sendBy
	if s.sendBy == 0 {
		return nil
	}
	if limit := s.e.Now().Add(s.sendBy.Sub(s.e.BootTime())); limit.Before(a.queueDeadline) {
		a.queueDeadline = limit
	}
	return nil
}

// shareOf returns the weight of a priority: each step halves it. 1 is the usual priority and has
// the weight 1.
func shareOf(priority int) float64 {
	return math.Ldexp(1, min(max(1-priority, -maxPriorityStep), 1))
}

// schedule gives an attempt its statement's target and the weight of its account. Where accounts
// are not in use, it has neither.
func (s *CallerSession) schedule(a *attempt) {
	d := s.resolved
	if d == nil || d.Accounts == nil {
		return
	}
	db, priority := s.db, s.db.Priority
	if s.tx != nil {
		db = s.tx.db
	}
	if declared, ok := d.Accounts[s.account]; ok {
		priority = declared.Priority
	}
	a.weight = shareOf(priority)
	if db.TargetLatency > 0 {
		a.targetBy = s.arrivedAt.Add(db.TargetLatency)
	}
}

// noteSent notes that an endpoint may have run the operation, so that another attempt needs
// another admission.
func (s *CallerSession) noteSent(sent bool) {
	if sent {
		s.admitted = false
	}
}
