package lending

import (
	"fmt"
	"math"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/ratelimit"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	// maxLimitItems is the maximum number of accounts in a message about limits.
	maxLimitItems = 20_000
	// maxUse bounds the rates in such a message, in operations a second.
	maxUse = 1e9
	// maxLimitTime bounds the times in such a message.
	maxLimitTime = time.Hour
)

// limitsRequest is the encoded form of ratelimit.Request.
type limitsRequest struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation uint64
	Sequence    uint64
	Epoch       uint64
	Answered    uint64
	Items       []limitsRequestItem
}

// limitsRequestItem is the encoded form of ratelimit.RequestItem.
type limitsRequestItem struct {
	_                     struct{} `cbor:",toarray"`
	Account               session.Account
	Waiting, Wanted, Held uint32
	Generated, Returned   uint64
	Use                   float64
}

// limitsResponse is the encoded form of ratelimit.Response. Times are in microseconds.
type limitsResponse struct {
	_           struct{} `cbor:",toarray"`
	Epoch       uint64
	Incarnation uint64
	Sequence    uint64
	LeaseUS     int64
	Recovering  bool
	Items       []limitsResponseItem
}

// limitsResponseItem is the encoded form of ratelimit.ResponseItem.
type limitsResponseItem struct {
	_          struct{} `cbor:",toarray"`
	Account    session.Account
	Granted    uint32
	ValidityUS int64
	Fallback   float64
	AskAgainUS int64
	SpreadUS   int64
	Wait       bool
}

func wireLimitsRequest(r ratelimit.Request) *limitsRequest {
	out := &limitsRequest{
		Host: r.Host, Incarnation: uint64(r.Incarnation), Sequence: uint64(r.Sequence), Epoch: uint64(r.Epoch),
		Answered: uint64(r.Answered), Items: make([]limitsRequestItem, len(r.Items)),
	}
	for i, it := range r.Items {
		out.Items[i] = limitsRequestItem{
			Account: it.Account, Waiting: it.Waiting, Wanted: it.Wanted, Held: it.Held,
			Generated: it.Generated, Returned: it.Returned, Use: it.Use,
		}
	}
	return out
}

// value decodes a request. It fails if a value is out of range.
func (q *limitsRequest) value() (ratelimit.Request, error) {
	if len(q.Items) > maxLimitItems || len(q.Host) > maxAccountName {
		return ratelimit.Request{}, fmt.Errorf("%w: %d accounts", errMalformed, len(q.Items))
	}
	r := ratelimit.Request{
		Host: q.Host, Incarnation: ratelimit.Incarnation(q.Incarnation), Sequence: ratelimit.Sequence(q.Sequence),
		Epoch: ratelimit.Epoch(q.Epoch), Answered: ratelimit.Sequence(q.Answered), Items: make([]ratelimit.RequestItem, len(q.Items)),
	}
	for i, it := range q.Items {
		if !isRate(it.Use) || len(it.Account) > maxAccountName {
			return ratelimit.Request{}, fmt.Errorf("%w: use of %g", errMalformed, it.Use)
		}
		r.Items[i] = ratelimit.RequestItem{
			Account: it.Account, Waiting: it.Waiting, Wanted: it.Wanted, Held: it.Held,
			Generated: it.Generated, Returned: it.Returned, Use: it.Use,
		}
	}
	return r, nil
}

func wireLimitsResponse(r ratelimit.Response) *limitsResponse {
	out := &limitsResponse{
		Epoch: uint64(r.Epoch), Incarnation: uint64(r.Incarnation), Sequence: uint64(r.Sequence),
		LeaseUS: r.Lease.Microseconds(), Recovering: r.Recovering, Items: make([]limitsResponseItem, len(r.Items)),
	}
	for i, it := range r.Items {
		out.Items[i] = limitsResponseItem{
			Account: it.Account, Granted: it.Granted, ValidityUS: it.Validity.Microseconds(), Fallback: it.Fallback,
			AskAgainUS: it.AskAgain.Microseconds(), SpreadUS: it.Spread.Microseconds(), Wait: it.Wait,
		}
	}
	return out
}

// value decodes a response. It fails if a value is out of range.
func (a *limitsResponse) value() (ratelimit.Response, error) {
	if len(a.Items) > maxLimitItems || !isLimitTime(a.LeaseUS) {
		return ratelimit.Response{}, fmt.Errorf("%w: %d accounts, lease of %d us", errMalformed, len(a.Items), a.LeaseUS)
	}
	r := ratelimit.Response{
		Epoch: ratelimit.Epoch(a.Epoch), Incarnation: ratelimit.Incarnation(a.Incarnation), Sequence: ratelimit.Sequence(a.Sequence),
		Lease: micros(a.LeaseUS), Recovering: a.Recovering, Items: make([]ratelimit.ResponseItem, len(a.Items)),
	}
	for i, it := range a.Items {
		if !isRate(it.Fallback) || !isLimitTime(it.ValidityUS) || !isLimitTime(it.AskAgainUS) || !isLimitTime(it.SpreadUS) {
			return ratelimit.Response{}, fmt.Errorf("%w: grant with a rate of %g for %d us", errMalformed, it.Fallback, it.ValidityUS)
		}
		r.Items[i] = ratelimit.ResponseItem{
			Account: it.Account, Granted: it.Granted, Validity: micros(it.ValidityUS), Fallback: it.Fallback,
			AskAgain: micros(it.AskAgainUS), Spread: micros(it.SpreadUS), Wait: it.Wait,
		}
	}
	return r, nil
}

func isRate(f float64) bool { return f >= 0 && f <= maxUse && !math.IsNaN(f) }

func isLimitTime(us int64) bool { return us >= 0 && us <= maxLimitTime.Microseconds() }

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// RequestTokens sends a request for tokens to the host that grants them and returns its response.
func (b *Borrower) RequestTokens(address string, deadline time.Time, r ratelimit.Request) (ratelimit.Response, error) {
	l, err := b.awaitLink(address, time.Until(deadline))
	if err != nil {
		return ratelimit.Response{}, fmt.Errorf("%w: %w", engine.ErrLenderUnavailable, err)
	}
	a, err := l.call(deadline, nil, request{Verb: verbRequestTokens, Limits: wireLimitsRequest(r)})
	if err != nil {
		return ratelimit.Response{}, err
	}
	if a.Limits == nil {
		return ratelimit.Response{}, errNotGranting
	}
	out, err := a.Limits.value()
	if err != nil {
		b.reportMalformed(err)
	}
	return out, err
}

// grant answers a request for tokens. The response has no limits if this host does not grant.
func (l *Lender) grant(q request) response {
	if q.Limits == nil || l.Grant == nil {
		return response{}
	}
	r, err := q.Limits.value()
	if err != nil {
		l.Engine.ReportMalformed("host that requests tokens", err)
		return response{}
	}
	if a, ok := l.Grant(r); ok {
		return response{Limits: wireLimitsResponse(a)}
	}
	return response{}
}
