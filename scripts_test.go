package main_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jackdawthread/jackdawthread/common/socket"
)

// portCount is the number of free ports that a script gets in the environment
// variables P0, P1, ...
const portCount = 20

func TestScripts(t *testing.T) {
	if testing.Short() {
		t.Skip("scripts take several seconds")
	}
	programs := buildPrograms(t)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", programs+string(os.PathListSeparator)+e.Getenv("PATH"))
			return setPorts(e)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"expand": expand},
	})
}

// buildPrograms builds the programs that the scripts run, with the race detector,
// and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for name, pkg := range map[string]string{"jackdawthread": ".", "emulator": "./cmd/emulator"} {
		out, err := exec.Command("go", "build", "-race", "-o", filepath.Join(dir, name), pkg).CombinedOutput()
		if err != nil {
			t.Fatalf("build of %s failed: %v\n%s", name, err, out)
		}
	}
	return dir
}

// setPorts reserves free ports for the script's programs.
func setPorts(e *testscript.Env) error {
	for n := range portCount {
		c, err := socket.ReservePort()
		if err != nil {
			return err
		}
		e.Defer(func() { _ = c.Close() }) // releases only the lock on the port number
		e.Setenv(fmt.Sprintf("P%d", n), fmt.Sprint(c.Port()))
	}
	return nil
}

// expand replaces $NAME in files with the values of environment variables.
func expand(ts *testscript.TestScript, neg bool, files []string) {
	if neg || len(files) == 0 {
		ts.Fatalf("usage: expand FILE...")
	}
	for _, f := range files {
		path := ts.MkAbs(f)
		ts.Check(os.WriteFile(path, []byte(os.Expand(ts.ReadFile(f), ts.Getenv)), 0o600))
	}
}
