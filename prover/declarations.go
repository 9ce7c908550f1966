package prover

import (
	"fmt"
	"time"

	"github.com/jackdawthread/jackdawthread/checker"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// revisionHistory holds the published revisions and those that hosts had in force.
type revisionHistory struct {
	// accepted is the newest revision that a host had in force. At the end of a
	// run, every host has to have it or newest in force, whichever is newer. A
	// valid file that an invalid one replaced before any host read it is lost.
	accepted identifier.Revision
	// newest is the last published revision, or 0 if its file is invalid.
	newest  identifier.Revision
	records []checker.RevisionRecord
}

// Publish publishes the declarations with an added comment, so that the file
// differs from the previous one.
func (r *Run) Publish() error {
	comment := fmt.Sprintf("\n# published at %s\n", time.Now())
	revision, err := r.System.Site.Platform.SetDeclarations(append([]byte(nil), append(r.System.Fleet.Source, comment...)...))
	if err != nil {
		return err
	}
	r.revisions.newest = revision
	return nil
}

// PublishBroken publishes a file that every host has to reject.
func (r *Run) PublishBroken() error {
	r.revisions.newest = 0
	_, err := r.System.Site.Platform.SetDeclarations([]byte("[[endpoint]]\nname = 7\n"))
	return err
}

// recordRevisions records the revision that each host has in force. Each
// incarnation is recorded as a separate host, because a host that restarts while
// it can reach no peer has no revision.
func (r *Run) recordRevisions() {
	for _, name := range r.System.Hosts() {
		status := r.System.Host(name).Status()
		revision := identifier.Revision(status.GetRevision())
		r.revisions.accepted = max(r.revisions.accepted, revision)
		r.revisions.records = append(r.revisions.records, checker.RevisionRecord{
			Host:     identifier.Host(fmt.Sprintf("%s-%x", name, status.GetIncarnation())),
			Revision: revision,
			At:       time.Now(),
		})
	}
}

// checkRevisions returns a violation for each recorded revision that decreased, and
// for each host that doesn't have the newest accepted revision in force now.
func (r *Run) checkRevisions() []checker.Violation {
	r.recordRevisions()
	want := max(r.revisions.accepted, r.revisions.newest)
	violations := checker.CheckRevisions(r.revisions.records)
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
