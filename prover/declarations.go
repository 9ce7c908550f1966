package prover

import (
	"fmt"
	"time"

	"github.com/jackdawthread/jackdawthread/checker"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// declarations is what a run published and what its hosts had in force.
type declarations struct {
	// accepted is the newest revision that has to be in force in the end: one
	// that a host had in force, or the newest if that has no errors. A good
	// file that a broken one replaced before any host read it is lost.
	accepted identifier.Revision
	// newest is the newest revision, 0 if its file is broken.
	newest  identifier.Revision
	inForce []checker.InForce
}

// Publish publishes the declarations anew, with a comment that makes them
// another file.
func (r *Run) Publish() error {
	comment := fmt.Sprintf("\n# published at %s\n", time.Now())
	revision, err := r.System.Site.Platform.SetDeclarations(append([]byte(nil), append(r.System.Fleet.Source, comment...)...))
	if err != nil {
		return err
	}
	r.declarations.newest = revision
	return nil
}

// PublishBroken publishes a file that every host has to refuse.
func (r *Run) PublishBroken() error {
	r.declarations.newest = 0
	_, err := r.System.Site.Platform.SetDeclarations([]byte("[[endpoint]]\nname = 7\n"))
	return err
}

// observeRevisions records what each host has in force. The records go by
// incarnation: a host that restarts where no peer can be reached knows nothing.
func (r *Run) observeRevisions() {
	for _, name := range r.System.Hosts() {
		status := r.System.Host(name).Status()
		revision := identifier.Revision(status.GetRevision())
		r.declarations.accepted = max(r.declarations.accepted, revision)
		r.declarations.inForce = append(r.declarations.inForce, checker.InForce{
			Host:     identifier.Host(fmt.Sprintf("%s-%x", name, status.GetIncarnation())),
			Revision: revision,
			At:       time.Now(),
		})
	}
}

// checkDeclarations gives the violations of what was observed, and one for
// each host that doesn't have the newest accepted file in force now.
func (r *Run) checkDeclarations() []checker.Violation {
	r.observeRevisions()
	want := max(r.declarations.accepted, r.declarations.newest)
	violations := checker.CheckRevisions(r.declarations.inForce)
	for _, name := range r.System.Hosts() {
		got := identifier.Revision(r.System.Host(name).Status().GetRevision())
		if got < want {
			violations = append(violations, checker.Violation{
				Promise: checker.PromiseInForce,
				Subject: string(name),
				Detail:  fmt.Sprintf("has revision %d in force, want %d", got, want),
			})
		}
	}
	return violations
}
