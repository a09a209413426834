package deploy

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cumintrestle/cumintrestle/internal/host"
	"github.com/cumintrestle/cumintrestle/internal/operator"
	"github.com/cumintrestle/cumintrestle/internal/standin/platform"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

func callOperator(t *testing.T, h *host.Host, method, path string, body, into any) int {
	t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(method, "http://"+h.Addresses().Operator+path, bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+OperatorCredential)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if into != nil {
		if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode
}

func applyChange(t *testing.T, h *host.Host, c operator.Change) operator.Result {
	t.Helper()
	var r operator.Result
	callOperator(t, h, http.MethodPost, "/v1/apply", c, &r)
	return r
}

// oldestReadChange returns a change that sets OldestReadMS in the template of the
// first account.
func oldestReadChange(t *testing.T, d *Deployment, oldest int64) operator.Change {
	t.Helper()
	tpl, version, ok := d.Hosts()[0].Template(d.Spec.Accounts[0].Name)
	if !ok {
		t.Fatal("no template")
	}
	tpl.OldestReadMS = oldest
	return operator.Change{OperationID: "op-" + t.Name(), Action: "change", Template: tpl, Base: version}
}

// waitInForce waits until a host uses the template with the given OldestReadMS.
func waitInForce(t *testing.T, h *host.Host, a template.Account, oldest int64) {
	t.Helper()
	waitFor(t, "the change to be in force", func() bool {
		tpl, _, _ := h.Template(a)
		return tpl.OldestReadMS == oldest
	})
}

// Of two changes based on the same version, the first must be applied and the
// second refused with the difference.
func TestOperatorsRace(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 2, NoDelay: true})
	first, second := oldestReadChange(t, d, 1500), oldestReadChange(t, d, 2500)
	second.OperationID += "-second"
	if r := applyChange(t, d.Hosts()[0], first); r.Code != result.Applied {
		t.Fatalf("first: %+v", r)
	}
	r := applyChange(t, d.Hosts()[1], second)
	if r.Code != result.NotApplied || len(r.Difference) != 1 || r.Difference[0].Before != "1500" {
		t.Errorf("second: %+v", r)
	}
	for _, h := range d.Hosts() {
		waitInForce(t, h, first.Template.Account, 1500)
	}
	t.Run("a repeat of the same operation changes nothing", func(t *testing.T) {
		if r := applyChange(t, d.Hosts()[1], first); r.Code != result.Unchanged {
			t.Errorf("repeat: %+v", r)
		}
	})
	t.Run("audit", func(t *testing.T) {
		var records []operator.AuditRecord
		callOperator(t, d.Hosts()[1], http.MethodGet, "/v1/audit", nil, &records)
		var applied, refused int
		for _, rec := range records {
			switch rec.Code {
			case result.Applied:
				applied++
			case result.NotApplied:
				refused++
			}
		}
		if applied != 1 || refused != 1 {
			t.Errorf("%d applied and %d refused in %+v", applied, refused, records)
		}
	})
	t.Run("invalid", func(t *testing.T) {
		bad := oldestReadChange(t, d, 1)
		if r := applyChange(t, d.Hosts()[0], bad); r.Code != result.TemplateInvalid {
			t.Errorf("%+v", r)
		}
	})
	t.Run("metrics", func(t *testing.T) { checkMetrics(t, d.Hosts()[0]) })
	t.Run("credential", func(t *testing.T) {
		resp, err := http.Get("http://" + d.Hosts()[0].Addresses().Operator + "/v1/status")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusUnauthorized {
			t.Errorf("status %d without a credential", resp.StatusCode)
		}
	})
}

func checkMetrics(t *testing.T, h *host.Host) {
	resp, err := http.Get("http://" + h.Addresses().Operator + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{
		"cumintrestle_endpoint_share{", "cumintrestle_retry_budget ", "cumintrestle_declared_revision ",
		"cumintrestle_term{", "cumintrestle_sessions ",
	} {
		if !bytes.Contains(body, []byte("\n"+name)) {
			t.Errorf("/metrics lacks %s", name)
		}
	}
}

// If the platform's response is lost after the write took effect, the operator
// must get the code for an applied change, and the change must apply only once.
func TestLostAnswer(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 1, NoDelay: true})
	c := oldestReadChange(t, d, 1500)
	d.Platform.SetFaults(platform.Faults{LoseAnswers: 1})
	if r := applyChange(t, d.Hosts()[0], c); r.Code != result.Applied {
		t.Fatalf("%+v", r)
	}
	waitInForce(t, d.Hosts()[0], c.Template.Account, 1500)
	if _, version, _ := d.Hosts()[0].Template(c.Template.Account); version != c.Base+1 {
		t.Errorf("version %d after one change from %d", version, c.Base)
	}
}

// A host that cannot reach the platform must get a configuration change from its
// peers. A host that starts while the platform is down must get the whole
// configuration from them.
func TestDeclaredThroughPeers(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 3, NoDelay: true})
	d.Rules.SetCut(string(d.Spec.Zones[2]), PlatformZone, true)
	c := oldestReadChange(t, d, 1500)
	if r := applyChange(t, d.Hosts()[0], c); r.Code != result.Applied {
		t.Fatalf("%+v", r)
	}
	waitInForce(t, d.Hosts()[2], c.Template.Account, 1500)
	d.Platform.SetFaults(platform.Faults{Down: true})
	h, err := d.StartHost(d.Spec.Zones[1], nil)
	if err != nil {
		t.Fatal(err)
	}
	waitInForce(t, h, c.Template.Account, 1500)
	t.Run("serves with borrowed shares", func(t *testing.T) { checkServesWithBorrowedShares(t, d, h) })
	d.Platform.SetFaults(platform.Faults{Down: true})
	if r := applyChange(t, h, oldestReadChange(t, d, 1800)); r.Code != result.PlatformDown {
		t.Errorf("a change with the platform down: %+v", r)
	}
}

// checkServesWithBorrowedShares checks that a host without shares of its own
// serves with shares borrowed from its peers, and gets its own once the platform
// is back.
func checkServesWithBorrowedShares(t *testing.T, d *Deployment, h *host.Host) {
	t.Helper()
	conn, err := pgx.Connect(testContext(t), d.URL(h, d.Spec.Accounts[0], d.Spec.Groups[0]))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(context.Background())
	exec(t, conn, "CREATE TABLE loan (id INTEGER)")
	exec(t, conn, "INSERT INTO loan VALUES (1)")
	exec(t, conn, "SELECT count(*) FROM loan")
	d.Platform.SetFaults(platform.Faults{})
	waitFor(t, "a share of its own", func() bool { return ownShares(t, d, string(h.ID())) >= 3 })
	exec(t, conn, "INSERT INTO loan VALUES (2)")
	for _, z := range d.Spec.Zones {
		if n := d.Node(MemberOf(d.Spec.Groups[0], z)); n.PeakSessions() > n.MaxSessions {
			t.Errorf("endpoint held %d connections, limit %d", n.PeakSessions(), n.MaxSessions)
		}
	}
}

// ownShares returns the number of endpoints on which the platform's table grants
// a share to the host.
func ownShares(t *testing.T, d *Deployment, host string) int {
	t.Helper()
	resp, err := http.Get(d.PlatformURL() + "/v1/table/changes?prefix=share/endpoint/&since=0")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var a struct {
		Rows []struct {
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	if json.NewDecoder(resp.Body).Decode(&a) != nil {
		return 0
	}
	n := 0
	for _, r := range a.Rows {
		if bytes.Contains(r.Value, []byte(`"`+host+"+")) {
			n++
		}
	}
	return n
}

// When an account is retired, its running transaction must finish, and new
// statements and connections must be refused.
func TestRetire(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 2, NoDelay: true})
	conn := connect(t, d, 1)
	tx, err := conn.Begin(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	c := oldestReadChange(t, d, 1000)
	c.Template.State = template.Retired
	if r := applyChange(t, d.Hosts()[0], c); r.Code != result.Applied {
		t.Fatalf("%+v", r)
	}
	waitFor(t, "the retirement to be in force", func() bool {
		tpl, _, _ := d.Hosts()[1].Template(c.Template.Account)
		return tpl.State == template.Retired
	})
	if _, err := tx.Exec(context.Background(), "CREATE TABLE job (id INTEGER)"); err != nil {
		t.Errorf("running transaction was interrupted: %v", err)
	}
	if err := tx.Commit(context.Background()); err != nil {
		t.Errorf("running transaction was interrupted: %v", err)
	}
	_, err = conn.Exec(context.Background(), "INSERT INTO job VALUES (1)")
	wantCode(t, err, "CT2003")
	_, err = pgx.Connect(testContext(t), d.URL(d.Hosts()[1], d.Spec.Accounts[0], d.Spec.Groups[0]))
	wantCode(t, err, "CT2003")
}

// The connection limits of an endpoint and of an account must hold while hosts
// are replaced and demand exceeds supply.
func TestScarceConnections(t *testing.T) {
	spec := Bathafarn()
	spec.Connections = 5
	spec.Accounts[0].Connections = 9
	d := start(t, spec, Options{Groups: 1, Hosts: 3, NoDelay: true})
	stop, h := runLoad(t, d, 9, 1)
	waitFor(t, "acknowledged writes", func() bool { return h.Count("acked") >= 50 })
	d.Hosts()[0].Stop()
	if _, err := d.StartHost(d.Spec.Zones[0], nil); err != nil {
		t.Fatal(err)
	}
	n := h.Count("acked")
	waitFor(t, "writes after the replacement", func() bool { return h.Count("acked") >= n+50 })
	connections := 0
	for _, host := range d.Hosts()[1:] {
		for _, a := range host.Status().Accounts {
			if a.Account == spec.Accounts[0].Name {
				connections += a.Connections
			}
		}
	}
	if connections > spec.Accounts[0].Connections {
		t.Errorf("account holds %d connections, limit %d", connections, spec.Accounts[0].Connections)
	}
	for _, z := range d.Spec.Zones {
		if node := d.Node(MemberOf(d.Spec.Groups[0], z)); node.PeakSessions() > spec.Connections {
			t.Errorf("endpoint held %d connections, limit %d", node.PeakSessions(), spec.Connections)
		}
	}
	for _, v := range stop() {
		t.Errorf("violation: %+v", v)
	}
}
