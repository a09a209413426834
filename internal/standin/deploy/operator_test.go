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

func call(t *testing.T, h *host.Host, method, path string, body, into any) int {
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

func apply(t *testing.T, h *host.Host, c operator.Change) operator.Result {
	t.Helper()
	var r operator.Result
	call(t, h, http.MethodPost, "/v1/apply", c, &r)
	return r
}

// changed returns the first account's template with another oldest read.
func changed(t *testing.T, d *Deployment, oldest int64) operator.Change {
	t.Helper()
	tpl, version, ok := d.Hosts()[0].Template(d.Spec.Accounts[0].Name)
	if !ok {
		t.Fatal("no template")
	}
	tpl.OldestReadMS = oldest
	return operator.Change{OperationID: "op-" + t.Name(), Action: "change", Template: tpl, Base: version}
}

func inForceOn(t *testing.T, h *host.Host, a template.Account, oldest int64) {
	t.Helper()
	waitFor(t, "the change in force", func() bool {
		tpl, _, _ := h.Template(a)
		return tpl.OldestReadMS == oldest
	})
}

func TestOperatorsRace(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 2, NoDelay: true})
	first, second := changed(t, d, 1500), changed(t, d, 2500)
	second.OperationID += "-second"
	if r := apply(t, d.Hosts()[0], first); r.Code != result.Applied {
		t.Fatalf("first: %+v", r)
	}
	r := apply(t, d.Hosts()[1], second)
	if r.Code != result.NotApplied || len(r.Difference) != 1 || r.Difference[0].Before != "1500" {
		t.Errorf("second: %+v", r)
	}
	for _, h := range d.Hosts() {
		inForceOn(t, h, first.Template.Account, 1500)
	}
	t.Run("a repeat of the same operation changes nothing", func(t *testing.T) {
		if r := apply(t, d.Hosts()[1], first); r.Code != result.Unchanged {
			t.Errorf("repeat: %+v", r)
		}
	})
	t.Run("audit", func(t *testing.T) {
		var records []operator.AuditRecord
		call(t, d.Hosts()[1], http.MethodGet, "/v1/audit", nil, &records)
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
		bad := changed(t, d, 1)
		if r := apply(t, d.Hosts()[0], bad); r.Code != result.TemplateInvalid {
			t.Errorf("%+v", r)
		}
	})
	t.Run("metrics", func(t *testing.T) { metricsAnswer(t, d.Hosts()[0]) })
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

func metricsAnswer(t *testing.T, h *host.Host) {
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

// The platform's answer is lost after the write took effect: the operator is
// told applied, and the change took effect once.
func TestLostAnswer(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 1, NoDelay: true})
	c := changed(t, d, 1500)
	d.Platform.SetFaults(platform.Faults{LoseAnswers: 1})
	if r := apply(t, d.Hosts()[0], c); r.Code != result.Applied {
		t.Fatalf("%+v", r)
	}
	inForceOn(t, d.Hosts()[0], c.Template.Account, 1500)
	if _, version, _ := d.Hosts()[0].Template(c.Template.Account); version != c.Base+1 {
		t.Errorf("version %d after one change from %d", version, c.Base)
	}
}

// A host that is cut off from the platform learns a change from its peers, and
// a host that starts while the platform is down learns all of it.
func TestDeclaredThroughPeers(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 3, NoDelay: true})
	d.Rules.SetCut(string(d.Spec.Zones[2]), PlatformZone, true)
	c := changed(t, d, 1500)
	if r := apply(t, d.Hosts()[0], c); r.Code != result.Applied {
		t.Fatalf("%+v", r)
	}
	inForceOn(t, d.Hosts()[2], c.Template.Account, 1500)
	d.Platform.SetFaults(platform.Faults{Down: true})
	h, err := d.StartHost(d.Spec.Zones[1], nil)
	if err != nil {
		t.Fatal(err)
	}
	inForceOn(t, h, c.Template.Account, 1500)
	t.Run("it serves on a loan", func(t *testing.T) { servesOnLoan(t, d, h) })
	d.Platform.SetFaults(platform.Faults{Down: true})
	if r := apply(t, h, changed(t, d, 1800)); r.Code != result.PlatformDown {
		t.Errorf("a change with the platform down: %+v", r)
	}
}

// servesOnLoan checks that a host without shares of its own serves on what its
// peers lend it, and goes over to its own when the platform is back.
func servesOnLoan(t *testing.T, d *Deployment, h *host.Host) {
	t.Helper()
	conn, err := pgx.Connect(short(t), d.URL(h, d.Spec.Accounts[0], d.Spec.Groups[0]))
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
		if n := d.Node(MemberOf(d.Spec.Groups[0], z)); n.Peak() > n.Limit {
			t.Errorf("endpoint held %d connections, limit %d", n.Peak(), n.Limit)
		}
	}
}

// ownShares counts the endpoints of which the table gives a host a share.
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

func TestRetire(t *testing.T) {
	d := start(t, Bathafarn(), Options{Groups: 1, Hosts: 2, NoDelay: true})
	conn := connect(t, d, 1)
	tx, err := conn.Begin(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	c := changed(t, d, 1000)
	c.Template.State = template.Retired
	if r := apply(t, d.Hosts()[0], c); r.Code != result.Applied {
		t.Fatalf("%+v", r)
	}
	waitFor(t, "the retirement in force", func() bool {
		tpl, _, _ := d.Hosts()[1].Template(c.Template.Account)
		return tpl.State == template.Retired
	})
	if _, err := tx.Exec(context.Background(), "CREATE TABLE job (id INTEGER)"); err != nil {
		t.Errorf("a running transaction was cut: %v", err)
	}
	if err := tx.Commit(context.Background()); err != nil {
		t.Errorf("a running transaction was cut: %v", err)
	}
	_, err = conn.Exec(context.Background(), "INSERT INTO job VALUES (1)")
	wantCode(t, err, "CT2003")
	_, err = pgx.Connect(short(t), d.URL(d.Hosts()[1], d.Spec.Accounts[0], d.Spec.Groups[0]))
	wantCode(t, err, "CT2003")
}

// The connections of an endpoint and of an account are never exceeded while
// hosts come and go and all want more than there is.
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
	held := 0
	for _, host := range d.Hosts()[1:] {
		for _, a := range host.Status().Accounts {
			if a.Account == spec.Accounts[0].Name {
				held += a.Connections
			}
		}
	}
	if held > spec.Accounts[0].Connections {
		t.Errorf("account holds %d connections, limit %d", held, spec.Accounts[0].Connections)
	}
	for _, z := range d.Spec.Zones {
		if node := d.Node(MemberOf(d.Spec.Groups[0], z)); node.Peak() > spec.Connections {
			t.Errorf("endpoint held %d connections, limit %d", node.Peak(), spec.Connections)
		}
	}
	for _, v := range stop() {
		t.Errorf("violation: %+v", v)
	}
}
