package cli

import (
	"bufio"
	"cmp"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cumintrestle/cumintrestle/internal/operator"
	"github.com/cumintrestle/cumintrestle/internal/platform"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

const (
	revisionWaitLimit    = 30 * time.Second
	revisionPollInterval = 50 * time.Millisecond
)

// templateFile is a template and the path it was read from.
type templateFile struct {
	path     string
	template template.Template
}

// loadFiles reads and validates the template files given with -f.
func (a *app) loadFiles() ([]templateFile, error) {
	if a.opts.files == "" {
		return nil, result.New(result.TemplateInvalid, "-f FILE or -f DIR is needed")
	}
	paths, err := templatePaths(a.opts.files)
	if err != nil {
		return nil, err
	}
	out := make([]templateFile, 0, len(paths))
	pathOf := make(map[template.Account]string, len(paths))
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return nil, result.New(result.TemplateInvalid, "%w", err)
		}
		t, err := template.Decode(data)
		if err == nil {
			err = t.Validate()
		}
		if err != nil {
			return nil, result.New(result.CodeOf(err), "%s: %s", p, result.TextOf(err))
		}
		if otherPath, ok := pathOf[t.Account]; ok {
			return nil, result.New(result.TemplateInvalid, "%s: field account: value %s; allowed: an account that %s does not declare", p, t.Account, otherPath)
		}
		pathOf[t.Account] = p
		out = append(out, templateFile{path: p, template: t})
	}
	return out, nil
}

func templatePaths(root string) ([]string, error) {
	var out []string
	err := filepath.WalkDir(root, func(p string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !d.IsDir() && (p == root || strings.HasSuffix(p, ".json")) {
			out = append(out, p)
		}
		return nil
	})
	if err != nil {
		return nil, result.New(result.TemplateInvalid, "%w", err)
	}
	if len(out) == 0 {
		return nil, result.New(result.TemplateInvalid, "%s: no template files", root)
	}
	return out, nil
}

func (a *app) validate() error {
	files, err := a.loadFiles()
	if err != nil {
		return err
	}
	for _, f := range files {
		if a.opts.json {
			a.printJSON(struct {
				File    string           `json:"file"`
				Account template.Account `json:"account"`
				Valid   bool             `json:"valid"`
			}{f.path, f.template.Account, true})
			continue
		}
		fmt.Fprintf(a.out, "%s: client account %s is valid\n", f.path, f.template.Account)
	}
	return nil
}

// plannedChange is a change that apply would make.
type plannedChange struct {
	Account template.Account       `json:"account"`
	Action  string                 `json:"action"`
	Base    platform.Version       `json:"base_version"`
	Changes []operator.FieldChange `json:"changes,omitempty"`

	template template.Template
}

// planChanges returns the change that each file needs, with action "none" if its
// template is stored already, and with --prune the retirement of each stored
// template that has no file.
func (a *app) planChanges(files []templateFile) ([]plannedChange, error) {
	stored, err := a.client().templates(a.ctx)
	if err != nil {
		return nil, err
	}
	var out []plannedChange
	declared := make(map[template.Account]bool, len(files))
	for _, f := range files {
		declared[f.template.Account] = true
		p := plannedChange{Account: f.template.Account, Action: "create", template: f.template}
		for _, s := range stored {
			if s.Template.Account == p.Account {
				p.Action, p.Base = "change", s.Version
				p.Changes = operator.Diff(s.Template, f.template)
			}
		}
		if p.Action == "change" && len(p.Changes) == 0 {
			p.Action = "none"
		}
		if a.opts.base >= 0 {
			p.Base = platform.Version(a.opts.base)
		}
		out = append(out, p)
	}
	for _, s := range stored {
		if a.opts.prune && !declared[s.Template.Account] && s.Template.State != template.Retired {
			out = append(out, planRetirement(s))
		}
	}
	return out, nil
}

func planRetirement(s operator.StoredTemplate) plannedChange {
	p := plannedChange{Account: s.Template.Account, Action: "retire", Base: s.Version, template: s.Template}
	p.template.State = template.Retired
	p.Changes = operator.Diff(s.Template, p.template)
	return p
}

// planFiles loads the files given with -f and plans their changes.
func (a *app) planFiles() ([]plannedChange, error) {
	files, err := a.loadFiles()
	if err != nil {
		return nil, err
	}
	return a.planChanges(files)
}

func (a *app) diff() error {
	plans, err := a.planFiles()
	if err != nil {
		return err
	}
	for _, p := range plans {
		a.printPlan(p)
	}
	return nil
}

func (a *app) printPlan(p plannedChange) {
	if a.opts.json {
		a.printJSON(p)
		return
	}
	fmt.Fprintf(a.out, "%s: %s (from version %d)\n", p.Account, p.Action, p.Base)
	a.printChanges(p.Changes)
}

func (a *app) printChanges(changes []operator.FieldChange) {
	for _, c := range changes {
		fmt.Fprintf(a.out, "  %s: %s -> %s\n", c.Field, c.Before, c.After)
	}
}

func (a *app) apply() error {
	if a.opts.dryRun {
		return a.diff()
	}
	plans, err := a.planFiles()
	if err != nil {
		return err
	}
	return a.applyPlans(plans)
}

// applyPlans applies the planned changes in order and prints each result. It
// continues after a rejected change, but stops if a request fails.
func (a *app) applyPlans(plans []plannedChange) error {
	id := cmp.Or(a.opts.operation, uuid.NewString())
	worst := ExitOK
	var revision platform.Revision
	for _, p := range plans {
		r, err := a.client().apply(a.ctx, operator.Change{OperationID: id, Action: p.Action, Template: p.template, Base: p.Base})
		if err != nil {
			return fmt.Errorf("operation %s: %w", id, err)
		}
		a.printResult(id, r)
		revision = max(revision, r.Revision)
		worst = max(worst, exitCodeOf(r.Code))
	}
	if a.opts.wait && revision > 0 {
		if err := a.waitForRevision(revision); err != nil {
			return err
		}
	}
	if worst != ExitOK {
		return exitError{worst}
	}
	return nil
}

func (a *app) printResult(id string, r operator.Result) {
	if a.opts.json {
		a.printJSON(struct {
			OperationID string `json:"operation_id"`
			operator.Result
		}{id, r})
		return
	}
	fmt.Fprintf(a.out, "%s: CT%d %s: %s (operation %s, revision %d)\n", r.Account, r.Code, r.Name, r.Text, id, r.Revision)
	a.printChanges(r.Difference)
}

// waitForRevision waits until every live host has loaded the revision and prints
// each host when it has.
func (a *app) waitForRevision(revision platform.Revision) error {
	start := time.Now()
	reported := make(map[string]bool)
	for {
		var hosts []operator.HostRevision
		if err := a.client().get(a.ctx, "/v1/revisions", &hosts); err != nil {
			return err
		}
		var behind []string
		for _, h := range hosts {
			switch {
			case !h.Live:
			case h.Revision < revision:
				behind = append(behind, string(h.Host))
			case !reported[string(h.Host)]:
				reported[string(h.Host)] = true
				a.printHostRevision(h, revision, time.Since(start))
			}
		}
		if len(behind) == 0 {
			return nil
		}
		if time.Since(start) > revisionWaitLimit {
			slices.Sort(behind)
			fmt.Fprintf(a.err, "accepted, but not in force on: %s\n", strings.Join(behind, ", "))
			return exitError{ExitNotInForce}
		}
		time.Sleep(revisionPollInterval)
	}
}

func (a *app) printHostRevision(h operator.HostRevision, revision platform.Revision, elapsed time.Duration) {
	if a.opts.json {
		a.printJSON(struct {
			Host     string            `json:"host"`
			Revision platform.Revision `json:"in_force_revision"`
			TookMS   int64             `json:"took_ms"`
		}{string(h.Host), revision, elapsed.Milliseconds()})
		return
	}
	fmt.Fprintf(a.out, "  in force on %s (%s) after %s\n", h.Host, h.Zone, elapsed.Round(time.Millisecond))
}

func (a *app) retire() error {
	stored, err := a.client().templates(a.ctx)
	if err != nil {
		return err
	}
	for _, s := range stored {
		if string(s.Template.Account) != a.opts.account {
			continue
		}
		p := planRetirement(s)
		if a.opts.base >= 0 {
			p.Base = platform.Version(a.opts.base)
		}
		return a.applyPlans([]plannedChange{p})
	}
	return result.New(result.NotFound, "client account %q has no template", a.opts.account)
}

func (a *app) get() error {
	stored, err := a.client().templates(a.ctx)
	if err != nil {
		return err
	}
	found := false
	for _, s := range stored {
		if a.opts.account != "" && string(s.Template.Account) != a.opts.account {
			continue
		}
		found = true
		if a.opts.json {
			a.printJSON(s)
			continue
		}
		fmt.Fprintf(a.out, "%s: version %d, %s, groups %v, oldest read %d ms, %d connections\n", s.Template.Account,
			s.Version, s.Template.State, s.Template.Groups, s.Template.OldestReadMS, s.Template.Connections)
	}
	if !found && a.opts.account != "" {
		return result.New(result.NotFound, "client account %q has no template", a.opts.account)
	}
	return nil
}

func (a *app) verifier() error {
	line, err := bufio.NewReader(a.in).ReadString('\n')
	if err != nil && line == "" {
		return fmt.Errorf("read password: %w", err)
	}
	v, err := template.NewVerifier(strings.TrimRight(line, "\r\n"))
	if err != nil {
		return err
	}
	a.printJSON(v)
	return nil
}
