package soaker

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/inspector"
	"github.com/jackdawthread/jackdawthread/common/socket"
	"github.com/jackdawthread/jackdawthread/platform"
)

// process is an entry host process.
type process struct {
	options                   Options
	number                    int
	starts                    int
	callers, readiness, peers identifier.Address
	settings                  string
	portClaims                []*socket.PortReservation

	group *grouper.Group

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{} // closed when command has exited
}

const settingsTemplate = `host = "host-%d"
data-center = "a"
seeds = [%s]
[listeners]
callers = "%s"
readiness = "%s"
peers = "%s"
[store]
address = "%s"
[retries]
ratio = %g
slack = %d
window = "%v"
[stop]
announce = "%v"
limit = "%v"
`

const (
	// stopAnnounce, longStopLimit and shortStopLimit are settings of the hosts' planned stops.
	stopAnnounce   = 300 * time.Millisecond
	longStopLimit  = 8 * time.Second
	shortStopLimit = 2 * time.Second
	// stopTail is the part of the limit in which a host ends what still runs.
	stopTail = 700 * time.Millisecond
)

// stopLimit returns the limit of a host's planned stops: every second host has a short one.
func stopLimit(host int) time.Duration {
	if host%2 == 0 {
		return longStopLimit
	}
	return shortStopLimit
}

func newProcess(g *grouper.Group, o Options, n int, store identifier.Address, seeds []identifier.Address) (*process, error) {
	p := &process{group: g, options: o, number: n, settings: filepath.Join(o.Directory, fmt.Sprintf("host-%d.toml", n))}
	for _, address := range []*identifier.Address{&p.callers, &p.readiness, &p.peers} {
		c, err := socket.ReservePort()
		if err != nil {
			p.release()
			return nil, eris.Wrap(err, "claim a port")
		}
		p.portClaims = append(p.portClaims, c)
		*address = identifier.Address(c.String())
	}
	quoted := make([]string, len(seeds))
	for i, a := range seeds {
		quoted[i] = fmt.Sprintf("%q", a)
	}
	text := fmt.Sprintf(settingsTemplate, n, strings.Join(quoted, ", "), p.callers, p.readiness, p.peers, store, retryBudget.ratio, retryBudget.slack, budgetWindow,
		stopAnnounce, stopLimit(n))
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// release releases the process's port claims.
func (p *process) release() {
	for _, c := range p.portClaims {
		_ = c.Close() // nothing was sent on it
	}
}

func (p *process) logName() string {
	return fmt.Sprintf("host-%d.log", p.number)
}

// start starts the process unless it is already running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.options.Directory, p.logName()), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log of host")
	}
	c := exec.Command(p.nextBinary())
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		_ = log.Close()
		return eris.Wrap(err, "start host process")
	}
	_ = log.Close() // the child has its own descriptor
	exited := make(chan struct{})
	p.command, p.exited = c, exited
	p.group.Run(func(context.Context) {
		_ = c.Wait() // the exit status is not needed: the soak kills and stops hosts itself
		close(exited)
	})
	return nil
}

// nextBinary returns the program of the next start. With two programs, half of the
// hosts start as each, and each start of a host is of the other. The caller must
// hold p.mu.
func (p *process) nextBinary() string {
	p.starts++
	if p.options.OtherBinary != "" && (p.number+p.starts)%2 == 0 {
		return p.options.OtherBinary
	}
	return p.options.Binary
}

// slow lets the process run in short turns for the duration.
func (p *process) slow(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		p.signal(syscall.SIGSTOP)
		time.Sleep(slowStop)
		p.signal(syscall.SIGCONT)
		time.Sleep(slowRun)
	}
}

// memory returns the process's resident memory in bytes; 0 if it is not running.
func (p *process) memory() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0 // the process may have just exited
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// running reports whether the process is running. The caller must hold p.mu.
func (p *process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		_ = p.command.Process.Signal(s) // the process may have just exited
	}
}

// wait blocks until the process has exited. A paused process handles SIGTERM
// only after SIGCONT.
func (p *process) wait() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// kill terminates the process like a crash.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait()
}

// stop shuts the process down gracefully.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	p.wait()
}

func (p *process) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: inspector.Transport{Base: http.DefaultTransport}}
	response, err := c.Get("http://" + string(p.readiness) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
