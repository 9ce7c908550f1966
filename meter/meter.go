// Package meter counts the requests of an entry host and publishes the counts
// through expvar.
//
// # Usage
//
//	m := meter.New()
//	m.Publish("jackdawthread")
//	m.Observe(observation)
//
// Publish may be called once per process, because expvar panics on a duplicate
// name. The operators' listener serves the counts at /debug/vars.
package meter

import (
	"expvar"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/dispatcher"
)

// Meter counts requests and tokens by service, and failures by service, reason
// and verdict. It is safe for concurrent use.
type Meter struct {
	root     expvar.Map
	requests expvar.Map
	failures expvar.Map
	tokens   expvar.Map
}

// New returns a Meter with all counts at zero.
func New() *Meter {
	m := &Meter{}
	m.root.Init()
	m.root.Set("requests", m.requests.Init())
	m.root.Set("failures", m.failures.Init())
	m.root.Set("tokens", m.tokens.Init())
	return m
}

// Publish registers the counts with expvar under name.
func (m *Meter) Publish(name string) {
	expvar.Publish(name, &m.root)
}

// Gauge publishes the current value of f under name, next to the counts.
func (m *Meter) Gauge(name string, f func() any) {
	m.root.Set(name, expvar.Func(f))
}

// Observe counts a finished request.
func (m *Meter) Observe(o dispatcher.Observation) {
	service := string(o.Service.Name)
	m.requests.Add(service, 1)
	m.tokens.Add(service, int64(o.Tokens))
	if f := classifier.Of(o.Err); f != nil {
		m.failures.Add(service+"."+string(f.Reason)+"."+f.Verdict.String(), 1)
	}
}

// String returns the counts as JSON.
func (m *Meter) String() string {
	return m.root.String()
}
