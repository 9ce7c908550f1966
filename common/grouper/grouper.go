// Package grouper starts goroutines in groups that are stopped and awaited
// together. No other package uses a bare go statement.
//
// # Usage
//
//	g := grouper.New(ctx)
//	g.Go(func(ctx context.Context) error { return serve(ctx) })
//	g.Stop()
//	err := g.Wait()
//
// The first error of a member cancels the group's context. Members may be
// started by goroutines outside the group, such as handlers of connections,
// while another one waits; errgroup and sync.WaitGroup don't allow that.
package grouper

import (
	"context"
	"sync"
)

// Group is a set of goroutines with one context. It is safe for use by several
// goroutines.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	members int
	awaited bool
	ended   chan struct{} // closed once awaited and without members
	err     error
}

// New gives an empty group whose context ends with ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, ended: make(chan struct{})}
}

// Go starts a member. Its error, if any, cancels the group's context and is
// given by Wait. A member that is started once the group has ended, when Wait
// is called and no member is left, doesn't run.
func (g *Group) Go(f func(context.Context) error) {
	if !g.enter() {
		return
	}
	go func() {
		g.leave(f(g.ctx))
	}()
}

// Run starts a member that can't fail.
func (g *Group) Run(f func(context.Context)) {
	g.Go(func(ctx context.Context) error {
		f(ctx)
		return nil
	})
}

func (g *Group) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hasEnded() {
		return false
	}
	g.members++
	return true
}

func (g *Group) leave(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil && g.err == nil {
		g.err = err
		g.cancel()
	}
	g.members--
	g.end()
}

// end ends the group if it is awaited and empty; g.mu is held.
func (g *Group) end() {
	if g.awaited && g.members == 0 && !g.hasEnded() {
		close(g.ended)
	}
}

func (g *Group) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// Context is the group's context.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Stop cancels the group's context.
func (g *Group) Stop() {
	g.cancel()
}

// Wait waits for all members and gives the first error.
func (g *Group) Wait() error {
	g.mu.Lock()
	g.awaited = true
	g.end()
	g.mu.Unlock()
	<-g.ended
	g.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}
