package host

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/declared"
	"github.com/cumintrestle/cumintrestle/internal/endpoint"
	"github.com/cumintrestle/cumintrestle/internal/operator"
	"github.com/cumintrestle/cumintrestle/internal/platform"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// watchDeclared learns what is declared from the platform's table.
func (h *Host) watchDeclared() error {
	for h.t.Alive() {
		rows, revision, err := h.table.Changes(h.ctx, declared.Prefix, h.state.Revision(), declaredWait)
		h.setPlatformOK(err == nil)
		if err != nil {
			sleep(h.ctx, h.Clock, platformRetry)
			continue
		}
		h.merge(rows, revision, "platform")
	}
	return nil
}

func (h *Host) setPlatformOK(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() == nil && ok != h.platformOK {
		h.event(h.Log.Info(), "platform_reached").Bool("answers", ok).Msg("")
	}
	h.platformOK = ok
}

// merge takes in declared rows and tells the peers at once of a new revision.
func (h *Host) merge(rows []platform.Row, revision platform.Revision, from string) {
	keys := h.state.Merge(rows, revision)
	h.metrics.revision.Set(float64(h.state.Revision()))
	if len(keys) == 0 {
		return
	}
	h.event(h.Log.Info(), "declared_changed").Str("from", from).Uint64("revision", uint64(revision)).Strs("keys", keys).Msg("")
	h.mesh.Beat()
}

// watchHosts reads the platform's lagging list of hosts.
func (h *Host) watchHosts() error {
	for h.t.Alive() {
		hosts, err := h.table.Hosts(h.ctx)
		if err == nil {
			h.mu.Lock()
			h.listed = nil
			for _, x := range hosts {
				h.listed = append(h.listed, x.ID)
			}
			h.mu.Unlock()
		}
		sleep(h.ctx, h.Clock, hostsInterval)
	}
	return nil
}

// reconcileLoop makes what runs follow what is declared.
func (h *Host) reconcileLoop() error {
	for {
		changed := h.state.Changed()
		h.reconcileGroups()
		h.reconcileAccounts()
		select {
		case <-h.t.Dying():
			return nil
		case <-changed:
		}
	}
}

func (h *Host) reconcileGroups() {
	want := h.state.Groups()
	for _, d := range want {
		have := h.group(d.Name)
		if have != nil && slices.Equal(have.Declared.Members, d.Members) {
			continue
		}
		if have != nil {
			have.Stop()
		}
		h.startGroup(d)
	}
}

func (h *Host) startGroup(d declared.Group) {
	members := make([]core.Member, 0, len(d.Members))
	for _, e := range d.Members {
		members = append(members, e.Member)
	}
	c := &core.Group{
		Name: d.Name, Self: h.id, Members: members, Timing: h.Timing,
		NewNonce: func() core.Nonce { return core.Nonce(uuid.NewString()) },
	}
	if h.Adjust != nil {
		h.Adjust(c)
	}
	g := &endpoint.Group{
		Declared: d, Core: c, Zone: h.Settings.Zone, Clock: h.Clock,
		Dialer:     endpoint.Dialer{Host: string(h.id), Password: h.Settings.EndpointPassword, BindIP: h.Settings.BindIP},
		OnAnnounce: func(a core.Announce) { h.announced(d.Name, a) },
	}
	g.Run()
	h.mu.Lock()
	h.groups[d.Name] = g
	h.mu.Unlock()
	for _, e := range d.Members {
		h.shareEndpoint(g, e)
	}
	h.sharer.hurry()
}

// shareEndpoint shares an endpoint's connections with the other hosts.
func (h *Host) shareEndpoint(g *endpoint.Group, e declared.Endpoint) {
	pool, control := g.Pool(e.ID), g.Control(e.ID)
	h.sharer.add(&resource{
		key:    sharePrefix + "endpoint/" + string(e.ID),
		total:  e.Connections,
		demand: pool.TakeDemand,
		held:   pool.Held,
		setLimit: func(n int, run core.HostID) {
			pool.SetHost(string(run))
			pool.SetLimit(n)
		},
		evict: func(ctx context.Context, run core.HostID) error { return control.Evict(ctx, string(run)) },
	})
}

// reconcileAccounts shares each account's cap with the other hosts.
func (h *Host) reconcileAccounts() {
	for _, t := range h.state.Accounts() {
		name := t.Account
		h.sharer.add(&resource{
			key:      sharePrefix + "account/" + string(name),
			total:    t.Connections,
			demand:   func() int { return h.caps.demand(name) },
			held:     func() int { return h.caps.held(name) },
			setLimit: func(n int, _ core.HostID) { h.caps.setLimit(name, n) },
			evict:    h.confirmGone,
			byHost:   true,
		})
	}
}

// confirmGone takes a host's callers for gone only when the platform's list
// does not have the host any more: nobody else could cut them.
func (h *Host) confirmGone(_ context.Context, run core.HostID) error {
	base, _, _ := strings.Cut(string(run), "+")
	name, _, _ := strings.Cut(base, ".")
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.platformOK || len(h.listed) == 0 {
		return fmt.Errorf("the platform's list of hosts is not known")
	}
	if slices.Contains(h.listed, base) || slices.Contains(h.listed, name) {
		return fmt.Errorf("host %s is listed as live", base)
	}
	return nil
}

// announced logs a new primary; the host that promoted it also writes it to
// the audit trail, when the platform can take it.
func (h *Host) announced(g session.Group, a core.Announce) {
	h.metrics.announced(g, a)
	h.event(h.Log.Info(), "primary_changed").Str("database_group", string(g)).Uint64("term", uint64(a.Term)).
		Str("endpoint", string(a.Primary)).Str("cause", string(a.Cause)).Msg("")
	if a.Cause == "" || !h.t.Alive() {
		return
	}
	h.t.Go(func() error {
		h.recordPromotion(g, a)
		return nil
	})
}

// recordPromotion writes the audit row of a promotion, trying until the
// platform takes it. The members' terms have decided already.
func (h *Host) recordPromotion(g session.Group, a core.Announce) {
	id := fmt.Sprintf("promotion/%s/%d", g, a.Term)
	body, err := json.Marshal(operator.AuditRecord{
		OperationID: id, At: h.Clock.Now().UTC(), Operator: string(h.id), Action: "promote",
		Group: string(g), Code: result.Applied,
		Text: fmt.Sprintf("endpoint %s leads term %d: %s", a.Primary, a.Term, a.Cause),
	})
	if err != nil {
		return
	}
	for h.t.Alive() {
		_, err := h.table.Commit(h.ctx, []platform.Write{{Key: operator.AuditPrefix + id, Value: body}})
		if _, conflict := err.(*platform.ConflictError); err == nil || conflict {
			return
		}
		sleep(h.ctx, h.Clock, time.Second)
	}
}

// Ready reports whether the host knows what is declared and every declared
// group runs.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.draining && h.state.Revision() > 0 && len(h.groups) > 0
}

// Status describes the host for operators.
func (h *Host) Status() operator.Status {
	s := operator.Status{
		Host: h.id, Zone: h.Settings.Zone, Revision: h.state.Revision(),
		Sessions: h.callers.Sessions(), Retries: h.retries.Left(), Peers: h.mesh.Peers(),
	}
	h.mu.Lock()
	s.Draining, s.Platform = h.draining, h.platformOK
	h.mu.Unlock()
	for _, d := range h.state.Groups() {
		if g := h.group(d.Name); g != nil {
			s.Groups = append(s.Groups, groupStatus(g))
		}
	}
	for _, t := range h.state.Accounts() {
		s.Accounts = append(s.Accounts, h.accountStatus(t))
	}
	return s
}

func (h *Host) accountStatus(t template.Template) operator.AccountStatus {
	c := h.caps.counts(t.Account)
	return operator.AccountStatus{Account: t.Account, Connections: c.held, Share: c.limit, Limit: t.Connections}
}

func groupStatus(g *endpoint.Group) operator.GroupStatus {
	out := operator.GroupStatus{Name: g.Declared.Name, Term: g.View().Term, Acked: g.Acked()}
	for _, r := range g.Report() {
		out.Endpoint = append(out.Endpoint, operator.EndpointStatus{
			MemberReport: r, Pool: g.Pool(r.Member.ID).Stats(), Verdict: verdict(r),
		})
	}
	return out
}

// verdict says in a few words why reads go to an endpoint or not.
func verdict(r core.MemberReport) string {
	switch {
	case !r.Up:
		return "not heard"
	case r.Status.Leaving:
		return "leaving"
	case !r.AgeOK:
		return "age unknown"
	case r.Primary:
		return fmt.Sprintf("primary, confirmed %s ago", r.Age.Round(time.Millisecond))
	}
	return fmt.Sprintf("replica, at most %s old", r.Age.Round(time.Millisecond))
}
