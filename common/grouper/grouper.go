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
// The first error of a member cancels the group's context.
package grouper

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Group is a set of goroutines with one context.
type Group struct {
	members *errgroup.Group
	ctx     context.Context
	cancel  context.CancelFunc
}

// New gives an empty group whose context ends with ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	members, ctx := errgroup.WithContext(ctx)
	return &Group{members: members, ctx: ctx, cancel: cancel}
}

// Go starts a member. Its error, if any, cancels the group's context and is
// given by Wait.
func (g *Group) Go(f func(context.Context) error) {
	g.members.Go(func() error { return f(g.ctx) })
}

// Run starts a member that can't fail.
func (g *Group) Run(f func(context.Context)) {
	g.members.Go(func() error {
		f(g.ctx)
		return nil
	})
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
	err := g.members.Wait()
	g.cancel()
	return err
}
