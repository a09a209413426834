package lending

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encodeRequest encodes a request for a link.
func encodeRequest(q request, accounts bool) ([]byte, error) {
	if !accounts {
		return encode(q)
	}
	return encode(accountRequest{Request: q, Account: q.Account, SendByMS: q.SendByMS, Limits: q.Limits, TargetMS: q.TargetMS, Weight: q.Weight, SentMS: q.SentMS})
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
