package abuse

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// memoryMB is the memory limit in the settings and the bound of the checks. It is below
	// those of deployments, so that a small crowd shows a fault.
	memoryMB = 96
	// fewFDs is the same for descriptors. The cases about memory have manyFDs, the smallest
	// limit of a deployment, so that their crowds are admitted.
	fewFDs, manyFDs = 400, 3010
	// crowd is the number of connections that send large messages. Its messages of 1 MiB
	// together exceed memoryMB.
	crowd = 150
	// fdCrowd is the number of connections of the cases about descriptors. It exceeds fewFDs.
	fdCrowd = 600
	// serveTimeout is how long an ordinary request is tried. It only ends a test that hangs.
	serveTimeout = 30 * time.Second
	// holdTime is how long a crowd that stays connected is watched.
	holdTime = 1500 * time.Millisecond
)

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cumintrestle")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/cumintrestle", "../../cmd/cumintrestle-entry", "../../cmd/cumintrestle-standin")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a program under test.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
	// fdLimit is the limit of open descriptors in the settings.
	fdLimit int
	// mu guards maxFDs, the largest number of open descriptors seen.
	mu     sync.Mutex
	maxFDs int
	exited chan struct{}
	stop   chan struct{}
}

// startProcess starts a program and watches its descriptors until the test ends.
func startProcess(t *testing.T, cmd *exec.Cmd) *process {
	t.Helper()
	var log syncBuffer
	cmd.Stderr = &log
	if cmd.Stdout == nil {
		cmd.Stdout = &log
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, cmd: cmd, exited: make(chan struct{}), stop: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	go p.watch()
	t.Cleanup(func() {
		close(p.stop)
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("log of the process:\n%s", log.tail())
		}
	})
	return p
}

// watch records the largest number of open descriptors.
func (p *process) watch() {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-t.C:
			p.countFDs()
		}
	}
}

func (p *process) countFDs() int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "fd"))
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.maxFDs = max(p.maxFDs, len(entries))
	}
	return p.maxFDs
}

// status returns a line of /proc/PID/status that holds a size in kB.
func (p *process) status(name string) int {
	body, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "status"))
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(body)) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err == nil {
				return kb
			}
		}
	}
	return -1
}

// check fails the test if the process has ended, or has exceeded the limits of its settings.
func (p *process) check() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Errorf("the process has ended: %v", p.cmd.ProcessState)
		return
	default:
	}
	peak, fds := p.status("VmHWM"), p.countFDs()
	p.t.Logf("peak memory %d KiB of %d, now %d KiB; at most %d descriptors of %d", peak, memoryMB<<10, p.status("VmRSS"), fds, p.fdLimit)
	if peak > memoryMB<<10 {
		p.t.Errorf("peak memory %d KiB, want at most %d", peak, memoryMB<<10)
	}
	if fds > p.fdLimit {
		p.t.Errorf("%d open descriptors, want at most %d", fds, p.fdLimit)
	}
}

// syncBuffer keeps the output of a process.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(body []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.b.Len() > 1<<20 {
		b.b.Reset()
	}
	return b.b.Write(body)
}

func (b *syncBuffer) tail() string {
	const most = 3000
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.b.String()
	return s[max(0, len(s)-most):]
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, settings map[string]any) string {
	t.Helper()
	body, err := json.Marshal(settings)
	path := filepath.Join(t.TempDir(), "settings.json")
	if err == nil {
		err = os.WriteFile(path, body, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// each runs f n times, 16 at a time.
func each(n int, f func(i int)) {
	var wg sync.WaitGroup
	work := make(chan int)
	for range min(n, 16) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range work {
				f(i)
			}
		}()
	}
	for i := range n {
		work <- i
	}
	close(work)
	wg.Wait()
}

// dialTest opens a connection that is closed at the end of the test. It returns nil if that
// is refused.
func dialTest(t *testing.T, address string) net.Conn {
	nc, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil
	}
	t.Cleanup(func() { _ = nc.Close() })
	return nc
}

// push writes without waiting for a peer that does not read any more.
func push(nc net.Conn, body []byte) {
	if nc == nil {
		return
	}
	_ = nc.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = nc.Write(body)
}

// eventually tries until ok returns nil.
func eventually(t *testing.T, what string, ok func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(serveTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = ok(); err == nil {
			return
		}
	}
	t.Errorf("%s: %v", what, err)
}
