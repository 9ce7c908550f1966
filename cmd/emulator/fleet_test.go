package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/commander"
	"github.com/jackdawthread/jackdawthread/common/socket"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/loader"
)

// longStreams is the number of streams in progress when a host is stopped.
const longStreams = 10

// programVariable is the environment variable that selects the program which
// the test binary runs as when a test starts it as a child process.
const programVariable = "EMULATOR_TEST_PROGRAM"

func TestMain(m *testing.M) {
	switch os.Getenv(programVariable) {
	case "emulator":
		main()
	case "jackdawthread":
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		code := commander.Main(ctx, os.Args, commander.Streams{Out: os.Stdout, Err: os.Stderr})
		stop()
		os.Exit(code)
	default:
		os.Exit(m.Run())
	}
}

const declarationsFormat = `
firm = "tamsui"
[[data-center]]
name = "tw-1"
region = "tw-north"
[[service]]
name = "desk"
kind = "model"
model = "quotes"
version = "1"
urgency = "urgent"
repeatable = true
first-token = "1.6s"
between-tokens = "47ms"
objective = 0.95
timeout = "20s"
queue-limit = 200
floor-share = 0.05
age-limit = "30s"
max-prompt-tokens = 4000
max-output-tokens = 400
retry = { ratio = 0.5, capacity = 50, max-attempts = 4 }
[[service]]
name = "lock"
kind = "plain"
urgency = "urgent"
repeatable = false
objective = 0.999
timeout = "5s"
queue-limit = 100
[[endpoint]]
name = "p1"
service = "desk"
data-center = "tw-1"
address = "%s"
role = "prefill"
[[endpoint]]
name = "d1"
service = "desk"
data-center = "tw-1"
address = "%s"
role = "decode"
[[endpoint]]
name = "b1"
service = "desk"
data-center = "tw-1"
address = "%s"
role = "both"
[[endpoint]]
name = "lock-1"
service = "lock"
data-center = "tw-1"
address = "%s"
slots = 50
[[link]]
from = "tw-1"
to = "tw-1"
rate = 20000
[default-customer]
requests-per-second = 1000
burst = 1000
`

// fleet is a complete system of separate processes.
type fleet struct {
	t         *testing.T
	is        *is.I
	processes map[string]*exec.Cmd
	engines   map[string]string // addresses by name
	lock      string            // address of the plain service
	urls      []string          // of the entry hosts
	hostArgs  map[string][]string
	logs      map[string]*bytes.Buffer // of each program's last start
}

// freeAddresses returns loopback addresses with unused ports, reserved until the
// end of the test.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	var found []string
	for range count {
		c, err := socket.ReservePort()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		found = append(found, c.String())
	}
	return found
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	return startFleetOf(t, thisBuild, thisBuild)
}

// thisBuild names the test binary as a host's program.
const thisBuild = ""

// startFleetOf starts a fleet whose hosts a and b run the given programs.
func startFleetOf(t *testing.T, programs ...string) *fleet {
	t.Helper()
	f := &fleet{
		t: t, is: is.New(t), processes: make(map[string]*exec.Cmd), engines: make(map[string]string),
		hostArgs: make(map[string][]string), logs: make(map[string]*bytes.Buffer),
	}
	a := freeAddresses(t, 11)
	declarations := filepath.Join(t.TempDir(), "fleet.toml")
	f.is.NoErr(os.WriteFile(declarations, fmt.Appendf(nil, declarationsFormat, a[0], a[1], a[2], a[3]), 0o600))
	f.lock = a[3]
	for i, name := range []string{"p1", "d1", "b1"} {
		f.engines[name] = a[i]
		role := []string{"prefill", "decode", "both"}[i]
		f.start(name, "emulator", "engine", "--name", name, "--listen", a[i], "--role", role, "--model", "quotes",
			"--version", "1", "--data-center", "tw-1", "--tokens-per-piece", "64", "--checks-fence", "--scale", "2",
			"--import-keep", "2h", "--stream-grace", "2h") // beyond the test's duration: engines must not free memory by timeout
	}
	f.start("lock-1", "emulator", "plain", "--name", "lock-1", "--listen", a[3])
	f.start("platform", "emulator", "platform", "--listen", a[4], "--declarations", declarations,
		"--host", "a@tw-1="+a[6], "--host", "b@tw-1="+a[9])
	for i, name := range []string{"a", "b"} {
		at := a[5+3*i:]
		f.hostArgs[name] = []string{
			"serve", "--set", "host=" + name, "--set", "firm=tamsui", "--set", "data-center=tw-1", "--set", "log-level=debug",
			"--set", "listeners.callers=" + at[0], "--set", "listeners.peers=" + at[1], "--set", "listeners.operators=" + at[2],
			"--set", "platform.address=" + a[4],
		}
		f.startHost(name, programs[i])
		f.urls = append(f.urls, "http://"+at[0])
	}
	f.waitReady()
	return f
}

// startHost starts an entry host of the given program, or of the test binary.
func (f *fleet) startHost(name, program string) {
	f.t.Helper()
	if program != thisBuild {
		f.run(name, exec.Command(program, f.hostArgs[name]...))
		return
	}
	f.start(name, "jackdawthread", f.hostArgs[name]...)
}

// start runs the test binary as the given program. For the emulator it waits
// until the process listens.
func (f *fleet) start(name, program string, args ...string) {
	f.t.Helper()
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), programVariable+"="+program)
	if program != "emulator" {
		f.run(name, c)
		return
	}
	out, err := c.StdoutPipe()
	f.is.NoErr(err)
	f.run(name, c)
	lines := bufio.NewScanner(out)
	for lines.Scan() && !strings.HasPrefix(lines.Text(), "listening") {
	}
	f.is.NoErr(lines.Err())
}

// run starts a process, which ends with the test.
func (f *fleet) run(name string, c *exec.Cmd) {
	f.t.Helper()
	log := new(bytes.Buffer)
	c.Stderr = log
	f.is.NoErr(c.Start())
	f.processes[name] = c
	f.logs[name] = log
	f.t.Cleanup(func() {
		_ = c.Process.Kill() // may have exited already
		_ = c.Wait()
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", name, log)
		}
	})
}

func (f *fleet) signal(name string, s os.Signal) {
	f.t.Helper()
	f.is.NoErr(f.processes[name].Process.Signal(s))
}

// waitReady waits until each entry host serves a quote request.
func (f *fleet) waitReady() {
	f.t.Helper()
	for _, url := range f.urls {
		c := loader.NewConnectCaller(emulator.NewHTTPClient(), url)
		k := trafficMix()[0]
		deadline := time.Now().Add(20 * time.Second)
		for {
			ctx, cancel := context.WithTimeout(f.t.Context(), 2*time.Second)
			_, failure := c.Do(ctx, loader.Call{Kind: &k, Prompt: "ready", MaxTokens: 1}, func(uint32) {})
			cancel()
			if failure == nil {
				break
			}
			if time.Now().After(deadline) {
				f.t.Fatalf("%s is not ready: %+v", url, *failure)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
