package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the daemons, the same on all machines.
const (
	portFront = 8227
	portReady = 8220
	portPeers = 8229
	portNames = 8224
	portInner = 7340
	portStore = 8223
	portWork  = 8080
)

// daemon is a process of the system on a machine of its own address.
type daemon struct {
	name, zone, ip, settings string
	site                     *site

	mu sync.Mutex
	// process is nil while none runs.
	process *exec.Cmd
	// wanted is set while the process shall run. One that ends is started again.
	wanted bool
	// ends counts the ends that nobody asked for.
	ends int
	gone sync.WaitGroup
}

func (d *daemon) front() string { return fmt.Sprintf("%s:%d", d.ip, portFront) }
func (d *daemon) ready() string { return fmt.Sprintf("%s:%d", d.ip, portReady) }

// writeSettings writes what the template of the deploy file gives for a small site.
func (d *daemon) writeSettings(seeds string) error {
	text := fmt.Sprintf(`{
  "host": %q, "region": "r1", "zone": %q,
  "callerAddress": "%s:%d", "peerAddress": "%s:%d", "operatorAddress": "%s:9464",
  "peers": [%s],
  "platform": {"url": "http://%s:%d", "timeout": "700ms"},
  "cellSize": 256,
  "gateway": {
    "readyAddress": "%s:%d", "directoryAddress": "%s:%d", "beaconPort": %d,
    "addressLifetime": "2s", "revokeAfter": "5000ms", "grace": "8s",
    "retry": {"share": 0.2, "slack": 108, "window": "10s"},
    "machine": {"processorShare": 0.272, "processorSpeed": 1, "linkMbps": 700.0, "memoryMb": 206}
  }
}
`, d.name, d.zone, d.ip, portFront, d.ip, portPeers, d.ip, seeds, d.site.storeIP, portStore, d.ip, portReady, d.ip, portNames, portInner)
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the process and keeps it running until stop.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wanted = true
	return d.startLocked()
}

func (d *daemon) startLocked() error {
	out, err := os.OpenFile(filepath.Join(d.site.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(filepath.Join(d.site.root, "target", "beechhead"), "serve")
	c.Dir = d.site.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BEECHHEAD_SETTINGS=" + d.settings, "GOMAXPROCS=1", "GOGC=50"}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	d.process = c
	d.site.rec.logf("daemon %s starts", d.name)
	d.gone.Add(1)
	go d.await(c)
	return nil
}

// restartDelay is the time after which an ended process is started again.
const restartDelay = 500 * time.Millisecond

func (d *daemon) await(c *exec.Cmd) {
	defer d.gone.Done()
	err := c.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process = nil
	if !d.wanted {
		return
	}
	d.ends++
	d.site.rec.logf("daemon %s ENDS BY ITSELF: %v %s", d.name, err, d.lastPanic())
	d.mu.Unlock()
	time.Sleep(restartDelay)
	d.mu.Lock()
	if d.wanted {
		_ = d.startLocked()
	}
}

// lastPanic returns the line of the log that tells why the process ended; empty if there
// is none.
func (d *daemon) lastPanic() (last string) {
	data, err := os.ReadFile(filepath.Join(d.site.dir, d.name+".log"))
	if err != nil {
		return ""
	}
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") {
			last = line
		}
	}
	return last
}

// signal sends a signal to the process, if it runs.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		d.site.rec.logf("daemon %s gets %v", d.name, s)
		_ = d.process.Process.Signal(s)
	}
}

func (d *daemon) stop() {
	d.mu.Lock()
	d.wanted = false
	if d.process != nil {
		_ = d.process.Process.Kill()
	}
	d.mu.Unlock()
	d.gone.Wait()
}

func (d *daemon) endsByItself() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ends
}

func listen(ip string, port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
}
