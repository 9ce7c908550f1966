package main

import (
	"bufio"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/wire/platformwire"
	"github.com/jackdawthread/jackdawthread/wire/platformwire/platformwireconnect"
)

// process is an emulator command that runs inside the test process.
type process struct {
	group *grouper.Group
	lines *bufio.Scanner
	pipe  *io.PipeReader
}

func start(t *testing.T, args ...string) *process {
	t.Helper()
	read, write := io.Pipe()
	p := &process{grouper.New(t.Context()), bufio.NewScanner(read), read}
	p.group.Go(func(ctx context.Context) error {
		defer func() { _ = write.Close() }()
		c := newCommand()
		c.Writer = write
		c.ErrWriter = io.Discard
		return c.Run(ctx, append([]string{"emulator"}, args...))
	})
	return p
}

// line returns the next output line with the given prefix.
func (p *process) line(t *testing.T, prefix string) string {
	t.Helper()
	for p.lines.Scan() {
		if strings.HasPrefix(p.lines.Text(), prefix) {
			return p.lines.Text()
		}
	}
	t.Fatalf("no output line starts with %q", prefix)
	return ""
}

func (p *process) stop() error {
	p.group.Stop()
	_ = p.pipe.Close()
	return p.group.Wait()
}

// field returns the value of name=value in line, or "" without one.
func field(line, name string) string {
	for word := range strings.FieldsSeq(line) {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			return value
		}
	}
	return ""
}

func TestCommands(t *testing.T) {
	for _, args := range [][]string{
		{"engine", "--name", "r1", "--model", "notes", "--role", "prefill"},
		{"plain", "--name", "lock-1"},
		{"platform", "--declarations", "../../examples/tamsui.toml", "--host", "h1@tw-north-1=127.0.0.1:7009"},
	} {
		t.Run(args[0]+" listens and shuts down", func(t *testing.T) {
			is := is.New(t)
			p := start(t, args...)
			is.True(field(p.line(t, "listening"), "address") != "")
			is.NoErr(p.stop())
		})
	}
	for _, args := range [][]string{
		{"engine", "--name", "r1", "--model", "notes", "--role", "cook"},
		{"engine", "--name", "r1"},
		{"platform", "--declarations", "no-such-file.toml"},
		{"platform", "--declarations", "../../examples/tamsui.toml", "--host", "h1"},
		{"site", "--declarations", "../../examples/tamsui.toml", "--data-center", "nowhere"},
	} {
		t.Run("rejects "+strings.Join(args, " "), func(t *testing.T) {
			is := is.New(t)
			p := start(t, args...)
			is.True(p.stop() != nil)
		})
	}
}

func TestPlatformPublishesChanges(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "fleet.toml")
	is.NoErr(os.WriteFile(path, []byte("first"), 0o600))
	p := start(t, "platform", "--declarations", path, "--revision", "7")
	is.Equal(field(p.line(t, "published"), "revision"), "7")
	client := platformwireconnect.NewPlatformServiceClient(emulator.NewHTTPClient(), "http://"+field(p.line(t, "listening"), "address"))
	is.NoErr(os.WriteFile(path, []byte("second"), 0o600))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r, err := client.Watch(ctx, connect.NewRequest(&platformwire.WatchRequest{Key: emulator.KeyDeclarations, AfterRevision: 7, WaitMs: 9000}))
	is.NoErr(err)
	is.Equal(string(r.Msg.GetValue()), "second")
	is.Equal(r.Msg.GetRevision(), uint64(8))
	is.NoErr(p.stop())
}
