package caller

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/cumintrestle/cumintrestle/internal/budget"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

const (
	startupTimeout  = 10 * time.Second
	maxMessageBytes = 16 << 20
	scramMechanism  = "SCRAM-SHA-256"
)

// handshake runs the start-up phase of the protocol: it declines encryption,
// reads the start-up message, authenticates the caller and sends the first
// ReadyForQuery.
func (c *callerSession) handshake() error {
	_ = c.conn.SetDeadline(time.Now().Add(startupTimeout))
	m, err := c.startupMessage()
	if err != nil {
		return err
	}
	c.account = template.Account(m.Parameters["user"])
	c.groupName = session.Group(m.Parameters["database"])
	for _, name := range paramNames {
		if v, ok := m.Parameters[name]; ok {
			if err := c.params.set(name, v); err != nil {
				return err
			}
		}
	}
	c.reader.Startup = false
	c.be.SetMaxBodyLen(maxAuthBytes)
	if err := c.authenticate(); err != nil {
		return err
	}
	c.be.SetMaxBodyLen(maxMessageBytes)
	c.authenticated = true
	if err := c.checkTemplate(); err != nil {
		return err
	}
	if err := c.budget.Start(); err != nil {
		return result.New(result.TooManyConnections, "the entry host has no connection left: %w", err)
	}
	if err := c.srv.Admit(c.account); err != nil {
		return err
	}
	if err := c.srv.register(c); err != nil {
		c.srv.Release(c.account)
		return err
	}
	if err := c.sendStartupResponse(); err != nil {
		c.srv.unregister(c)
		c.srv.Release(c.account)
		return err
	}
	return nil
}

func (c *callerSession) sendStartupResponse() error {
	c.be.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"},
		{"integer_datetimes", "on"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{paramToken, c.params.token.String()},
	} {
		c.be.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	secret := binary.BigEndian.AppendUint32(nil, c.key.secret)
	c.be.Send(&pgproto3.BackendKeyData{ProcessID: c.key.pid, SecretKey: secret})
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = c.conn.SetDeadline(time.Time{})
	if err := c.be.Flush(); err != nil {
		return errDisconnect
	}
	return nil
}

// startupMessage returns the start-up message. It answers encryption requests
// with "N" and carries out a cancel request itself.
func (c *callerSession) startupMessage() (*pgproto3.StartupMessage, error) {
	for {
		m, err := c.be.ReceiveStartupMessage()
		if err != nil {
			return nil, errDisconnect
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte("N")); err != nil {
				return nil, errDisconnect
			}
		case *pgproto3.CancelRequest:
			if len(m.SecretKey) == 4 {
				c.cancelOrForward(m.ProcessID, binary.BigEndian.Uint32(m.SecretKey))
			}
			return nil, errDisconnect
		case *pgproto3.StartupMessage:
			return m, nil
		default:
			return nil, result.New(result.MessageInvalid, "unexpected start-up message")
		}
	}
}

// cancelOrForward cancels a request on this host, or forwards the cancel
// request if the session is on another host.
func (c *callerSession) cancelOrForward(pid, secret uint32) {
	if c.srv.Cancel(pid, secret) {
		return
	}
	if !c.srv.cancels.take(c.srv.Clock.Now(), c.srv.CancelsPerS) {
		c.budget.Refused(budget.CancelFlood)
		return
	}
	c.srv.ForwardCancel(pid, secret)
}

// authenticate runs SCRAM-SHA-256 with the verifier of the account's
// template. An unknown account gets the same error as a wrong password.
func (c *callerSession) authenticate() error {
	t, known := c.srv.Account(c.account)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		if !known {
			return scram.StoredCredentials{}, fmt.Errorf("no such client account")
		}
		return t.Verifier.Credentials(), nil
	})
	if err != nil {
		return result.New(result.AuthFailed, "scram: %w", err)
	}
	conv := server.NewConversation()
	c.be.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	first, err := c.saslFirst()
	if err != nil {
		return err
	}
	challenge, err := conv.Step(first)
	if err != nil {
		return c.authError()
	}
	c.be.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	final, err := c.saslFinal()
	if err != nil {
		return err
	}
	proof, err := conv.Step(final)
	if err != nil || !conv.Valid() {
		return c.authError()
	}
	c.be.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	return nil
}

func (c *callerSession) authError() error {
	return result.New(result.AuthFailed, "authentication failed for client account %q", c.account)
}

func (c *callerSession) saslFirst() (string, error) {
	m, err := c.saslMessage(pgproto3.AuthTypeSASL)
	if err != nil {
		return "", err
	}
	r, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok || r.AuthMechanism != scramMechanism {
		return "", result.New(result.AuthFailed, "only %s is offered", scramMechanism)
	}
	return string(r.Data), nil
}

func (c *callerSession) saslFinal() (string, error) {
	m, err := c.saslMessage(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return "", err
	}
	r, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return "", result.New(result.AuthFailed, "unexpected message in the exchange")
	}
	return string(r.Data), nil
}

func (c *callerSession) saslMessage(kind uint32) (pgproto3.FrontendMessage, error) {
	if err := c.be.SetAuthType(kind); err != nil {
		return nil, result.New(result.AuthFailed, "scram: %w", err)
	}
	if err := c.be.Flush(); err != nil {
		return nil, errDisconnect
	}
	m, err := c.be.Receive()
	if err != nil {
		return nil, receiveError(err)
	}
	return m, nil
}

// checkTemplate rejects a session that the account's template does not allow.
// It runs again before each request, since templates can change or be
// retired.
func (c *callerSession) checkTemplate() error {
	t, known := c.srv.Account(c.account)
	if !known {
		return result.New(result.AccountUnknown, "no template for client account %q", c.account)
	}
	if t.State == template.Retired {
		return result.New(result.AccountRetired, "client account %q is retired", c.account)
	}
	if !slices.Contains(t.Groups, c.groupName) {
		return result.New(result.GroupNotAllowed, "client account %q does not use database group %q", c.account, c.groupName)
	}
	c.group = c.srv.Group(c.groupName)
	if c.group == nil {
		return result.New(result.GroupNotAllowed, "database group %q is not known here", c.groupName)
	}
	c.template = t
	return nil
}

// receiveError maps a receive error to MessageInvalid if the message was
// malformed or too large, else to errDisconnect.
func receiveError(err error) error {
	var refused *result.Error
	if errors.As(err, &refused) {
		return refused
	}
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLarge) {
		return result.New(result.MessageInvalid, "message of %d bytes, at most %d", tooLarge.ActualBodyLen, tooLarge.MaxExpectedBodyLen)
	}
	if strings.Contains(err.Error(), "unknown message type") || strings.Contains(err.Error(), "invalid message") {
		return result.New(result.MessageInvalid, "%w", err)
	}
	return errDisconnect
}
