package caller

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/pkg/result"
)

// handleParamStatement answers SET, SHOW and RESET of cumintrestle
// parameters. Only SHOW cumintrestle.outcome needs an endpoint.
func (c *callerSession) handleParamStatement(ctx context.Context, b *batch) error {
	sql := b.query
	if !b.simple {
		sql = b.statements[0].query
		for _, p := range b.statements[1:] {
			if p.query != sql {
				return c.failRequest(result.New(result.NotSupported, "parameters of cumintrestle go in a request of their own"))
			}
		}
	}
	var row *string
	tag := "SET"
	if m := showPattern.FindStringSubmatch(sql); m != nil {
		value := ""
		var err error
		if b.executes() {
			value, err = c.showValue(ctx, m[1])
		}
		if err != nil {
			return c.failRequest(err)
		}
		row, tag = &value, "SHOW"
	} else if b.executes() {
		if err := c.setOrReset(sql); err != nil {
			return c.failRequest(err)
		}
	}
	if b.simple {
		if row != nil {
			c.be.Send(showRows())
			c.be.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(*row)}})
		}
		c.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	for _, m := range b.messages {
		c.respondToMessage(m, row, tag)
	}
	c.sendReady()
	return nil
}

// setOrReset executes a SET or RESET statement.
func (c *callerSession) setOrReset(sql string) error {
	if m := setPattern.FindStringSubmatch(sql); m != nil {
		return c.params.set(m[1], strings.ReplaceAll(m[2], "''", "'")+m[3])
	}
	if m := resetPattern.FindStringSubmatch(sql); m != nil {
		return c.params.reset(m[1])
	}
	return result.New(result.SettingInvalid, "not understood")
}

func (c *callerSession) showValue(ctx context.Context, name string) (string, error) {
	if name != paramOutcome {
		return c.params.show(name)
	}
	if c.tx != nil {
		return "", result.New(result.SettingInvalid, "%s can't be asked inside a transaction", name)
	}
	if c.params.requestID == "" {
		return "", result.New(result.SettingInvalid, "%s needs %s", name, paramRequestID)
	}
	if err := c.checkTemplate(); err != nil {
		return "", err
	}
	outcome, err := c.resolveOutcome(ctx)
	if err == nil {
		// The resolved id must not be used for the next request.
		c.params.requestID = ""
	}
	return outcome, err
}

func showRows() *pgproto3.RowDescription {
	const oidText = 25
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte("value"), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1},
	}}
}

// respondToMessage answers one extended-protocol message without an endpoint.
func (c *callerSession) respondToMessage(m pgproto3.FrontendMessage, row *string, tag string) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		c.prepared[m.Name] = newPrepared(m.Query, m.ParameterOIDs)
		c.be.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		c.be.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			c.be.Send(&pgproto3.ParameterDescription{})
		}
		if row == nil {
			c.be.Send(&pgproto3.NoData{})
			return
		}
		c.be.Send(showRows())
	case *pgproto3.Execute:
		if row != nil {
			c.be.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(*row)}})
		}
		c.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.prepared, m.Name)
		}
		c.be.Send(&pgproto3.CloseComplete{})
	}
}
