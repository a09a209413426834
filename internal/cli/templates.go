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
	forceWait     = 30 * time.Second
	forceInterval = 50 * time.Millisecond
)

// file is one template file.
type file struct {
	path     string
	template template.Template
}

// load reads and checks the files that -f names.
func (a *app) load() ([]file, error) {
	if a.opts.files == "" {
		return nil, result.New(result.TemplateInvalid, "-f FILE or -f DIR is needed")
	}
	paths, err := templatePaths(a.opts.files)
	if err != nil {
		return nil, err
	}
	out := make([]file, 0, len(paths))
	seen := make(map[template.Account]string, len(paths))
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
		if other, ok := seen[t.Account]; ok {
			return nil, result.New(result.TemplateInvalid, "%s: field account: value %s; allowed: an account that %s does not declare", p, t.Account, other)
		}
		seen[t.Account] = p
		out = append(out, file{path: p, template: t})
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
	files, err := a.load()
	if err != nil {
		return err
	}
	for _, f := range files {
		if a.opts.json {
			a.print(struct {
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

// planned is one change that apply would make.
type planned struct {
	Account template.Account       `json:"account"`
	Action  string                 `json:"action"`
	Base    platform.Version       `json:"base_version"`
	Changes []operator.FieldChange `json:"changes,omitempty"`

	template template.Template
}

// plan compares files with what is stored.
func (a *app) plan(files []file) ([]planned, error) {
	stored, err := a.client().templates(a.ctx)
	if err != nil {
		return nil, err
	}
	var out []planned
	declared := make(map[template.Account]bool, len(files))
	for _, f := range files {
		declared[f.template.Account] = true
		p := planned{Account: f.template.Account, Action: "create", template: f.template}
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
			out = append(out, retirement(s))
		}
	}
	return out, nil
}

func retirement(s operator.Stored) planned {
	p := planned{Account: s.Template.Account, Action: "retire", Base: s.Version, template: s.Template}
	p.template.State = template.Retired
	p.Changes = operator.Diff(s.Template, p.template)
	return p
}

// planFiles loads the files and compares them with what is stored.
func (a *app) planFiles() ([]planned, error) {
	files, err := a.load()
	if err != nil {
		return nil, err
	}
	return a.plan(files)
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

func (a *app) printPlan(p planned) {
	if a.opts.json {
		a.print(p)
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
	return a.change(plans)
}

// change carries out plans one by one and reports each.
func (a *app) change(plans []planned) error {
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
		worst = max(worst, exitOf(r.Code))
	}
	if a.opts.wait && revision > 0 {
		if err := a.waitInForce(revision); err != nil {
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
		a.print(struct {
			OperationID string `json:"operation_id"`
			operator.Result
		}{id, r})
		return
	}
	fmt.Fprintf(a.out, "%s: CT%d %s: %s (operation %s, revision %d)\n", r.Account, r.Code, r.Name, r.Text, id, r.Revision)
	a.printChanges(r.Difference)
}

// waitInForce waits until every live host has a revision, telling each host
// as it gets there.
func (a *app) waitInForce(revision platform.Revision) error {
	start := time.Now()
	told := make(map[string]bool)
	for {
		var hosts []operator.ForceStatus
		if err := a.client().get(a.ctx, "/v1/revisions", &hosts); err != nil {
			return err
		}
		var lacking []string
		for _, h := range hosts {
			switch {
			case !h.Live:
			case h.Revision < revision:
				lacking = append(lacking, string(h.Host))
			case !told[string(h.Host)]:
				told[string(h.Host)] = true
				a.printForce(h, revision, time.Since(start))
			}
		}
		if len(lacking) == 0 {
			return nil
		}
		if time.Since(start) > forceWait {
			slices.Sort(lacking)
			fmt.Fprintf(a.err, "accepted, but not in force on: %s\n", strings.Join(lacking, ", "))
			return exitError{ExitNotInForce}
		}
		time.Sleep(forceInterval)
	}
}

func (a *app) printForce(h operator.ForceStatus, revision platform.Revision, took time.Duration) {
	if a.opts.json {
		a.print(struct {
			Host     string            `json:"host"`
			Revision platform.Revision `json:"in_force_revision"`
			TookMS   int64             `json:"took_ms"`
		}{string(h.Host), revision, took.Milliseconds()})
		return
	}
	fmt.Fprintf(a.out, "  in force on %s (%s) after %s\n", h.Host, h.Zone, took.Round(time.Millisecond))
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
		p := retirement(s)
		if a.opts.base >= 0 {
			p.Base = platform.Version(a.opts.base)
		}
		return a.change([]planned{p})
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
			a.print(s)
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
		return fmt.Errorf("password: %w", err)
	}
	v, err := template.NewVerifier(strings.TrimRight(line, "\r\n"))
	if err != nil {
		return err
	}
	a.print(v)
	return nil
}
