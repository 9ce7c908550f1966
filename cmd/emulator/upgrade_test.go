package main

import (
	"cmp"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jackdawthread/jackdawthread/loader"
)

// otherBuildVariable is the environment variable with the path of another build of
// the program jackdawthread, to test upgrades from and to; by default the
// processes are restarted as the same build.
const otherBuildVariable = "EMULATOR_TEST_OTHER_BUILD"

// upgradeRounds is how often each host is restarted as the other build.
const upgradeRounds = 2

// TestRollingUpgrade checks that hosts of two builds serve together while each is
// restarted as the other build in turn: no request fails or runs twice, and no
// host gets a message that it can't read.
func TestRollingUpgrade(t *testing.T) {
	programs := []string{thisBuild, cmp.Or(os.Getenv(otherBuildVariable), thisBuild)}
	f := startFleetOf(t, programs...)
	stopped := map[string][]string{} // logs of processes that were replaced
	quotes, locks := f.loadFor(12*time.Second, f.resumingCaller(), 0, func() {
		for round := range upgradeRounds {
			for n, name := range []string{"a", "b"} {
				f.stop(name)
				stopped[name] = append(stopped[name], f.logs[name].String())
				f.startHost(name, programs[(n+round+1)%2])
				f.waitReady()
			}
		}
	})
	f.is.Equal(quotes.Verdicts["answered"], quotes.Sent)
	f.is.Equal(locks.Verdicts["answered"], locks.Sent)
	f.assertLocksRunOnce(locks)
	f.assertMemoryReleased()
	f.assertStreamsCross()
	f.stop("a", "b")
	for _, name := range []string{"a", "b"} {
		for _, log := range append(stopped[name], f.logs[name].String()) {
			f.assertReadable(name, log)
		}
	}
}

// assertStreamsCross checks that each host serves, whichever host allocates.
func (f *fleet) assertStreamsCross() {
	f.t.Helper()
	for _, url := range f.urls {
		f.is.Equal(f.streamFailures(url, func() {}), []loader.Failure(nil))
	}
}

// assertReadable checks that a host could read all messages.
func (f *fleet) assertReadable(name, log string) {
	f.t.Helper()
	for line := range strings.Lines(log) {
		if strings.Contains(line, "event=message-refused") || strings.Contains(line, "event=peer-refused") {
			f.t.Errorf("%s logged %s", name, line)
		}
	}
}
