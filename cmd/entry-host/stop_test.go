package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// shortStop are settings of planned stops that end 0.8 s after their beginning.
	shortStop = `stop = { announce = "200ms", limit = "1500ms" }`
	// stopSeeds is the number of stops, and stopRequests that of the requests of each kind.
	stopSeeds    = 3
	stopRequests = 10
	// stopSpread is the time before and after the signal in which the requests are sent.
	stopSpread = 150 * time.Millisecond
)

// stopTexts are requests that the end of a planned stop meets, with the status that is true then.
var stopTexts = []struct {
	text   string
	status int
}{
	{"POST /locks/1 HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: %s\r\nContent-Length: 1\r\n\r\nx", http.StatusBadGateway},
	{"POST /locks/1 HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\nx", http.StatusServiceUnavailable},
	{"POST /locks/1 HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: %s\r\n", http.StatusServiceUnavailable},
	{"POST /notes/1 HTTP/1.1\r\nHost: test.example\r\nX-Request-Id: %s\r\n\r\n", http.StatusServiceUnavailable}, // there is no engine
}

// TestPlannedStop guards against the failure LOST that a process which ends by SIGTERM cuts
// requests off without an answer: those that run longer than it, that are still arriving, or that
// have no engine.
func TestPlannedStop(t *testing.T) {
	binary := buildHost(t)
	for seed := range uint64(stopSeeds) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			m := machine{memory: machineMemory, descriptors: machineDescriptors, stop: shortStop}
			h := startHostOn(t, binary, m, startPlatform)
			h.assertServes()
			random := rand.New(rand.NewPCG(seed, seed))
			answers := make(chan error, stopRequests*len(stopTexts))
			for n := range stopRequests {
				for k, s := range stopTexts {
					raw, err := net.Dial("tcp", h.callers)
					is.New(t).NoErr(err)
					t.Cleanup(func() { _ = raw.Close() })
					text, after := fmt.Sprintf(s.text, fmt.Sprintf("stop-%d-%d", n, k)), time.Duration(random.Int64N(int64(2*stopSpread)))
					time.AfterFunc(after, func() { answers <- checkAnswer(raw, text, s.status) })
				}
			}
			time.Sleep(stopSpread)
			is.New(t).NoErr(h.process.Signal(syscall.SIGTERM))
			for range stopRequests * len(stopTexts) {
				if err := <-answers; err != nil {
					t.Error(err)
				}
			}
			select {
			case <-h.exited:
			case <-time.After(answerTimeout):
				t.Error("the process still runs")
			}
		})
	}
}

// checkAnswer sends a text, and returns an error unless the answer has the status.
func checkAnswer(raw net.Conn, text string, status int) error {
	if err := raw.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprint(raw, text); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(raw), nil)
	if err != nil {
		return fmt.Errorf("no answer to %q: %w", text, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != status {
		return fmt.Errorf("status %d of %q, expected %d", response.StatusCode, text, status)
	}
	return nil
}
