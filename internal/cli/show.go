package cli

import (
	"fmt"
	"net/url"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/operator"
)

func (a *app) status() error {
	var s operator.Status
	if err := a.client().get(a.ctx, "/v1/status", &s); err != nil {
		return err
	}
	if a.opts.json {
		a.printJSON(s)
		return nil
	}
	fmt.Fprintf(a.out, "host %s (%s): revision %d, %d sessions, platform answers: %t, retry budget left: %.0f\n",
		s.Host, s.Zone, s.Revision, s.Sessions, s.PlatformReachable, s.RetryBudget)
	for _, p := range s.Peers {
		fmt.Fprintf(a.out, "  peer %s (%s): live %t, revision %d\n", p.Host, p.Zone, p.Live, p.Revision)
	}
	for _, g := range s.Groups {
		fmt.Fprintf(a.out, "group %s: term %d, acknowledged up to %s\n", g.Name, g.Term, g.Acked)
		for _, e := range g.Endpoints {
			fmt.Fprintf(a.out, "  %s: last %s, applied %d, connections %d of share %d, %d waiting; %s\n",
				e.Member.ID, e.Status.Last, e.Status.Applied, e.Pool.Held, e.Pool.Limit, e.Pool.Waiting, e.Verdict)
		}
	}
	for _, c := range s.Accounts {
		fmt.Fprintf(a.out, "account %s: %d connections here, share %d, limit over all hosts %d\n", c.Account, c.Connections, c.Share, c.Limit)
	}
	return nil
}

func (a *app) audit() error {
	q := url.Values{}
	q.Set("account", a.opts.account)
	q.Set("group", a.opts.group)
	q.Set("since", a.opts.since)
	var records []operator.AuditRecord
	if err := a.client().get(a.ctx, "/v1/audit?"+q.Encode(), &records); err != nil {
		return err
	}
	for _, r := range records {
		if a.opts.json {
			a.printJSON(r)
			continue
		}
		fmt.Fprintf(a.out, "%s %s %s %s%s CT%d (operation %s) %s\n", r.At.Format(time.RFC3339Nano),
			r.Operator, r.Action, r.Account, r.Group, r.Code, r.OperationID, r.Text)
		a.printChanges(r.Difference)
	}
	return nil
}
