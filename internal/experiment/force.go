package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/cumintrestle/cumintrestle/internal/host"
	"github.com/cumintrestle/cumintrestle/internal/operator"
	"github.com/cumintrestle/cumintrestle/internal/standin/deploy"
	"github.com/cumintrestle/cumintrestle/internal/standin/platform"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// ForceRun is a measurement of how soon changes are in force everywhere.
type ForceRun struct {
	Changes  int     `json:"changes"`
	Hosts    int     `json:"hosts"`
	MedianMS float64 `json:"median_ms"`
	P99MS    float64 `json:"p99_ms"`
	MaxMS    float64 `json:"max_ms"`
	StoreMS  int64   `json:"store_delay_ms"`
}

// Force applies changes one after the other and waits until every live host
// has each in force, with the store slowed and one host restarted half-way.
func Force(spec deploy.Spec, changes int, storeDelay time.Duration) (ForceRun, error) {
	run := ForceRun{Changes: changes, StoreMS: storeDelay.Milliseconds()}
	d, err := deploy.Start(spec, deploy.Options{})
	if err != nil {
		return run, fmt.Errorf("start: %w", err)
	}
	defer d.Stop()
	run.Hosts = len(d.Hosts())
	d.Platform.SetFaults(platform.Faults{DelayMS: storeDelay.Milliseconds()})
	took := hdrhistogram.New(1, histogramMax, 3)
	live := d.Hosts()
	for i := range changes {
		if i == changes/2 {
			live[len(live)-1].Stop()
			h, err := d.StartHost(d.Spec.Zones[0], nil)
			if err != nil {
				return run, fmt.Errorf("restart: %w", err)
			}
			live[len(live)-1] = h
		}
		t, err := applyOne(d, live, i)
		if err != nil {
			return run, err
		}
		_ = took.RecordValue(t.Microseconds())
	}
	run.MedianMS = float64(took.ValueAtQuantile(50)) / 1000
	run.P99MS = float64(took.ValueAtQuantile(99)) / 1000
	run.MaxMS = float64(took.Max()) / 1000
	return run, nil
}

// applyOne changes one template through one host and waits for all.
func applyOne(d *deploy.Deployment, live []*host.Host, i int) (time.Duration, error) {
	account := d.Spec.Accounts[0].Name
	via := live[i%(len(live)-1)]
	t, version, ok := via.Template(account)
	if !ok {
		return 0, fmt.Errorf("no template %s", account)
	}
	t.OldestReadMS = 1001 + int64(i)
	body, err := json.Marshal(operator.Change{OperationID: uuid.NewString(), Action: "change", Template: t, Base: version})
	if err != nil {
		return 0, fmt.Errorf("change: %w", err)
	}
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+via.Addresses().Operator+"/v1/apply", bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("apply: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+deploy.OperatorCredential)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("apply: %w", err)
	}
	defer resp.Body.Close()
	var r operator.Result
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil || r.Code != result.Applied {
		return 0, fmt.Errorf("apply: %+v: %w", r, err)
	}
	err = waitUntil(func() bool { return inForce(live, account, t.OldestReadMS) })
	return time.Since(start), err
}

func inForce(live []*host.Host, account template.Account, oldest int64) bool {
	for _, h := range live {
		if have, _, _ := h.Template(account); have.OldestReadMS != oldest {
			return false
		}
	}
	return true
}

// ControlRun is what control costs when no caller does anything.
type ControlRun struct {
	Hosts  int `json:"hosts"`
	Groups int `json:"groups"`
	// CPUPercent is of one core, the stand-ins included, for each host.
	CPUPercent float64 `json:"cpu_percent_per_host"`
	// PeerKBPerSecond is what each host sends to its peers.
	PeerKBPerSecond float64 `json:"peer_kb_per_second_per_host"`
}

// Control measures an idle deployment.
func Control(spec deploy.Spec, hosts, groups int, length time.Duration) (ControlRun, error) {
	run := ControlRun{Hosts: hosts, Groups: groups}
	d, err := deploy.Start(spec, deploy.Options{Hosts: hosts, Groups: groups})
	if err != nil {
		return run, fmt.Errorf("start: %w", err)
	}
	defer d.Stop()
	time.Sleep(time.Second)
	cpu, sent := cpuTime(), sentBytes(d)
	time.Sleep(length)
	cpu, sent = cpuTime()-cpu, sentBytes(d)-sent
	run.CPUPercent = 100 * cpu.Seconds() / length.Seconds() / float64(hosts)
	run.PeerKBPerSecond = float64(sent) / 1024 / length.Seconds() / float64(hosts)
	return run, nil
}

func sentBytes(d *deploy.Deployment) int64 {
	var n int64
	for _, h := range d.Hosts() {
		n += h.PeerBytes()
	}
	return n
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
