package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/socket"
	"github.com/jackdawthread/jackdawthread/platform"
	"github.com/jackdawthread/jackdawthread/platform/standin"
)

const (
	// machineMemory and machineDescriptors are the machine's limits in bytes and descriptors,
	// which the host's settings state.
	machineMemory      = 64_000_000
	machineDescriptors = 400
	// headCrowd and bodyCrowd are how many connections hostile callers open.
	headCrowd = 500
	bodyCrowd = 40
	// headBytes and bodyBytes are the declared limits of a request's head and body.
	headBytes = 16_384
	bodyBytes = 4 << 20
	// endlessBytes is what a caller sends whose head doesn't end.
	endlessBytes = 1 << 20
	// workTime is how long the endpoint runs a request.
	workTime = 2 * time.Second
	// sendTimeout ends the sending to a host that doesn't read.
	sendTimeout = 4 * time.Second
	// answerTimeout bounds the wait for an ordinary answer, and for the host's start.
	answerTimeout = 30 * time.Second
	samplePeriod  = 10 * time.Millisecond
	retryPause    = 50 * time.Millisecond
)

// requestLine begins the hostile requests.
const requestLine = "POST /quotes/1 HTTP/1.1\r\nHost: " + standin.ConfigHost + "\r\nX-Request-Id: crowd\r\n"

// A form of hostile callers: how many connections they open, and what each sends.
var forms = []struct {
	name  string
	crowd int
	send  func(w io.Writer) error
}{
	{"heads_of_short_lines", headCrowd, sendText(fillHead(func(int) string { return "a:\r\n" }))},
	{"heads_of_odd_lines", headCrowd, sendText(fillHead(func(n int) string { return fmt.Sprintf("%x!:\r\n", n) }))},
	{"heads_without_end", headCrowd, sendText(requestLine + strings.Repeat("b: c\r\n", endlessBytes/6))},
	{"lines_without_end", headCrowd, sendText(requestLine + "b: " + strings.Repeat("c", endlessBytes))},
	{"silent_connections", headCrowd, sendText("")},
	{"empty_lines", headCrowd, sendText(strings.Repeat("\r\n", endlessBytes/2))},
	{"bodies_a_byte_short", bodyCrowd, sendBody(bodyBytes - 1)},
	{"chunked_bodies_a_byte_short", bodyCrowd, sendChunks},
	{"whole_bodies", bodyCrowd, sendBody(bodyBytes)},
}

// sendText returns a function that sends the text.
func sendText(text string) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	}
}

// fillHead returns a request whose head has as many lines as its limit allows.
func fillHead(line func(n int) string) string {
	b := []byte(requestLine)
	for n := 0; ; n++ {
		next := line(n)
		if len(b)+len(next)+len("\r\n") > headBytes {
			return string(append(b, "\r\n"...))
		}
		b = append(b, next...)
	}
}

// sendBody returns a function that sends n bytes of a body.
func sendBody(n int) func(io.Writer) error {
	return sendText(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", requestLine, bodyBytes, strings.Repeat("d", n)))
}

// sendChunks sends a chunked body that lacks its last byte.
func sendChunks(w io.Writer) error {
	const chunk = 64 << 10
	if _, err := io.WriteString(w, requestLine+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	data := strings.Repeat("e", chunk)
	for range bodyBytes/chunk - 1 {
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", chunk, data); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%x\r\n%s", chunk, data[1:])
	return err
}

// TestHostileCallers starts a host as a process of its own, whose settings state a small
// machine, and lets a crowd of callers send requests that take much memory.
func TestHostileCallers(t *testing.T) {
	if testing.Short() {
		t.Skip("each form takes some seconds")
	}
	binary := buildHost(t)
	for _, form := range forms {
		t.Run(form.name, func(t *testing.T) {
			h := startHost(t, binary)
			h.assertServes()
			crowd := h.attack(form.crowd, form.send)
			h.assertServes()
			crowd.leave()
			h.assertWithinMachine()
		})
	}
}

func buildHost(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "entry-host")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build failed: %v\n%s", err, out)
	}
	return binary
}

// machine is what the host's settings state of its machine.
type machine struct {
	// memory is in bytes.
	memory, descriptors int
	// stop is the text of the settings of planned stops; empty means the defaults.
	stop string
}

// host is a host's process, with a platform of its own.
type host struct {
	t         *testing.T
	is        *is.I
	machine   machine
	callers   string
	readiness string
	process   *os.Process
	log       string
	exited    chan struct{}

	mu                          sync.Mutex
	peakMemory, peakDescriptors int
}

// startHost starts a platform and a host on a small machine, and waits until it is ready.
func startHost(t *testing.T, binary string) *host {
	t.Helper()
	return startHostOn(t, binary, machine{memory: machineMemory, descriptors: machineDescriptors}, startPlatform)
}

// startHostOn is startHost for any machine and platform.
func startHostOn(t *testing.T, binary string, m machine, platform func(*testing.T, *grouper.Group) identifier.Address) *host {
	t.Helper()
	h := &host{t: t, is: is.New(t), machine: m, exited: make(chan struct{}), log: filepath.Join(t.TempDir(), "log")}
	group := grouper.New(context.Background())
	t.Cleanup(func() {
		group.Stop()
		_ = group.Wait() // its functions return no error
	})
	h.run(group, binary, h.writeSettings(platform(t, group)))
	group.Run(h.sample)
	h.await("readiness", func() bool { return h.get("http://"+h.readiness+"/") == nil })
	return h
}

// startPlatform starts a store and an endpoint, and returns the store's address.
func startPlatform(t *testing.T, g *grouper.Group) identifier.Address {
	t.Helper()
	is := is.New(t)
	store := standin.NewStore()
	address, err := store.Listen(g)
	is.NoErr(err)
	store.PutConfig(standin.ConfigWith(standin.ConfigOptions{Version: 1, Memory: 1000, MaxBodyBytes: bodyBytes}))
	_, err = standin.StartRunner(g, store, standin.RunnerOptions{ID: "p-0", Service: "desk", Zone: "a", Slots: 1000, Work: workTime})
	is.NoErr(err)
	return address
}

// writeSettings writes the host's settings to a file and returns its path.
func (h *host) writeSettings(store identifier.Address) string {
	var ports [3]string
	for n := range ports {
		p, err := socket.ReservePort()
		h.is.NoErr(err)
		h.t.Cleanup(func() { _ = p.Close() })
		ports[n] = p.String()
	}
	h.callers, h.readiness = ports[0], ports[1]
	path := filepath.Join(h.t.TempDir(), "host.toml")
	h.is.NoErr(os.WriteFile(path, fmt.Appendf(nil, `
host = "host-1"
data-center = "a"
listeners = { callers = %q, readiness = %q, peers = %q }
store = { address = %q }
limits = { memory-bytes = %d, max-descriptors = %d }
%s
`, ports[0], ports[1], ports[2], store, h.machine.memory, h.machine.descriptors, h.machine.stop), 0o600))
	return path
}

// run starts the process, which is killed at the end of the test.
func (h *host) run(g *grouper.Group, binary, settings string) {
	out, err := os.Create(h.log)
	h.is.NoErr(err)
	command := exec.Command(binary)
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	command.Stdout, command.Stderr = out, out
	h.is.NoErr(command.Start())
	h.process = command.Process
	g.Run(func(context.Context) {
		_ = command.Wait() // it is killed, or assertWithinMachine reports its end
		close(h.exited)
	})
	h.t.Cleanup(func() {
		_ = h.process.Kill() // it may have ended
		<-h.exited
		_ = out.Close()
	})
}

// sample records the largest use of memory and descriptors until the process ends.
func (h *host) sample(ctx context.Context) {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.exited:
			return
		case <-ticker.C:
		}
		memory, descriptors := h.usage()
		h.mu.Lock()
		h.peakMemory = max(h.peakMemory, memory)
		h.peakDescriptors = max(h.peakDescriptors, descriptors)
		h.mu.Unlock()
	}
}

// usage returns the process's anonymous memory in bytes and its open descriptors.
func (h *host) usage() (memory, descriptors int) {
	directory := fmt.Sprintf("/proc/%d", h.process.Pid)
	open, _ := os.ReadDir(directory + "/fd")        // the process may have ended
	status, _ := os.ReadFile(directory + "/status") // as above
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			h.is.NoErr(err)
			memory = kilobytes << 10
		}
	}
	return memory, len(open)
}

// crowd is the open connections of hostile callers.
type crowd struct {
	group       *grouper.Group
	connections []net.Conn
}

// attack opens connections, sends on all of them at once, and returns when nothing more can
// be sent. The connections stay open.
func (h *host) attack(size int, send func(io.Writer) error) *crowd {
	c := &crowd{group: grouper.New(context.Background())}
	for range size {
		raw, err := net.DialTimeout("tcp", h.callers, sendTimeout)
		if err != nil {
			continue // the host may refuse it
		}
		c.connections = append(c.connections, raw)
		c.group.Run(func(context.Context) {
			_ = raw.SetDeadline(time.Now().Add(sendTimeout)) // what follows reports errors
			_ = send(raw)                                    // the host may refuse it
			_, _ = io.Copy(io.Discard, raw)                  // as above
		})
	}
	c.group.Stop()
	_ = c.group.Wait() // its functions return no error
	return c
}

// leave closes the crowd's connections.
func (c *crowd) leave() {
	for _, raw := range c.connections {
		_ = raw.Close() // the host may have closed it
	}
}

// assertServes checks that an ordinary request is answered. It may be refused at first.
func (h *host) assertServes() {
	h.t.Helper()
	h.await("an answer to an ordinary request", func() bool {
		return h.get("http://"+h.callers+"/quotes/2") == nil
	})
}

// get sends a request on a new connection, and returns an error unless it is answered.
func (h *host) get(url string) error {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	h.is.NoErr(err)
	r.Host, r.Close = standin.ConfigHost, true
	r.Header.Set("X-Request-Id", "ordinary")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerTimeout}
	answer, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, bufio.NewReader(answer.Body))
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return err
}

// await waits until done returns true.
func (h *host) await(what string, done func() bool) {
	h.t.Helper()
	began := time.Now()
	defer func() { h.t.Logf("%s after %v", what, time.Since(began)) }()
	for end := began.Add(answerTimeout); !done(); time.Sleep(retryPause) {
		select {
		case <-h.exited:
			h.t.Fatalf("the process ended before %s\n%s", what, h.logEnd())
		default:
		}
		if time.Now().After(end) {
			h.t.Fatalf("no %s\n%s", what, h.logEnd())
		}
	}
}

// logEnd returns the end of the process's log.
func (h *host) logEnd() string {
	const size = 4000
	text, _ := os.ReadFile(h.log) // an empty log is shown instead
	return string(text[max(0, len(text)-size):])
}

// assertWithinMachine checks that the process lives and has stayed within the machine's limits.
func (h *host) assertWithinMachine() {
	h.t.Helper()
	select {
	case <-h.exited:
		h.t.Errorf("the process ended\n%s", h.logEnd())
	default:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.t.Logf("peaks: %d bytes, %d descriptors", h.peakMemory, h.peakDescriptors)
	if h.peakMemory > h.machine.memory {
		h.t.Errorf("anonymous memory of %d bytes, the machine has %d", h.peakMemory, h.machine.memory)
	}
	if h.peakDescriptors > h.machine.descriptors {
		h.t.Errorf("%d open descriptors, the machine allows %d", h.peakDescriptors, h.machine.descriptors)
	}
}
