package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/cumintrestle/cumintrestle/internal/standin/deploy"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

const demoTimeout = 30 * time.Second

// demoAddresses is the line that demo --json prints once the deployment runs.
type demoAddresses struct {
	Hosts      []demoHost      `json:"entry_hosts"`
	Accounts   []demoAccount   `json:"accounts"`
	Groups     []session.Group `json:"database_groups"`
	Platform   string          `json:"platform_url"`
	Credential string          `json:"operator_credential"`
}

type demoHost struct {
	Zone     string `json:"zone"`
	Caller   string `json:"caller"`
	Operator string `json:"operator_url"`
}

type demoAccount struct {
	Account  template.Account `json:"account"`
	Password string           `json:"password"`
}

// demo runs a whole deployment in this process. It writes through one entry host
// and reads the row back through another, kills the primary, and repeats both
// after the failover. Without --once it then runs until Ctrl-C.
func (a *app) demo() error {
	spec := deploy.Bathafarn()
	switch a.opts.user {
	case "bathafarn":
	case "gazon-sahel":
		spec = deploy.GazonSahel()
	default:
		return result.New(result.SettingsInvalid, "field user: value %q; allowed: bathafarn or gazon-sahel", a.opts.user)
	}
	d, err := deploy.Start(spec, deploy.Options{})
	if err != nil {
		return err
	}
	defer d.Stop()
	a.demoAddresses(d)
	if err := a.demoFailover(d); err != nil {
		return err
	}
	if a.opts.once {
		return nil
	}
	a.printText("The deployment stays up until Ctrl-C.\n")
	<-a.ctx.Done()
	return nil
}

func (a *app) printText(format string, args ...any) {
	if !a.opts.json {
		fmt.Fprintf(a.out, format, args...)
	}
}

func (a *app) demoAddresses(d *deploy.Deployment) {
	out := demoAddresses{Groups: d.Spec.Groups, Platform: d.PlatformURL(), Credential: deploy.OperatorCredential}
	for _, h := range d.Hosts() {
		s := h.Addresses()
		out.Hosts = append(out.Hosts, demoHost{Zone: string(h.Settings.Zone), Caller: s.Caller, Operator: "http://" + s.Operator})
	}
	for _, acc := range d.Spec.Accounts {
		out.Accounts = append(out.Accounts, demoAccount{acc.Name, acc.Password})
	}
	if a.opts.json {
		a.printJSON(out)
		return
	}
	a.printText("%s: %d entry hosts in %d availability zones, %d database groups\n", d.Spec.User, len(out.Hosts), len(d.Spec.Zones), len(out.Groups))
	for _, h := range out.Hosts {
		a.printText("  %-12s callers %-18s operators %s\n", h.Zone, h.Caller, h.Operator)
	}
	a.printText("Connect:  psql '%s'\n", d.URL(d.Hosts()[0], d.Spec.Accounts[0], d.Spec.Groups[0]))
	a.printText("Operate:  CUMINTRESTLE_CREDENTIAL=%s cumintrestle status -u %s\n", out.Credential, out.Hosts[0].Operator)
}

func (a *app) demoFailover(d *deploy.Deployment) error {
	ctx, cancel := context.WithTimeout(a.ctx, demoTimeout)
	defer cancel()
	acc, g := d.Spec.Accounts[0], d.Spec.Groups[0]
	first, err := pgx.Connect(ctx, d.URL(d.Hosts()[0], acc, g))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer first.Close(context.Background())
	second, err := pgx.Connect(ctx, d.URL(d.Hosts()[1], acc, g))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	defer second.Close(context.Background())
	for _, sql := range []string{
		"CREATE TABLE IF NOT EXISTS job (id INTEGER PRIMARY KEY, die TEXT)",
		"INSERT INTO job VALUES (1, 'medal, obverse')",
	} {
		if _, err := first.Exec(ctx, sql); err != nil {
			return fmt.Errorf("demo: %w", err)
		}
	}
	if err := a.demoReadBack(ctx, first, second, 1); err != nil {
		return err
	}
	primary, term := d.PrimaryOf(g)
	a.printText("Primary %s of term %d is killed now.\n", primary, term)
	killedAt := time.Now()
	if err := d.Node(primary).Stop(); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if err := demoWrite(ctx, first, 2); err != nil {
		return err
	}
	gap := time.Since(killedAt)
	newPrimary, term := d.PrimaryOf(g)
	a.printText("Endpoint %s leads term %d; the next order was acknowledged %s after the kill.\n", newPrimary, term, gap.Round(time.Millisecond))
	return a.demoReadBack(ctx, first, second, 2)
}

// demoWrite retries an insert until it is acknowledged. The request id makes the
// retries idempotent.
func demoWrite(ctx context.Context, conn *pgx.Conn, id int) error {
	for {
		if _, err := conn.Exec(ctx, fmt.Sprintf("SET cumintrestle.request_id = 'demo-job-%d'", id)); err != nil {
			return fmt.Errorf("demo: %w", err)
		}
		_, err := conn.Exec(ctx, fmt.Sprintf("INSERT INTO job VALUES (%d, 'medal, reverse')", id))
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("demo: %w", err)
		}
	}
}

func (a *app) demoReadBack(ctx context.Context, first, second *pgx.Conn, want int) error {
	token := first.PgConn().ParameterStatus("cumintrestle.session_token")
	if _, err := second.Exec(ctx, "SET cumintrestle.session_token = '"+token+"'"); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	var n int
	if err := second.QueryRow(ctx, "SELECT count(*) FROM job").Scan(&n); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	a.printText("Written on one host, read on another: %d job cards, %d expected.\n", n, want)
	if n != want {
		return fmt.Errorf("demo: %d job cards, %d expected", n, want)
	}
	return nil
}
