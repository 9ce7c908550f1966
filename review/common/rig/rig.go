//go:build review

// Package rig runs entry hosts as processes for the cases of the review: their settings,
// signals and memory, the callers, and the record of what was seen.
//
// # Usage
//
//	r, err := rig.New(group, rig.Site{...}, "review/1/record.txt")
//	defer r.Close()
//	h, err := r.AddHost(rig.HostOptions{Name: "front-a-1", Zone: "a", Store: address})
//	err = h.Start()
//	answer := r.Send(h.Callers, &rig.Request{...})
//
// The package is built with the tag review only. Nothing in it injects a fault by itself.
package rig

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/socket"
	"github.com/jackdawthread/jackdawthread/platform"
)

// Binary is the program that the deploy file builds, from the repository's root.
const Binary = "target/entry-host"

// Exit statuses of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Site holds the figures of an installation that the hosts' settings state.
type Site struct {
	MemoryMB     int
	BudgetRatio  float64
	BudgetSlack  float64
	BudgetWindow time.Duration
	Grace        time.Duration
	Lease        time.Duration
	RequireFence bool
}

// Rig holds the processes and the record of a case.
type Rig struct {
	Group *grouper.Group
	site  Site
	dir   string

	mu      sync.Mutex
	record  *os.File
	started time.Time
	hosts   []*Host
}

// New returns a Rig without hosts, which writes its record to a file.
func New(g *grouper.Group, s Site, record string) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &Rig{Group: g, site: s, dir: dir, record: f, started: time.Now()}, nil
}

// Trouble reports whether the case is to be run with its disruption.
func Trouble() bool {
	return os.Getenv("TROUBLE") != "0"
}

// Log writes a line to the record, with the time since the start.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all hosts and removes their files.
func (r *Rig) Close() {
	for _, h := range r.hosts {
		h.Kill()
		h.release()
	}
	r.Group.Stop()
	_ = r.Group.Wait() // the stand-ins return no errors
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
	_ = r.record.Close()
}

// Directory returns the directory with the settings and logs of the hosts.
func (r *Rig) Directory() string {
	return r.dir
}

// HostOptions describe a host. Seeds may be those of other hosts or of proxies.
type HostOptions struct {
	Name, Zone string
	Store      identifier.Address
	Seeds      []identifier.Address
}

// Host is an entry host and its process.
type Host struct {
	HostOptions
	Callers, Readiness, Peers, Metrics identifier.Address

	rig    *Rig
	claims []*socket.PortReservation

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	starts  int
}

// AddHost reserves the ports of a host. It doesn't start it.
func (r *Rig) AddHost(o HostOptions) (*Host, error) {
	h := &Host{HostOptions: o, rig: r}
	for _, a := range []*identifier.Address{&h.Callers, &h.Readiness, &h.Peers, &h.Metrics} {
		c, err := socket.ReservePort()
		if err != nil {
			return nil, err
		}
		h.claims = append(h.claims, c)
		*a = identifier.Address(c.String())
	}
	r.hosts = append(r.hosts, h)
	return h, nil
}

func (h *Host) release() {
	for _, c := range h.claims {
		_ = c.Close() // nothing was sent on it
	}
}

// settings returns the settings as deploy/host.toml.template renders them.
func (h *Host) settings() string {
	s := h.rig.site
	quoted := make([]string, len(h.Seeds))
	for i, a := range h.Seeds {
		quoted[i] = strconv.Quote(string(a))
	}
	return fmt.Sprintf(`host = %q
data-center = %q
seeds = [%s]

[listeners]
callers = %q
readiness = %q
peers = %q
metrics = %q

[store]
address = %q

[retries]
ratio = %g
slack = %g
window = "%gs"

[stop]
limit = "%gs"

[orders]
fenced = %t
lease = "%dms"

[limits]
memory-bytes = %d_000_000
`, h.Name, h.Zone, strings.Join(quoted, ","), h.Callers, h.Readiness, h.Peers, h.Metrics, h.Store,
		s.BudgetRatio, s.BudgetSlack, s.BudgetWindow.Seconds(), s.Grace.Seconds(), s.RequireFence,
		s.Lease.Milliseconds(), s.MemoryMB)
}

// Start writes the settings and starts the process.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	path := filepath.Join(h.rig.dir, h.Name+".toml")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.rig.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	c := exec.Command(Binary)
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.command, h.exited = c, exited
	h.starts++
	h.rig.Group.Run(func(context.Context) {
		_ = c.Wait() // the exit status doesn't matter
		close(exited)
	})
	h.rig.Log("host %s starts", h.Name)
	return nil
}

// Running reports whether the process runs.
func (h *Host) Running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running()
}

func (h *Host) running() bool {
	if h.command == nil {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process if it runs.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running() {
		_ = h.command.Process.Signal(s) // it may just have exited
	}
}

// Kill ends the process at once and waits for its end.
func (h *Host) Kill() {
	h.Signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Memory returns the anonymous resident memory of the process in bytes; 0 if it doesn't run.
// Pages of the program's file aren't included.
func (h *Host) Memory() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.running() {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// Ready reports whether the host answers the platform's question with 200.
func (h *Host) Ready() bool {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + string(h.Readiness) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errNotReady = errors.New("host didn't become ready")

// AwaitReady waits until the host is ready.
func (h *Host) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.Ready() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, h.Name)
}
