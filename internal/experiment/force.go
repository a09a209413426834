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

// PropagationRun is the time that template changes take to reach all entry hosts.
type PropagationRun struct {
	Changes      int     `json:"changes"`
	Hosts        int     `json:"hosts"`
	MedianMS     float64 `json:"median_ms"`
	P99MS        float64 `json:"p99_ms"`
	MaxMS        float64 `json:"max_ms"`
	StoreDelayMS int64   `json:"store_delay_ms"`
}

// Propagation applies changes one after the other and measures the time until
// every live host has loaded each. The platform's store answers with the given
// delay, and halfway through one host is stopped and a new one started.
func Propagation(spec deploy.Spec, changes int, storeDelay time.Duration) (PropagationRun, error) {
	run := PropagationRun{Changes: changes, StoreDelayMS: storeDelay.Milliseconds()}
	d, err := deploy.Start(spec, deploy.Options{})
	if err != nil {
		return run, fmt.Errorf("start: %w", err)
	}
	defer d.Stop()
	run.Hosts = len(d.Hosts())
	d.Platform.SetFaults(platform.Faults{DelayMS: storeDelay.Milliseconds()})
	latencies := hdrhistogram.New(1, histogramMax, 3)
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
		t, err := timeChange(d, live, i)
		if err != nil {
			return run, err
		}
		_ = latencies.RecordValue(t.Microseconds())
	}
	run.MedianMS = float64(latencies.ValueAtQuantile(50)) / 1000
	run.P99MS = float64(latencies.ValueAtQuantile(99)) / 1000
	run.MaxMS = float64(latencies.Max()) / 1000
	return run, nil
}

// timeChange changes a template through one host and returns the time until all
// live hosts have loaded the change.
func timeChange(d *deploy.Deployment, live []*host.Host, i int) (time.Duration, error) {
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
	err = waitUntil(func() bool { return appliedOnAll(live, account, t.OldestReadMS) })
	return time.Since(start), err
}

func appliedOnAll(live []*host.Host, account template.Account, oldestReadMS int64) bool {
	for _, h := range live {
		if current, _, _ := h.Template(account); current.OldestReadMS != oldestReadMS {
			return false
		}
	}
	return true
}

// ControlOverheadRun is the cost of the entry hosts' control traffic in a
// deployment without client load.
type ControlOverheadRun struct {
	Hosts  int `json:"hosts"`
	Groups int `json:"groups"`
	// CPUPercent is the CPU time of the whole process, including the stand-ins,
	// divided by the number of hosts, in percent of one core.
	CPUPercent float64 `json:"cpu_percent_per_host"`
	// PeerKBPerSecond is the average traffic that a host sends to its peers.
	PeerKBPerSecond float64 `json:"peer_kb_per_second_per_host"`
}

// ControlOverhead measures a deployment without client load.
func ControlOverhead(spec deploy.Spec, hosts, groups int, duration time.Duration) (ControlOverheadRun, error) {
	run := ControlOverheadRun{Hosts: hosts, Groups: groups}
	d, err := deploy.Start(spec, deploy.Options{Hosts: hosts, Groups: groups})
	if err != nil {
		return run, fmt.Errorf("start: %w", err)
	}
	defer d.Stop()
	time.Sleep(time.Second)
	cpu, sent := cpuTime(), sentBytes(d)
	time.Sleep(duration)
	cpu, sent = cpuTime()-cpu, sentBytes(d)-sent
	run.CPUPercent = 100 * cpu.Seconds() / duration.Seconds() / float64(hosts)
	run.PeerKBPerSecond = float64(sent) / 1024 / duration.Seconds() / float64(hosts)
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
