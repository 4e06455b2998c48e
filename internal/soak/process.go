package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// processes starts and ends the programs of a run. Only what it has started is
// ever signalled, by its process id.
type processes struct {
	dir string
	// starts takes what is to run on the one thread that starts processes:
	// they die with it, also when the soak itself is killed.
	starts chan func()

	mu  sync.Mutex
	all []*process
}

// process is one program.
type process struct {
	name    string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
	started time.Time
	// ended is when it was gone; it is set before done is closed.
	ended time.Time
}

func newProcesses(dir string) *processes {
	p := &processes{dir: dir, starts: make(chan func())}
	go func() {
		// A child is killed when the thread ends that started it, and Go ends
		// threads at will unless a goroutine is locked to one.
		runtime.LockOSThread()
		for f := range p.starts {
			f()
		}
	}()
	return p
}

// start starts a program whose output goes to a file of that name.
func (p *processes) start(name, path string, args ...string) (pr *process, err error) {
	out, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	pr = &process{name: name, cmd: exec.Command(path, args...), done: make(chan struct{})}
	pr.cmd.Stdout, pr.cmd.Stderr = out, out
	pr.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	p.starts <- func() {
		err := pr.cmd.Start()
		pr.started = time.Now()
		started <- err
	}
	if err := <-started; err != nil {
		_ = out.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p.mu.Lock()
	p.all = append(p.all, pr)
	p.mu.Unlock()
	go func() {
		pr.err = pr.cmd.Wait()
		pr.ended = time.Now()
		_ = out.Close()
		close(pr.done)
	}()
	return pr, nil
}

// signal sends a signal unless the process is gone.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// gone reports whether the process has ended.
func (p *process) gone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// endAll kills what still runs and waits for it.
func (p *processes) endAll() {
	p.mu.Lock()
	all := p.all
	p.mu.Unlock()
	for _, one := range all {
		one.signal(syscall.SIGKILL)
	}
	for _, one := range all {
		<-one.done
	}
	close(p.starts)
}
