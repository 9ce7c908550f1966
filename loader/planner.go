package loader

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/common/hasher"
)

// Stream numbers of the random generators, so that the same seed gives
// independent sequences.
const (
	arrivalStream = 1 << 63
	callStream    = 1<<63 + 1
	prefixStream  = 1<<63 + 2
)

// Call is a planned call.
type Call struct {
	// Index is the position of the call in the load, from 0.
	Index uint64
	Kind  *Kind
	// Prompt and MaxTokens are set for calls to model services.
	Prompt    string
	MaxTokens uint32
	// Payload is set for calls to plain services.
	Payload []byte
	// Arrival is the planned send time.
	Arrival time.Time
}

// planner generates the calls of a load. Call i depends only on the mix, the
// seed and i.
type planner struct {
	mix         []Kind
	seed        uint64
	totalWeight float64
	prefixes    [][]string // shared prefixes by kind
}

func newPlanner(mix []Kind, seed uint64) (*planner, error) {
	p := &planner{mix: mix, seed: seed, prefixes: make([][]string, len(mix))}
	for i := range mix {
		k := &mix[i]
		if k.Weight < 0 || k.Service == "" || k.Deadline <= 0 {
			return nil, fmt.Errorf("kind %q requires a service, a positive deadline and a non-negative weight", k.Name)
		}
		p.totalWeight += k.Weight
		random := rand.New(rand.NewPCG(prefixStream, uint64(i)))
		for range k.SharedPrefixes {
			p.prefixes[i] = append(p.prefixes[i], randomText(random, k.SharedTokens))
		}
	}
	if p.totalWeight <= 0 {
		return nil, fmt.Errorf("total weight of %d kinds must be positive, got %v", len(mix), p.totalWeight)
	}
	return p, nil
}

// call generates call i.
func (p *planner) call(i uint64) Call {
	random := rand.New(rand.NewPCG(p.seed^callStream, i))
	kindIndex := p.pickKind(random)
	k := &p.mix[kindIndex]
	c := Call{Index: i, Kind: k, MaxTokens: uint32(k.OutputTokens.draw(random))}
	tokens := k.PromptTokens.draw(random)
	unique := fmt.Sprintf("case %d of %d: ", i, p.seed)
	if k.Plain {
		c.Payload = []byte(unique + randomText(random, tokens))
		return c
	}
	prefix := ""
	if shared := p.prefixes[kindIndex]; len(shared) > 0 {
		prefix = shared[random.IntN(len(shared))]
	}
	rest := tokens - int(hasher.CountTokens(prefix+unique))
	c.Prompt = prefix + unique + randomText(random, rest)
	return c
}

func (p *planner) pickKind(random *rand.Rand) int {
	remaining := random.Float64() * p.totalWeight
	for i := range p.mix {
		remaining -= p.mix[i].Weight
		if remaining < 0 {
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

// vocabulary holds the words of generated prompts.
var vocabulary = strings.Fields("copper heavy melt stainless yard mill port report tonne price dealer " +
	"portfolio placement letter course applicant registrar seat intake week summary grade")

// randomText generates text with the given number of tokens.
func randomText(random *rand.Rand, tokens int) string {
	length := max(0, tokens) * hasher.BytesPerToken
	var b strings.Builder
	b.Grow(length + len("registrar "))
	for b.Len() < length {
		b.WriteString(vocabulary[random.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()[:length]
}
