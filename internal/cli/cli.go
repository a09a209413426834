// Package cli implements the cumintrestle command line: its subcommands, flags,
// output and exit codes.
//
// # Usage
//
//	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/cumintrestle/cumintrestle/pkg/result"
)

// Version is the version of the program.
const Version = "0.1.0"

// The exit codes, by kind of failure. A command that applies several changes
// exits with the highest code of any of them.
const (
	ExitOK         = 0
	ExitUsage      = 1
	ExitInvalid    = 2
	ExitNotApplied = 3
	ExitNoAnswer   = 4
	ExitUnknown    = 5
	ExitNotInForce = 6
)

const (
	envURL        = "CUMINTRESTLE_URL"
	envCredential = "CUMINTRESTLE_CREDENTIAL"
	defaultURL    = "http://127.0.0.1:7432"
)

// app holds the streams, the context and the flags of one invocation.
type app struct {
	in   io.Reader
	out  io.Writer
	err  io.Writer
	ctx  context.Context
	opts options
}

// options holds the flags of all subcommands.
type options struct {
	json         bool
	url          string
	settingsPath string
	files        string
	dryRun       bool
	wait         bool
	prune        bool
	operation    string
	base         int
	account      string
	group        string
	since        string
	once         bool
	user         string
}

// command is a subcommand.
type command struct {
	name, help string
	flags      func(*flaggy.Subcommand, *options)
	run        func(*app) error
}

// commands lists all subcommands in the order of the help text.
func commands() []command {
	return []command{
		{"validate", "check template files without a connection", addFileFlag, (*app).validate},
		{"diff", "show what apply would change", addFileFlag, (*app).diff},
		{"apply", "apply template files", addApplyFlags, (*app).apply},
		{"get", "print stored templates", addAccountFlag, (*app).get},
		{"retire", "retire a client account's template", addRetireFlags, (*app).retire},
		{"status", "show hosts, database groups, endpoints and shares", nil, (*app).status},
		{"audit", "show the audit trail of changes", addAuditFlags, (*app).audit},
		{"serve", "run an entry host", addConfigFlag, (*app).serve},
		{"demo", "run a whole deployment in this process", addDemoFlags, (*app).demo},
		{"verifier", "make a SCRAM verifier from a password on standard input", nil, (*app).verifier},
		{"schema", "print the JSON schema of settings files", nil, (*app).schema},
		{"version", "print the version", nil, (*app).version},
	}
}

func addFileFlag(s *flaggy.Subcommand, o *options) {
	s.String(&o.files, "f", "file", "template file, or directory of template files")
}

func addApplyFlags(s *flaggy.Subcommand, o *options) {
	addFileFlag(s, o)
	s.Bool(&o.dryRun, "", "dry-run", "show what would change, change nothing")
	s.Bool(&o.wait, "", "wait", "wait until every live host has the change in force")
	s.Bool(&o.prune, "", "prune", "retire stored templates that no file declares")
	addChangeFlags(s, o)
}

func addChangeFlags(s *flaggy.Subcommand, o *options) {
	s.String(&o.operation, "", "operation-id", "repeat an earlier change whose answer was lost")
	s.Int(&o.base, "", "base", "version that the change was made from; default is the stored one")
}

func addAccountFlag(s *flaggy.Subcommand, o *options) {
	s.String(&o.account, "a", "account", "client account")
}

func addRetireFlags(s *flaggy.Subcommand, o *options) {
	addAccountFlag(s, o)
	s.Bool(&o.wait, "", "wait", "wait until every live host has the change in force")
	addChangeFlags(s, o)
}

func addAuditFlags(s *flaggy.Subcommand, o *options) {
	addAccountFlag(s, o)
	s.String(&o.group, "g", "group", "database group")
	s.String(&o.since, "", "since", "RFC 3339 time")
}

func addConfigFlag(s *flaggy.Subcommand, o *options) {
	s.String(&o.settingsPath, "c", "config", "settings file")
}

func addDemoFlags(s *flaggy.Subcommand, o *options) {
	s.Bool(&o.once, "", "once", "end after the first run")
	s.String(&o.user, "", "user", "gazon-sahel or bathafarn")
}

// Main runs the subcommand that args name and returns the exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{in: in, out: out, err: errOut, ctx: ctx}
	a.opts.url = os.Getenv(envURL)
	if a.opts.url == "" {
		a.opts.url = defaultURL
	}
	a.opts.base = -1
	a.opts.user = "bathafarn"
	run, err := a.parse(args)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	if err := run(a); err != nil {
		a.printError(err)
		return exitCode(err)
	}
	return ExitOK
}

func (a *app) parse(args []string) (func(*app) error, error) {
	p := flaggy.NewParser("cumintrestle")
	p.Description = "database proxy with session consistency"
	p.Version = Version
	p.ShowVersionWithVersionFlag = false
	all := commands()
	subs := make([]*flaggy.Subcommand, len(all))
	for i, c := range all {
		subs[i] = flaggy.NewSubcommand(c.name)
		subs[i].Description = c.help
		subs[i].Bool(&a.opts.json, "", "json", "print JSON")
		subs[i].String(&a.opts.url, "u", "url", "operator address of any entry host")
		if c.flags != nil {
			c.flags(subs[i], &a.opts)
		}
		p.AttachSubcommand(subs[i], 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return nil, fmt.Errorf("arguments: %w", err)
	}
	for i, c := range all {
		if subs[i].Used {
			return c.run, nil
		}
	}
	p.ShowHelp()
	return nil, errors.New("no command given")
}

func (a *app) client() *operatorClient {
	return &operatorClient{url: a.opts.url, credential: os.Getenv(envCredential)}
}

// codedError is the output for an error with --json.
type codedError struct {
	Code result.Code `json:"code"`
	Name string      `json:"name"`
	Text string      `json:"text"`
}

func (a *app) printError(err error) {
	if errors.Is(err, errReported) {
		return
	}
	if !a.opts.json {
		fmt.Fprintln(a.err, err)
		return
	}
	code := result.CodeOf(err)
	a.printJSON(codedError{Code: code, Name: code.Info().Name, Text: err.Error()})
}

func (a *app) printJSON(v any) {
	_ = json.NewEncoder(a.out).Encode(v)
}

// errReported matches errors whose message has already been printed.
var errReported = errors.New("error already printed")

// exitError is an exit code for a failure that has already been printed.
type exitError struct{ code int }

// Error returns the exit code as text.
func (e exitError) Error() string { return fmt.Sprintf("exit %d", e.code) }

// Is makes errors.Is(e, errReported) true.
func (e exitError) Is(target error) bool { return target == errReported }

func exitCode(err error) int {
	var e exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitCodeOf(result.CodeOf(err))
}

func exitCodeOf(c result.Code) int {
	switch c {
	case 0:
		return ExitUsage
	case result.TemplateInvalid, result.SettingsInvalid, result.NotFound:
		return ExitInvalid
	case result.NotApplied:
		return ExitNotApplied
	case result.PlatformDown, result.CredentialInvalid:
		return ExitNoAnswer
	}
	switch c.Family() {
	case result.Done:
		return ExitOK
	case result.Unknown:
		return ExitUnknown
	}
	return ExitInvalid
}

func (a *app) version() error {
	if a.opts.json {
		a.printJSON(struct {
			Version string `json:"version"`
		}{Version})
		return nil
	}
	fmt.Fprintln(a.out, "cumintrestle", Version)
	return nil
}
