// Package operator serves the operators: it applies, changes and retires
// templates, and shows status and the audit trail, over HTTP and JSON.
//
// A change is accepted when it is in the platform's table. It is written in
// one commit with its audit row, which bears the operation id: neither exists
// without the other, and a repeat of the same operation changes nothing.
//
// # Usage
//
//	ch := &operator.Changer{Table: client, State: state, Clock: clk}
//	r := ch.Apply(ctx, operator.Change{OperationID: id, Operator: "dana", Template: t, Base: 3})
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/benbjohnson/clock"

	"github.com/cumintrestle/cumintrestle/internal/declared"
	"github.com/cumintrestle/cumintrestle/internal/platform"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// AuditPrefix is the prefix of the keys of the audit trail.
const AuditPrefix = "audit/"

const (
	applyTries   = 4
	applyBetween = 200 * time.Millisecond
)

// Change is one template as an operator wants it.
type Change struct {
	OperationID string            `json:"operation_id"`
	Operator    string            `json:"operator,omitempty"`
	Action      string            `json:"action"`
	Template    template.Template `json:"template"`
	// Base is the version that the change was made from; 0 is a new template.
	Base platform.Version `json:"base_version"`
}

// Result tells what became of a change.
type Result struct {
	Account  template.Account  `json:"account"`
	Code     result.Code       `json:"code"`
	Name     string            `json:"name"`
	Text     string            `json:"text"`
	Revision platform.Revision `json:"revision,omitempty"`
	// Version is the template's version in the table now.
	Version platform.Version `json:"version,omitempty"`
	// Difference is from the stored template to the given one.
	Difference []FieldChange `json:"difference,omitempty"`
}

// AuditRecord is one line of the audit trail.
type AuditRecord struct {
	OperationID string             `json:"operation_id"`
	At          time.Time          `json:"at"`
	Operator    string             `json:"operator"`
	Action      string             `json:"action"`
	Account     template.Account   `json:"account,omitempty"`
	Group       string             `json:"database_group,omitempty"`
	Before      *template.Template `json:"before,omitempty"`
	After       *template.Template `json:"after,omitempty"`
	Difference  []FieldChange      `json:"difference,omitempty"`
	Code        result.Code        `json:"code"`
	Text        string             `json:"text,omitempty"`
}

// Table is what a Changer needs of the platform's table service.
type Table struct {
	Commit  func(context.Context, []platform.Write) (platform.Revision, error)
	Changes func(ctx context.Context, prefix string, since platform.Revision, wait time.Duration) ([]platform.Row, platform.Revision, error)
}

// Changer writes changes. The exported fields are set before use.
type Changer struct {
	Table Table
	State *declared.State
	Clock clock.Clock
}

// Apply validates and writes one change.
func (ch *Changer) Apply(ctx context.Context, c Change) Result {
	if err := ch.check(c); err != nil {
		return failed(c, err)
	}
	before, version, known, err := ch.stored(ctx, c.Template.Account)
	if err != nil {
		return failed(c, err)
	}
	diff := Diff(before, c.Template)
	if known && len(diff) == 0 {
		r := ok(c, result.Unchanged, "the stored template is the same")
		r.Version = version
		return r
	}
	if version != c.Base {
		return ch.refuse(ctx, c, version, diff)
	}
	return ch.commit(ctx, c, before, known, diff)
}

func (ch *Changer) check(c Change) error {
	if c.OperationID == "" || len(c.OperationID) > 128 {
		return result.New(result.TemplateInvalid, "field operation_id: value %q; allowed: 1 to 128 bytes", c.OperationID)
	}
	if err := c.Template.Validate(); err != nil {
		return err
	}
	groups := ch.State.Groups()
	for _, g := range c.Template.Groups {
		known := false
		for _, have := range groups {
			known = known || have.Name == g
		}
		if !known {
			return result.New(result.TemplateInvalid, "field database_groups: value %s; allowed: a database group of the platform", g)
		}
	}
	return nil
}

// stored reads the template as the table has it, not as this host knows it.
func (ch *Changer) stored(ctx context.Context, a template.Account) (template.Template, platform.Version, bool, error) {
	key := declared.AccountPrefix + string(a)
	rows, _, err := ch.Table.Changes(ctx, key, 0, 0)
	if err != nil {
		return template.Template{}, 0, false, result.New(result.PlatformDown, "not applied: %w", err)
	}
	for _, r := range rows {
		if r.Key != key || r.Deleted {
			continue
		}
		var t template.Template
		if err := json.Unmarshal(r.Value, &t); err != nil {
			return template.Template{}, 0, false, result.New(result.TemplateInvalid, "stored template: %w", err)
		}
		return t, r.Version, true, nil
	}
	return template.Template{}, 0, false, nil
}

// refuse reports a change that was made from another version, and records it.
func (ch *Changer) refuse(ctx context.Context, c Change, version platform.Version, diff []FieldChange) Result {
	if done, r := ch.lookUp(ctx, c); done {
		return r
	}
	text := fmt.Sprintf("not applied: the template has version %d, the change was made from %d", version, c.Base)
	rec := ch.record(c, nil, nil, diff)
	rec.Code, rec.Text = result.NotApplied, text
	if body, err := json.Marshal(rec); err == nil {
		key := fmt.Sprintf("%s%s/refused-%d", AuditPrefix, c.OperationID, version)
		_, _ = ch.Table.Commit(ctx, []platform.Write{{Key: key, Value: body}})
	}
	r := failed(c, result.New(result.NotApplied, "%s", text))
	r.Version, r.Difference = version, diff
	return r
}

func (ch *Changer) record(c Change, before, after *template.Template, diff []FieldChange) AuditRecord {
	return AuditRecord{
		OperationID: c.OperationID,
		At:          ch.Clock.Now().UTC(),
		Operator:    c.Operator,
		Action:      c.Action,
		Account:     c.Template.Account,
		Before:      before,
		After:       after,
		Difference:  diff,
		Code:        result.Applied,
	}
}

func auditKey(c Change) string {
	return AuditPrefix + c.OperationID + "/" + string(c.Template.Account)
}

// commit writes the template and its audit row. When the answer is lost it
// repeats the same commit: the audit row can be written only once.
func (ch *Changer) commit(ctx context.Context, c Change, before template.Template, known bool, diff []FieldChange) Result {
	var old *template.Template
	if known {
		old = &before
	}
	value, err := json.Marshal(c.Template)
	if err != nil {
		return failed(c, result.New(result.TemplateInvalid, "%w", err))
	}
	audit, err := json.Marshal(ch.record(c, old, &c.Template, diff))
	if err != nil {
		return failed(c, result.New(result.TemplateInvalid, "%w", err))
	}
	writes := []platform.Write{
		{Key: declared.AccountPrefix + string(c.Template.Account), Expect: c.Base, Value: value},
		{Key: auditKey(c), Value: audit},
	}
	for range applyTries {
		revision, err := ch.Table.Commit(ctx, writes)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return applied(c, revision, diff)
		case errors.As(err, &conflict):
			return ch.conflicted(ctx, c, diff, conflict)
		}
		select {
		case <-ctx.Done():
		case <-ch.Clock.After(applyBetween):
		}
	}
	return failed(c, result.New(result.ApplyUnknown,
		"the platform gave no answer; repeat with operation id %s", c.OperationID))
}

// conflicted tells our own earlier commit from another operator's.
func (ch *Changer) conflicted(ctx context.Context, c Change, diff []FieldChange, e *platform.ConflictError) Result {
	var version platform.Version
	for _, r := range e.Rows {
		if r.Key == auditKey(c) {
			return applied(c, r.Revision, diff)
		}
		version = r.Version
	}
	return ch.refuse(ctx, c, version, diff)
}

// lookUp finds out whether the operation was applied before.
func (ch *Changer) lookUp(ctx context.Context, c Change) (bool, Result) {
	rows, _, err := ch.Table.Changes(ctx, auditKey(c), 0, 0)
	if err != nil || len(rows) == 0 {
		return false, Result{}
	}
	r := applied(c, rows[0].Revision, nil)
	return true, r
}

func applied(c Change, revision platform.Revision, diff []FieldChange) Result {
	r := ok(c, result.Applied, "accepted")
	r.Revision, r.Difference, r.Version = revision, diff, c.Base+1
	return r
}

func ok(c Change, code result.Code, text string) Result {
	return Result{Account: c.Template.Account, Code: code, Name: code.Info().Name, Text: text}
}

func failed(c Change, err error) Result {
	r := Result{Account: c.Template.Account, Code: result.CodeOf(err), Text: result.TextOf(err)}
	r.Name = r.Code.Info().Name
	return r
}
