//go:build crowd

package crowd

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The resources of a daemon's host.
const (
	memoryMB    = 136
	descriptors = 1024
	// maxDescriptors leaves the daemon a quarter for its own connections.
	maxDescriptors = descriptors * 3 / 4
)

var build = sync.OnceValues(func() (path string, err error) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, "beechhead")
	out, err := exec.Command("go", "build", "-o", path, "github.com/beechhead/beechhead/cmd/beechhead").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

// process is a daemon that runs as a process with the resources of its host.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	log  string

	mu sync.Mutex
	// mostOpen is the highest number of open descriptors seen.
	mostOpen int
}

// startProcess starts a daemon with the given settings.
func startProcess(t *testing.T, settings any, env ...string) *process {
	t.Helper()
	path, err := build()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{done: make(chan struct{}), log: filepath.Join(dir, "log")}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command("sh", "-c", `ulimit -n "$1" && exec "$2" serve --settings "$3"`, "sh", strconv.Itoa(descriptors), path, file)
	p.cmd.Env = append(append(os.Environ(), "GOMAXPROCS=1", "GOGC=50"), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	go p.watch()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
	})
	return p
}

// watch records how many descriptors are open until the process ends.
func (p *process) watch() {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		if err != nil {
			continue
		}
		p.mu.Lock()
		p.mostOpen = max(p.mostOpen, len(open))
		p.mu.Unlock()
	}
}

// peakMB returns the highest resident memory so far in MiB.
func (p *process) peakMB(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("read status: %v", err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				t.Fatalf("read status: %v", err)
			}
			return kb >> 10
		}
	}
	t.Fatal("the status has no peak of the resident memory")
	return 0
}

// checkBounds checks that the process lives and keeps to the resources of its host.
func (p *process) checkBounds(t *testing.T) {
	t.Helper()
	select {
	case <-p.done:
		log, _ := os.ReadFile(p.log)
		t.Fatalf("the daemon has ended: %v\n%s", p.err, log[max(0, len(log)-4000):])
	default:
	}
	p.mu.Lock()
	open := p.mostOpen
	p.mu.Unlock()
	peak := p.peakMB(t)
	t.Logf("peak of %d MiB of %d, %d of %d descriptors", peak, memoryMB, open, descriptors)
	if peak > memoryMB {
		t.Errorf("resident memory of %d MiB, the host has %d", peak, memoryMB)
	}
	if open > maxDescriptors {
		t.Errorf("%d descriptors were open, at most %d of %d are allowed", open, maxDescriptors, descriptors)
	}
}
