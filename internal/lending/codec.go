package lending

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

var errMalformed = errors.New("malformed message")

// Texts are encoded as CBOR text strings, and pass with any bytes: those of callers and endpoints
// need not be UTF-8. Hosts of earlier releases can read messages in which all of them are.
var linkMode = decMode(cbor.DecOptions{})

func decMode(o cbor.DecOptions) cbor.DecMode {
	o.UTF8, o.ByteStringToString = cbor.UTF8DecodeInvalid, cbor.ByteStringToStringAllowed
	m, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func encode(v any) ([]byte, error) { return cbor.Marshal(v) }

func decode(body []byte, v any) error {
	if err := linkMode.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}

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

// decodeRequest decodes and validates a request.
func decodeRequest(body []byte) (request, error) {
	var q request
	if err := decode(body, &q); err != nil {
		return q, err
	}
	return q, q.check()
}

// decodeAccountRequest decodes and validates a request of a link between hosts that use
// accounts.
func decodeAccountRequest(body []byte) (request, error) {
	var a accountRequest
	if err := decode(body, &a); err != nil {
		return a.Request, err
	}
	if err := a.check(); err != nil {
		return a.Request, err
	}
	a.Request.Account, a.Request.SendByMS, a.Request.Limits = a.Account, a.SendByMS, a.Limits
	a.Request.TargetMS, a.Request.Weight, a.Request.SentMS = a.TargetMS, a.Weight, a.SentMS
	return a.Request, a.Request.check()
}

// decodeResponse decodes and validates a response.
func decodeResponse(body []byte) (response, error) {
	var a response
	if err := decode(body, &a); err != nil {
		return a, err
	}
	return a, a.check()
}

// decodeAccountResponse decodes and validates a response of a link between hosts that use
// accounts.
func decodeAccountResponse(body []byte) (response, error) {
	var a accountResponse
	if err := decode(body, &a); err != nil {
		return a.Response, err
	}
	a.Response.Limits = a.Limits
	return a.Response, a.Response.check()
}
