// Package meter counts what an entry host does and publishes the counts by
// expvar.
//
// # Usage
//
//	m := meter.New()
//	m.Publish("jackdawthread")
//	m.Observe(observation)
//
// Publish is called once in a process. The counts are read under /debug/vars
// on the operators' listener.
package meter

import (
	"expvar"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/dispatcher"
)

// Meter counts requests by service and verdict. It is safe for use by several
// goroutines.
type Meter struct {
	root     expvar.Map
	requests expvar.Map
	failures expvar.Map
	tokens   expvar.Map
}

// New gives a Meter whose counts are zero.
func New() *Meter {
	m := &Meter{}
	m.root.Init()
	m.root.Set("requests", m.requests.Init())
	m.root.Set("failures", m.failures.Init())
	m.root.Set("tokens", m.tokens.Init())
	return m
}

// Publish shows the counts under name.
func (m *Meter) Publish(name string) {
	expvar.Publish(name, &m.root)
}

// Gauge shows the value of f under name, beside the counts.
func (m *Meter) Gauge(name string, f func() any) {
	m.root.Set(name, expvar.Func(f))
}

// Observe counts a request that ended.
func (m *Meter) Observe(o dispatcher.Observation) {
	service := string(o.Service.Name)
	m.requests.Add(service, 1)
	m.tokens.Add(service, int64(o.Tokens))
	if f := classifier.Of(o.Err); f != nil {
		m.failures.Add(service+"."+string(f.Reason)+"."+f.Verdict.String(), 1)
	}
}

// String gives the counts as JSON.
func (m *Meter) String() string {
	return m.root.String()
}
