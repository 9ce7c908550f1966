// Package grouper runs groups of goroutines that are canceled and waited for
// together. No other package uses a bare go statement.
//
// # Usage
//
//	g := grouper.New(ctx)
//	g.Go(func(ctx context.Context) error { return serve(ctx) })
//	g.Stop()
//	err := g.Wait()
//
// The first error of a goroutine cancels the group's context. Code outside the
// group, such as connection handlers, may start goroutines while another one
// waits; errgroup and sync.WaitGroup don't allow that.
package grouper

import (
	"context"
	"sync"
)

// Group is a set of goroutines that share a context. It is safe for concurrent
// use.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	running int
	waiting bool
	done    chan struct{} // closed once Wait was called and no goroutine is left
	err     error
}

// New returns an empty group whose context is derived from ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

// Go runs f in a new goroutine. The first error cancels the group's context
// and is returned by Wait. Once Wait was called and no goroutine is left, the
// group is done and Go does nothing.
func (g *Group) Go(f func(context.Context) error) {
	if !g.add() {
		return
	}
	go func() {
		g.remove(f(g.ctx))
	}()
}

// Run is like Go for a function that can't fail.
func (g *Group) Run(f func(context.Context)) {
	g.Go(func(ctx context.Context) error {
		f(ctx)
		return nil
	})
}

func (g *Group) add() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isDone() {
		return false
	}
	g.running++
	return true
}

func (g *Group) remove(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil && g.err == nil {
		g.err = err
		g.cancel()
	}
	g.running--
	g.closeIfDone()
}

// closeIfDone marks the group as done if Wait was called and no goroutine is
// left. The caller holds g.mu.
func (g *Group) closeIfDone() {
	if g.waiting && g.running == 0 && !g.isDone() {
		close(g.done)
	}
}

func (g *Group) isDone() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// Context returns the group's context.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Stop cancels the group's context.
func (g *Group) Stop() {
	g.cancel()
}

// Wait waits for all goroutines and returns the first error.
func (g *Group) Wait() error {
	g.mu.Lock()
	g.waiting = true
	g.closeIfDone()
	g.mu.Unlock()
	<-g.done
	g.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}
