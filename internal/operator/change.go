// Package operator implements the operators' HTTP and JSON interface of an
// entry host: it creates, changes and retires templates and returns the host's
// status and the audit trail.
//
// A change is accepted once it is committed to the platform's table. The
// template and its audit row, whose key contains the operation id, are written
// in one commit. Neither exists without the other, and repeating an operation
// has no further effect.
//
// # Usage
//
//	table := operator.Table{Commit: client.Commit, Changes: client.Changes}
//	ch := &operator.Changer{Table: table, State: state, Clock: clk}
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

// AuditPrefix is the key prefix of audit rows in the platform's table.
const AuditPrefix = "audit/"

const (
	maxCommitAttempts   = 4
	commitRetryInterval = 200 * time.Millisecond
)

// Change is a request to create, change or retire one template.
type Change struct {
	OperationID string            `json:"operation_id"`
	Operator    string            `json:"operator,omitempty"`
	Action      string            `json:"action"`
	Template    template.Template `json:"template"`
	// Base is the template version that the change is based on; 0 creates a
	// template.
	Base platform.Version `json:"base_version"`
}

// Result is the outcome of a change.
type Result struct {
	Account  template.Account  `json:"account"`
	Code     result.Code       `json:"code"`
	Name     string            `json:"name"`
	Text     string            `json:"text"`
	Revision platform.Revision `json:"revision,omitempty"`
	// Version is the template's version after an applied change; otherwise it
	// is the stored version, if that is known.
	Version platform.Version `json:"version,omitempty"`
	// Difference lists the fields that differ between the stored template and
	// the requested one.
	Difference []FieldChange `json:"difference,omitempty"`
}

// AuditRecord is one entry of the audit trail.
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

// Table holds the calls of the platform's table service that this package uses.
type Table struct {
	Commit  func(context.Context, []platform.Write) (platform.Revision, error)
	Changes func(ctx context.Context, prefix string, since platform.Revision, wait time.Duration) ([]platform.Row, platform.Revision, error)
}

// Changer validates changes and commits them to the table. Set the exported
// fields before use.
type Changer struct {
	Table Table
	State *declared.State
	Clock clock.Clock
}

// Apply validates and commits one change.
func (ch *Changer) Apply(ctx context.Context, c Change) Result {
	if err := ch.validate(c); err != nil {
		return errorResult(c, err)
	}
	before, version, exists, err := ch.storedTemplate(ctx, c.Template.Account)
	if err != nil {
		return errorResult(c, err)
	}
	diff := Diff(before, c.Template)
	if exists && len(diff) == 0 {
		r := newResult(c, result.Unchanged, "the stored template is the same")
		r.Version = version
		return r
	}
	if version != c.Base {
		return ch.rejectStale(ctx, c, version, diff)
	}
	return ch.commit(ctx, c, before, exists, diff)
}

func (ch *Changer) validate(c Change) error {
	if c.OperationID == "" || len(c.OperationID) > 128 {
		return result.New(result.TemplateInvalid, "field operation_id: value %q; allowed: 1 to 128 bytes", c.OperationID)
	}
	if err := c.Template.Validate(); err != nil {
		return err
	}
	groups := ch.State.Groups()
	for _, g := range c.Template.Groups {
		found := false
		for _, group := range groups {
			found = found || group.Name == g
		}
		if !found {
			return result.New(result.TemplateInvalid, "field database_groups: value %s; allowed: a database group of the platform", g)
		}
	}
	return nil
}

// storedTemplate reads a template from the table itself, because this host's
// copy of the declared state can be out of date. It also returns the template's
// version and whether the template exists.
func (ch *Changer) storedTemplate(ctx context.Context, a template.Account) (template.Template, platform.Version, bool, error) {
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

// rejectStale rejects a change that is not based on the stored version and adds
// the rejection to the audit trail. If the same operation was applied before, it
// returns that success instead.
func (ch *Changer) rejectStale(ctx context.Context, c Change, version platform.Version, diff []FieldChange) Result {
	if done, r := ch.findApplied(ctx, c); done {
		return r
	}
	text := fmt.Sprintf("not applied: the template has version %d, the change was made from %d", version, c.Base)
	rec := ch.newAuditRecord(c, nil, nil, diff)
	rec.Code, rec.Text = result.NotApplied, text
	if body, err := json.Marshal(rec); err == nil {
		key := fmt.Sprintf("%s%s/refused-%d", AuditPrefix, c.OperationID, version)
		_, _ = ch.Table.Commit(ctx, []platform.Write{{Key: key, Value: body}})
	}
	r := errorResult(c, result.New(result.NotApplied, "%s", text))
	r.Version, r.Difference = version, diff
	return r
}

func (ch *Changer) newAuditRecord(c Change, before, after *template.Template, diff []FieldChange) AuditRecord {
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

// commit writes the template and its audit row. If the reply is lost, it retries
// the same commit. That can't apply the change twice, because the audit row may
// only be created once.
func (ch *Changer) commit(ctx context.Context, c Change, before template.Template, exists bool, diff []FieldChange) Result {
	var old *template.Template
	if exists {
		old = &before
	}
	value, err := json.Marshal(c.Template)
	if err != nil {
		return errorResult(c, result.New(result.TemplateInvalid, "%w", err))
	}
	audit, err := json.Marshal(ch.newAuditRecord(c, old, &c.Template, diff))
	if err != nil {
		return errorResult(c, result.New(result.TemplateInvalid, "%w", err))
	}
	writes := []platform.Write{
		{Key: declared.AccountPrefix + string(c.Template.Account), Expect: c.Base, Value: value},
		{Key: auditKey(c), Value: audit},
	}
	for range maxCommitAttempts {
		revision, err := ch.Table.Commit(ctx, writes)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return appliedResult(c, revision, diff)
		case errors.As(err, &conflict):
			return ch.resolveConflict(ctx, c, diff, conflict)
		}
		select {
		case <-ctx.Done():
		case <-ch.Clock.After(commitRetryInterval):
		}
	}
	return errorResult(c, result.New(result.ApplyUnknown,
		"the platform gave no answer; repeat with operation id %s", c.OperationID))
}

// resolveConflict decides whether a conflict comes from an earlier attempt of
// this operation, which means that the change is applied, or from another change
// of the template.
func (ch *Changer) resolveConflict(ctx context.Context, c Change, diff []FieldChange, e *platform.ConflictError) Result {
	var version platform.Version
	for _, r := range e.Rows {
		if r.Key == auditKey(c) {
			return appliedResult(c, r.Revision, diff)
		}
		version = r.Version
	}
	return ch.rejectStale(ctx, c, version, diff)
}

// findApplied reports whether the operation has already been applied, and its
// result. It also returns false if the table can't be read.
func (ch *Changer) findApplied(ctx context.Context, c Change) (bool, Result) {
	rows, _, err := ch.Table.Changes(ctx, auditKey(c), 0, 0)
	if err != nil || len(rows) == 0 {
		return false, Result{}
	}
	r := appliedResult(c, rows[0].Revision, nil)
	return true, r
}

func appliedResult(c Change, revision platform.Revision, diff []FieldChange) Result {
	r := newResult(c, result.Applied, "accepted")
	r.Revision, r.Difference, r.Version = revision, diff, c.Base+1
	return r
}

func newResult(c Change, code result.Code, text string) Result {
	return Result{Account: c.Template.Account, Code: code, Name: code.Info().Name, Text: text}
}

func errorResult(c Change, err error) Result {
	r := Result{Account: c.Template.Account, Code: result.CodeOf(err), Text: result.TextOf(err)}
	r.Name = r.Code.Info().Name
	return r
}
