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

// watchDeclared follows the declared rows in the platform's table until the host
// stops.
func (h *Host) watchDeclared() error {
	for h.t.Alive() {
		rows, revision, err := h.table.Changes(h.ctx, declared.Prefix, h.state.Revision(), declaredPollWait)
		h.setPlatformReachable(err == nil)
		if err != nil {
			sleep(h.ctx, h.Clock, platformRetryDelay)
			continue
		}
		h.merge(rows, revision, "platform")
	}
	return nil
}

// setPlatformReachable records whether the last poll succeeded and logs changes.
func (h *Host) setPlatformReachable(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() == nil && ok != h.platformReachable {
		h.event(h.Log.Info(), "platform_reached").Bool("answers", ok).Msg("")
	}
	h.platformReachable = ok
}

// merge applies declared rows. If any was new, it sends the peers a heartbeat
// with the new revision at once.
func (h *Host) merge(rows []platform.Row, revision platform.Revision, from string) {
	keys := h.state.Merge(rows, revision)
	h.metrics.revision.Set(float64(h.state.Revision()))
	if len(keys) == 0 {
		return
	}
	h.event(h.Log.Info(), "declared_changed").Str("from", from).Uint64("revision", uint64(revision)).Strs("keys", keys).Msg("")
	h.mesh.SendHeartbeat()
}

// watchHosts polls the platform's host list. After an error the previous list
// stays.
func (h *Host) watchHosts() error {
	for h.t.Alive() {
		hosts, err := h.table.Hosts(h.ctx)
		if err == nil {
			h.mu.Lock()
			h.listedHosts = nil
			for _, x := range hosts {
				h.listedHosts = append(h.listedHosts, x.ID)
			}
			h.mu.Unlock()
		}
		sleep(h.ctx, h.Clock, hostListInterval)
	}
	return nil
}

// reconcileLoop brings the running groups and account caps in line with the
// declared state at each change.
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

// reconcileGroups starts the groups that are not running and restarts those
// whose members have changed.
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

// startGroup starts a group and shares the connections to its endpoints.
func (h *Host) startGroup(d declared.Group) {
	members := make([]core.Member, 0, len(d.Members))
	for _, e := range d.Members {
		members = append(members, e.Member)
	}
	c := &core.Group{
		Name: d.Name, Self: h.id, Members: members, Timing: h.Timing,
		NewNonce: func() core.Nonce { return core.Nonce(uuid.NewString()) },
	}
	if h.ConfigureGroup != nil {
		h.ConfigureGroup(c)
	}
	g := &endpoint.Group{
		Declared: d, Core: c, Zone: h.Settings.Zone, Clock: h.Clock,
		Dialer:     endpoint.Dialer{Host: string(h.id), Password: h.Settings.EndpointPassword, BindIP: h.Settings.BindIP},
		OnAnnounce: func(a core.Announce) { h.onNewPrimary(d.Name, a) },
	}
	g.Run()
	h.mu.Lock()
	h.groups[d.Name] = g
	h.mu.Unlock()
	for _, e := range d.Members {
		h.shareEndpoint(g, e)
	}
	h.sharer.requestRound()
}

// shareEndpoint adds the connections to an endpoint to the shared resources.
func (h *Host) shareEndpoint(g *endpoint.Group, e declared.Endpoint) {
	pool, control := g.Pool(e.ID), g.Control(e.ID)
	h.sharer.add(&resource{
		key:    sharePrefix + "endpoint/" + string(e.ID),
		total:  e.Connections,
		demand: pool.TakeDemand,
		inUse:  pool.Held,
		setLimit: func(n int, run core.HostID) {
			pool.SetRunID(string(run))
			pool.SetLimit(n)
		},
		evict: func(ctx context.Context, run core.HostID) error { return control.Evict(ctx, string(run)) },
	})
}

// reconcileAccounts adds the connection cap of each account to the shared
// resources, or updates it.
func (h *Host) reconcileAccounts() {
	for _, t := range h.state.Accounts() {
		name := t.Account
		h.sharer.add(&resource{
			key:              sharePrefix + "account/" + string(name),
			total:            t.Connections,
			demand:           func() int { return h.caps.demand(name) },
			inUse:            func() int { return h.caps.admitted(name) },
			setLimit:         func(n int, _ core.HostID) { h.caps.setLimit(name, n) },
			evict:            h.verifyHostGone,
			releasedByHolder: true,
		})
	}
}

// verifyHostGone returns nil only if the platform's host list no longer has the
// host of a run. Only then are the host's caller connections known to be closed:
// no other host can close them.
func (h *Host) verifyHostGone(_ context.Context, run core.HostID) error {
	base, _, _ := strings.Cut(string(run), "+")
	name, _, _ := strings.Cut(base, ".")
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.platformReachable || len(h.listedHosts) == 0 {
		return fmt.Errorf("the platform's host list is not available")
	}
	if slices.Contains(h.listedHosts, base) || slices.Contains(h.listedHosts, name) {
		return fmt.Errorf("host %s is still in the platform's host list", base)
	}
	return nil
}

// onNewPrimary logs a new primary. The host that promoted it, which is the one
// with a cause, also records the promotion in the audit trail.
func (h *Host) onNewPrimary(g session.Group, a core.Announce) {
	h.metrics.observePrimary(g, a)
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

// recordPromotion writes the audit row of a promotion and retries until the
// platform has it or the host stops. The row does not affect the promotion,
// which the members have already accepted. A conflict means that an earlier
// attempt wrote the row.
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

// Ready reports whether the host has read the declared state, runs at least one
// database group and is not draining.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.draining && h.state.Revision() > 0 && len(h.groups) > 0
}

// Status returns the host's status for operators.
func (h *Host) Status() operator.Status {
	s := operator.Status{
		Host: h.id, Zone: h.Settings.Zone, Revision: h.state.Revision(),
		Sessions: h.callers.Sessions(), RetryBudget: h.retries.Available(), Peers: h.mesh.Peers(),
	}
	h.mu.Lock()
	s.Draining, s.PlatformReachable = h.draining, h.platformReachable
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
	return operator.AccountStatus{Account: t.Account, Connections: c.admitted, Share: c.limit, Limit: t.Connections}
}

func groupStatus(g *endpoint.Group) operator.GroupStatus {
	out := operator.GroupStatus{Name: g.Declared.Name, Term: g.View().Term, Acked: g.Acked()}
	for _, r := range g.Report() {
		out.Endpoints = append(out.Endpoints, operator.EndpointStatus{
			MemberReport: r, Pool: g.Pool(r.Member.ID).Stats(), Verdict: verdict(r),
		})
	}
	return out
}

// verdict describes for operators whether an endpoint can serve reads, and why.
func verdict(r core.MemberReport) string {
	switch {
	case !r.Up:
		return "not heard"
	case r.Status.Leaving:
		return "leaving"
	case !r.AgeKnown:
		return "age unknown"
	case r.Primary:
		return fmt.Sprintf("primary, confirmed %s ago", r.Age.Round(time.Millisecond))
	}
	return fmt.Sprintf("replica, at most %s old", r.Age.Round(time.Millisecond))
}
