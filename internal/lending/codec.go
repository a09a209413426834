package lending

import (
	"context"
	"errors"
	"fmt"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxRequest is the maximum size of a request, in bytes: a statement of 1 MiB, the values and
	// the prepared statement of its session with 1 MiB, and what each text takes beside.
	maxRequest = 3 << 20
	// maxResponse is the maximum size of a response, in bytes. Endpoints' answers have up to 16 MiB
	// of rows.
	maxResponse = 20 << 20
	// maxValues is the maximum number of session values in a request.
	maxValues = 1 << 20
	// maxFrame is the maximum size of a frame, in bytes. Pings and pongs pass between the frames of
	// a large message.
	maxFrame = 64 << 10
)

var (
	errMalformed        = errors.New("malformed message")
	errRequestTooLarge  = fmt.Errorf("request of more than %d bytes", maxRequest)
	errResponseTooLarge = fmt.Errorf("response of more than %d bytes", maxResponse)
)

// Texts are encoded as CBOR text strings, and pass with any bytes: those of callers and endpoints
// need not be UTF-8. Hosts of earlier releases can read messages in which all of them are.
var (
	requestMode = decMode(cbor.DecOptions{MaxMapPairs: maxValues})
	// Each row takes a byte of the response at least.
	responseMode = decMode(cbor.DecOptions{MaxArrayElements: maxResponse})
)

func decMode(o cbor.DecOptions) cbor.DecMode {
	o.UTF8, o.ByteStringToString = cbor.UTF8DecodeInvalid, cbor.ByteStringToStringAllowed
	m, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func encode(v any) ([]byte, error) { return cbor.Marshal(v) }

func decode(m cbor.DecMode, body []byte, v any) error {
	if err := m.Unmarshal(body, v); err != nil {
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
	if err := decode(requestMode, body, &q); err != nil {
		return q, err
	}
	return q, q.check()
}

// decodeAccountRequest decodes and validates a request of a link between hosts that use
// accounts.
func decodeAccountRequest(body []byte) (request, error) {
	var a accountRequest
	if err := decode(requestMode, body, &a); err != nil {
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
	if err := decode(responseMode, body, &a); err != nil {
		return a, err
	}
	return a, a.check()
}

// decodeAccountResponse decodes and validates a response of a link between hosts that use
// accounts.
func decodeAccountResponse(body []byte) (response, error) {
	var a accountResponse
	if err := decode(responseMode, body, &a); err != nil {
		return a.Response, err
	}
	a.Response.Limits = a.Limits
	return a.Response, a.Response.check()
}

// writeMessage sends a message over a link.
func writeMessage(ctx context.Context, ws *websocket.Conn, body []byte) error {
	if len(body) <= maxFrame {
		return ws.Write(ctx, websocket.MessageBinary, body)
	}
	w, err := ws.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	for len(body) > 0 {
		n, err := w.Write(body[:min(len(body), maxFrame)])
		if err != nil {
			return err
		}
		body = body[n:]
	}
	return w.Close()
}
