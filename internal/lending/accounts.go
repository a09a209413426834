package lending

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// accountRequest is the form of a request on links of hosts that use accounts.
type accountRequest struct {
	_        struct{} `cbor:",toarray"`
	Request  request
	Account  session.Account
	SendByMS int64
	Limits   *limitsRequest
}

// accountResponse is the form of a response on links of hosts that use accounts.
type accountResponse struct {
	_        struct{} `cbor:",toarray"`
	Response response
	Limits   *limitsResponse
}

// encodeRequest encodes a request for a link.
func encodeRequest(q request, accounts bool) ([]byte, error) {
	if !accounts {
		return encode(q)
	}
	return encode(accountRequest{Request: q, Account: q.Account, SendByMS: q.SendByMS, Limits: q.Limits})
}

// decodeAccountRequest decodes and validates a request of a link between hosts that use
// accounts.
func decodeAccountRequest(body []byte) (request, error) {
	var a accountRequest
	if err := cbor.Unmarshal(body, &a); err != nil {
		return a.Request, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if len(a.Account) > maxAccountName {
		return a.Request, fmt.Errorf("%w: account name of %d bytes", errMalformed, len(a.Account))
	}
	if a.SendByMS < 0 || a.SendByMS > maxCallTime.Milliseconds() {
		return a.Request, fmt.Errorf("%w: %d ms to send the call", errMalformed, a.SendByMS)
	}
	a.Request.Account, a.Request.SendByMS, a.Request.Limits = a.Account, a.SendByMS, a.Limits
	return a.Request, a.Request.check()
}

// encodeResponse encodes a response for a link.
func encodeResponse(a response, accounts bool) ([]byte, error) {
	if !accounts {
		return encode(a)
	}
	return encode(accountResponse{Response: a, Limits: a.Limits})
}

// decodeAccountResponse decodes and validates a response of a link between hosts that use
// accounts.
func decodeAccountResponse(body []byte) (response, error) {
	var a accountResponse
	if err := cbor.Unmarshal(body, &a); err != nil {
		return a.Response, fmt.Errorf("%w: %w", errMalformed, err)
	}
	a.Response.Limits = a.Limits
	return a.Response, a.Response.check()
}

// LinkPath returns the path at which lenders accept links. Hosts that use accounts send
// messages of another form.
func LinkPath(accounts bool) string {
	if accounts {
		return "/lend/2"
	}
	return "/lend"
}

func (b *Borrower) decode(body []byte) (response, error) {
	if b.Accounts {
		return decodeAccountResponse(body)
	}
	return decodeResponse(body)
}

func (l *Lender) decode(body []byte) (request, error) {
	if l.Accounts {
		return decodeAccountRequest(body)
	}
	return decodeRequest(body)
}
