package experimenter

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	blockTokens   = 64
	prefillRate   = 8000 // tokens a second
	stepBase      = 20 * time.Millisecond
	stepPerSlot   = time.Millisecond
	engineSlots   = 20
	enginePieces  = 2000
	resultTTL     = 800 * time.Millisecond
	firstToken    = 1600 * time.Millisecond
	betweenTokens = 47 * time.Millisecond
	// leastOutput is the least part of its bound that an output takes.
	leastOutput = 0.5
)

// kindOfWork is one sort of request in a mix.
type kindOfWork struct {
	urgent                 bool
	minPrompt, maxPrompt   identifier.Tokens
	maxTokens              identifier.Tokens
	timeout                time.Duration
	prefixes, prefixBlocks int
}

func (k kindOfWork) meanPrompt() float64 {
	return float64(k.minPrompt+k.maxPrompt) / 2
}

func (k kindOfWork) meanOutput() float64 {
	return float64(k.maxTokens) * (1 + leastOutput) / 2
}

// mix is the traffic and the engines of one firm.
type mix struct {
	name              string
	prefills, decodes int
	linkRate          float64 // pieces a second
	urgent, patient   kindOfWork
	// urgentFrom and urgentTo are the urgent share of requests at the start
	// and at the end of a run.
	urgentFrom, urgentTo float64
}

func tamsui() mix {
	return mix{
		name: "tamsui", prefills: 5, decodes: 5, linkRate: 2500,
		urgent: kindOfWork{
			urgent: true, minPrompt: 300, maxPrompt: 900, maxTokens: 50,
			timeout: 5 * time.Second, prefixes: 30, prefixBlocks: 4,
		},
		patient: kindOfWork{
			minPrompt: 2000, maxPrompt: 4000, maxTokens: 300,
			timeout: time.Minute, prefixes: 8, prefixBlocks: 8,
		},
		urgentFrom: 0.4, urgentTo: 0.9,
	}
}

func snyrtinams() mix {
	return mix{
		name: "snyrtinams", prefills: 9, decodes: 3, linkRate: 2500,
		urgent: kindOfWork{
			urgent: true, minPrompt: 1000, maxPrompt: 3000, maxTokens: 60,
			timeout: 5 * time.Second, prefixes: 20, prefixBlocks: 8,
		},
		patient: kindOfWork{
			minPrompt: 4000, maxPrompt: 12000, maxTokens: 250,
			timeout: 2 * time.Minute, prefixes: 20, prefixBlocks: 16,
		},
		urgentFrom: 0.15, urgentTo: 0.15,
	}
}

// snyrtinamsShort has less prefill than the decode engines could take up.
func snyrtinamsShort() mix {
	m := snyrtinams()
	m.name = "snyrtinams-prefill-bound"
	m.prefills, m.decodes = 7, 5
	return m
}

// urgentShare gives the urgent share at a part, between 0 and 1, of the run.
func (m *mix) urgentShare(part float64) float64 {
	return m.urgentFrom + (m.urgentTo-m.urgentFrom)*min(1, part)
}

// capacity gives the requests a second that the engines can serve, without
// cache hits: what the scarcest of prefill, slots, pieces and link allows.
func (m *mix) capacity(urgentShare float64) float64 {
	mean := func(of func(kindOfWork) float64) float64 {
		return urgentShare*of(m.urgent) + (1-urgentShare)*of(m.patient)
	}
	prefill := float64(m.prefills) * prefillRate / mean(kindOfWork.meanPrompt)
	step := (stepBase + engineSlots*stepPerSlot).Seconds()
	hold := mean(func(k kindOfWork) float64 { return k.meanOutput() * step })
	slots := float64(m.decodes*engineSlots) / hold
	pieceSeconds := mean(func(k kindOfWork) float64 {
		return (k.meanPrompt() + float64(k.maxTokens)) / blockTokens * k.meanOutput() * step
	})
	pieces := float64(m.decodes*enginePieces) / pieceSeconds
	link := m.linkRate / (mean(kindOfWork.meanPrompt) / blockTokens)
	return min(prefill, slots, pieces, link)
}

// draw makes a request; all its properties come from the random source, so
// that every policy meets the same requests.
func (m *mix) draw(random *rand.Rand, part float64) *request {
	k := &m.patient
	if random.Float64() < m.urgentShare(part) {
		k = &m.urgent
	}
	prompt := k.minPrompt + identifier.Tokens(random.Uint32N(uint32(k.maxPrompt-k.minPrompt+1)))
	least := leastOutput + (1-leastOutput)*random.Float64()
	return &request{
		kind:   k,
		prompt: prompt,
		output: max(1, identifier.Tokens(least*float64(k.maxTokens))),
		blocks: drawBlocks(random, k, prompt),
	}
}

// drawBlocks gives block hashes of which the first are one of a few prefixes.
func drawBlocks(random *rand.Rand, k *kindOfWork, prompt identifier.Tokens) []identifier.BlockHash {
	blocks := make([]identifier.BlockHash, prompt/blockTokens)
	prefix := uint64(random.IntN(k.prefixes))*1000 + uint64(k.maxTokens)
	for i := range blocks {
		if i < k.prefixBlocks {
			blocks[i] = identifier.BlockHash(prefix*1_000_003 + uint64(i))
			continue
		}
		blocks[i] = identifier.BlockHash(random.Uint64())
	}
	return blocks
}
