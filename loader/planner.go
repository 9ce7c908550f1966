package loader

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/common/hasher"
)

// Streams of random numbers that are drawn from one seed.
const (
	arrivalStream = 1 << 63
	callStream    = 1<<63 + 1
	prefixStream  = 1<<63 + 2
)

// Call is one planned call.
type Call struct {
	// Index counts the calls of a load, from 0.
	Index uint64
	Kind  *Kind
	// Prompt and MaxTokens of a call to a model service.
	Prompt    string
	MaxTokens uint32
	// Payload of a call to a plain service.
	Payload []byte
	// Arrival is when the caller wants to send it.
	Arrival time.Time
}

// planner gives the calls of a load; call i follows from the seed and i alone.
type planner struct {
	mix      []Kind
	seed     uint64
	total    float64
	prefixes [][]string // shared texts of each kind
}

func newPlanner(mix []Kind, seed uint64) (*planner, error) {
	p := &planner{mix: mix, seed: seed, prefixes: make([][]string, len(mix))}
	for i := range mix {
		k := &mix[i]
		if k.Weight < 0 || k.Service == "" || k.Deadline <= 0 {
			return nil, fmt.Errorf("kind %q needs a service, a deadline and a weight that is not negative", k.Name)
		}
		p.total += k.Weight
		random := rand.New(rand.NewPCG(prefixStream, uint64(i)))
		for range k.SharedPrefixes {
			p.prefixes[i] = append(p.prefixes[i], text(random, k.SharedTokens))
		}
	}
	if p.total <= 0 {
		return nil, fmt.Errorf("the weights of %d kinds add up to %v", len(mix), p.total)
	}
	return p, nil
}

// call gives call i.
func (p *planner) call(i uint64) Call {
	random := rand.New(rand.NewPCG(p.seed^callStream, i))
	at := p.pick(random)
	k := &p.mix[at]
	c := Call{Index: i, Kind: k, MaxTokens: uint32(k.OutputTokens.draw(random))}
	tokens := k.PromptTokens.draw(random)
	unique := fmt.Sprintf("case %d of %d: ", i, p.seed)
	if k.Plain {
		c.Payload = []byte(unique + text(random, tokens))
		return c
	}
	prefix := ""
	if shared := p.prefixes[at]; len(shared) > 0 {
		prefix = shared[random.IntN(len(shared))]
	}
	rest := tokens - int(hasher.CountTokens(prefix+unique))
	c.Prompt = prefix + unique + text(random, rest)
	return c
}

func (p *planner) pick(random *rand.Rand) int {
	left := random.Float64() * p.total
	for i := range p.mix {
		left -= p.mix[i].Weight
		if left < 0 {
			return i
		}
	}
	return len(p.mix) - 1
}

func (r Range) draw(random *rand.Rand) int {
	if r.Max <= r.Min {
		return r.Min
	}
	return r.Min + random.IntN(r.Max-r.Min+1)
}

// textWords are what prompts are made of.
var textWords = strings.Fields("copper heavy melt stainless yard mill port report tonne price dealer " +
	"portfolio placement letter course applicant registrar seat intake week summary grade")

// text gives so many tokens of text.
func text(random *rand.Rand, tokens int) string {
	length := max(0, tokens) * hasher.BytesPerToken
	var b strings.Builder
	b.Grow(length + len("registrar "))
	for b.Len() < length {
		b.WriteString(textWords[random.IntN(len(textWords))])
		b.WriteByte(' ')
	}
	return b.String()[:length]
}
