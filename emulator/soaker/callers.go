package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	minCallers    = 30
	meanCallPause = 40 * time.Millisecond
	// keptConnections is how many open connections to a host a caller keeps.
	keptConnections = 3
	// maxKept is how many open connections a caller keeps in all.
	maxKept = 60
	// One request in splitShare is sent in two parts, up to maxSplit apart.
	splitShare = 8
	maxSplit   = 4 * time.Millisecond
	// One request in largeShare has a body of largePadding bytes more, which some
	// configurations don't allow.
	largeShare   = 12
	largePadding = 5000
	// One refused request in repeatShare is sent again with its ID.
	repeatShare = 2
	// One request in strangerShare has a key that nobody holds.
	strangerShare = 40
)

// outcomeLog collects the outcomes of all callers.
type outcomeLog struct {
	mu       sync.Mutex
	outcomes []outcome
}

func (l *outcomeLog) add(o *outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, *o)
}

var requestPaths = []string{"/quotes/", "/quotes/", "/locks/", "/locks/", "/notes/", "/digests/", "/digests/", "/extras/"}

// declaredCustomers are the customers that all configurations declare.
var declaredCustomers = []string{"yard", "harbour", "mill"}

// caller sends requests in series, over connections that it keeps open until
// they end.
type caller struct {
	system *system
	number int
	random *rand.Rand
	kept   map[int][]*connection // by host
	// keptCount is the number of connections in kept.
	keptCount int
}

// runCaller sends requests until ctx is canceled.
func (s *system) runCaller(ctx context.Context, number int) {
	c := &caller{system: s, number: number, random: rand.New(rand.NewPCG(s.options.Seed, uint64(number))), kept: map[int][]*connection{}}
	for n := 0; ctx.Err() == nil; n++ {
		c.call(n)
		c.pause()
	}
	for _, all := range c.kept {
		for _, k := range all {
			k.close()
		}
	}
}

func (c *caller) call(n int) {
	o := outcome{
		id:   identifier.Request(fmt.Sprintf("c%d-%d", c.number, n)),
		path: requestPaths[c.random.IntN(len(requestPaths))],
		host: c.random.IntN(len(c.system.hosts)),
	}
	o.customer = declaredCustomers[c.number%len(declaredCustomers)]
	if c.random.IntN(strangerShare) == 0 {
		o.customer, o.stranger = "nobody", true
	}
	if c.random.IntN(largeShare) == 0 {
		o.padding = largePadding
	}
	var split time.Duration
	if c.random.IntN(splitShare) == 0 {
		split = time.Duration(1 + c.random.Int64N(int64(maxSplit)))
	}
	c.send(&o, split)
	if o.complete && refused(o.status) && c.random.IntN(repeatShare) == 0 {
		c.pause()
		o = o.repetition()
		c.send(&o, split)
	}
	c.system.outcomeLog.add(&o)
}

// pause waits for the time between two requests.
func (c *caller) pause() {
	time.Sleep(time.Duration(c.random.Int64N(int64(2 * meanCallPause))))
}

// send sends a request if its host can be reached.
func (c *caller) send(o *outcome, split time.Duration) {
	k, err := c.take(o.host)
	if err == nil {
		c.put(o.host, k, k.exchange(o, split))
	}
}

// take returns a kept connection, or a new one if there are few.
func (c *caller) take(host int) (*connection, error) {
	kept := c.kept[host]
	if at := c.random.IntN(keptConnections); at < len(kept) {
		k := kept[at]
		c.kept[host] = append(kept[:at:at], kept[at+1:]...)
		c.keptCount--
		if k.open() {
			return k, nil
		}
		k.close()
	}
	return connect(c.system.hosts[host].callers)
}

func (c *caller) put(host int, k *connection, usable bool) {
	if !usable || len(c.kept[host]) >= keptConnections || c.keptCount >= maxKept {
		k.close()
		return
	}
	c.kept[host] = append(c.kept[host], k)
	c.keptCount++
}
