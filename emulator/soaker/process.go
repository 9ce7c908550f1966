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
	"github.com/jackdawthread/jackdawthread/common/socket"
)

// process is one entry host.
type process struct {
	options                   Options
	number                    int
	callers, readiness, peers identifier.Address
	settings                  string
	claims                    []*socket.PortClaim

	group *grouper.Group

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed when command has ended
}

const settingsText = `host = "host-%d"
data-center = "a"
seeds = [%s]
[listeners]
callers = "%s"
readiness = "%s"
peers = "%s"
[store]
address = "%s"
[retries]
ratio = 0.2
slack = 100
window = "10s"
[stop]
announce = "300ms"
limit = "8s"
`

func newProcess(g *grouper.Group, o Options, n int, store identifier.Address, seeds []identifier.Address) (*process, error) {
	p := &process{group: g, options: o, number: n, settings: filepath.Join(o.Directory, fmt.Sprintf("host-%d.toml", n))}
	for _, into := range []*identifier.Address{&p.callers, &p.readiness, &p.peers} {
		c, err := socket.ClaimPort()
		if err != nil {
			p.release()
			return nil, eris.Wrap(err, "claim a port")
		}
		p.claims = append(p.claims, c)
		*into = identifier.Address(c.String())
	}
	quoted := make([]string, len(seeds))
	for i, a := range seeds {
		quoted[i] = fmt.Sprintf("%q", a)
	}
	text := fmt.Sprintf(settingsText, n, strings.Join(quoted, ", "), p.callers, p.readiness, p.peers, store)
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// release gives the process's ports up.
func (p *process) release() {
	for _, c := range p.claims {
		_ = c.Close() // nothing was sent on it
	}
}

func (p *process) logName() string {
	return fmt.Sprintf("host-%d.log", p.number)
}

// start starts the process, unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.options.Directory, p.logName()), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "log of a host")
	}
	c := exec.Command(p.options.Binary)
	c.Env = append(os.Environ(), "JACKDAWTHREAD_SETTINGS="+p.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		_ = log.Close()
		return eris.Wrap(err, "start a host")
	}
	_ = log.Close() // the process has its own
	ended := make(chan struct{})
	p.command, p.ended = c, ended
	p.group.Run(func(context.Context) {
		_ = c.Wait() // killed on purpose, or stopped
		close(ended)
	})
	return nil
}

// runs tells whether the process runs; p.mu is held.
func (p *process) runs() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		_ = p.command.Process.Signal(s) // it may have ended just now
	}
}

// wait waits for the end of the process. One that is paused ends when it goes
// on.
func (p *process) wait() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// kill ends the process like a crash.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait()
}

// stop ends the process as planned.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	p.wait()
}

func (p *process) ready() bool {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + string(p.readiness) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
