package forwarder

import (
	"net/http"
	"strconv"

	"github.com/jackdawthread/jackdawthread/common/classifier"
)

// A stream that has begun can only go on with events of the same stream: whatever else an engine
// sends would reach the caller as a part of it, or end it as if it were complete. An empty
// stream that is complete means that the caller has all events.

// checkResumedHead returns an error unless the response is a stream of events.
func (d *decoding) checkResumedHead() error {
	r := d.response
	if r.Status == http.StatusOK && isEventStream(r.Header) {
		return nil
	}
	return classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0,
		"engine %q went on with a stream by status %d of type %q", d.call.at.Name, r.Status, r.Header.Get("Content-Type"))
}

// checkResumedEvent returns an error unless a part of the stream is a comment, or an event whose
// number is higher than that of the one before. In a stream whose events have IDs other than
// numbers, any ID will do.
func (d *decoding) checkResumedEvent(p responsePart) error {
	if p.isComment || p.id != "" && !d.numbered {
		return nil
	}
	n, err := strconv.ParseUint(p.id, 10, 64)
	if err != nil || n <= d.lastNumber {
		return classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0,
			"engine %q went on with a stream by a part that is no later event, with id %q after %d",
			d.call.at.Name, p.id[:min(len(p.id), maxLoggedID)], d.lastNumber)
	}
	d.lastNumber = n
	return nil
}

// maxLoggedID bounds how many bytes of an event's ID are logged.
const maxLoggedID = 64

// isNumber reports whether an event's ID is a decimal number. The order of others isn't known.
func isNumber(id string) bool {
	_, err := strconv.ParseUint(id, 10, 64)
	return err == nil
}
