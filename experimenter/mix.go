package experimenter

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	blockTokens   = 64
	prefillRate   = 8000 // tokens per second
	stepBase      = 20 * time.Millisecond
	stepPerSlot   = time.Millisecond
	engineSlots   = 20
	enginePieces  = 2000
	resultTTL     = 800 * time.Millisecond
	firstToken    = 1600 * time.Millisecond
	betweenTokens = 47 * time.Millisecond
	// minOutputShare is the smallest output length, as a share of the maximum.
	minOutputShare = 0.5
)

// requestKind describes one class of requests in a mix.
type requestKind struct {
	urgent                    bool
	minPrompt, maxPrompt      identifier.Tokens
	maxTokens                 identifier.Tokens
	timeout                   time.Duration
	prefixCount, prefixBlocks int
}

func (k requestKind) meanPrompt() float64 {
	return float64(k.minPrompt+k.maxPrompt) / 2
}

func (k requestKind) meanOutput() float64 {
	return float64(k.maxTokens) * (1 + minOutputShare) / 2
}

// mix describes the traffic and the engines of one deployment.
type mix struct {
	name                          string
	prefillEngines, decodeEngines int
	linkRate                      float64 // pieces per second
	urgent, patient               requestKind
	// initialUrgentShare and finalUrgentShare are the urgent share of requests at
	// the start and at the end of a run.
	initialUrgentShare, finalUrgentShare float64
}

func tamsui() mix {
	return mix{
		name: "tamsui", prefillEngines: 5, decodeEngines: 5, linkRate: 2500,
		urgent: requestKind{
			urgent: true, minPrompt: 300, maxPrompt: 900, maxTokens: 50,
			timeout: 5 * time.Second, prefixCount: 30, prefixBlocks: 4,
		},
		patient: requestKind{
			minPrompt: 2000, maxPrompt: 4000, maxTokens: 300,
			timeout: time.Minute, prefixCount: 8, prefixBlocks: 8,
		},
		initialUrgentShare: 0.4, finalUrgentShare: 0.9,
	}
}

func snyrtinams() mix {
	return mix{
		name: "snyrtinams", prefillEngines: 9, decodeEngines: 3, linkRate: 2500,
		urgent: requestKind{
			urgent: true, minPrompt: 1000, maxPrompt: 3000, maxTokens: 60,
			timeout: 5 * time.Second, prefixCount: 20, prefixBlocks: 8,
		},
		patient: requestKind{
			minPrompt: 4000, maxPrompt: 12000, maxTokens: 250,
			timeout: 2 * time.Minute, prefixCount: 20, prefixBlocks: 16,
		},
		initialUrgentShare: 0.15, finalUrgentShare: 0.15,
	}
}

// snyrtinamsPrefillBound has less prefill capacity than its decode engines could
// consume.
func snyrtinamsPrefillBound() mix {
	m := snyrtinams()
	m.name = "snyrtinams-prefill-bound"
	m.prefillEngines, m.decodeEngines = 7, 5
	return m
}

// urgentShare returns the urgent share of requests at a progress of the run
// between 0 and 1, by linear interpolation.
func (m *mix) urgentShare(progress float64) float64 {
	return m.initialUrgentShare + (m.finalUrgentShare-m.initialUrgentShare)*min(1, progress)
}

// capacity returns the number of requests per second that the engines can serve
// without cache hits. It is the minimum over prefill, slots, pieces and link.
func (m *mix) capacity(urgentShare float64) float64 {
	mean := func(property func(requestKind) float64) float64 {
		return urgentShare*property(m.urgent) + (1-urgentShare)*property(m.patient)
	}
	prefill := float64(m.prefillEngines) * prefillRate / mean(requestKind.meanPrompt)
	stepSeconds := (stepBase + engineSlots*stepPerSlot).Seconds()
	slotSeconds := mean(func(k requestKind) float64 { return k.meanOutput() * stepSeconds })
	slots := float64(m.decodeEngines*engineSlots) / slotSeconds
	pieceSeconds := mean(func(k requestKind) float64 {
		return (k.meanPrompt() + float64(k.maxTokens)) / blockTokens * k.meanOutput() * stepSeconds
	})
	pieces := float64(m.decodeEngines*enginePieces) / pieceSeconds
	link := m.linkRate / (mean(requestKind.meanPrompt) / blockTokens)
	return min(prefill, slots, pieces, link)
}

// drawRequest generates a request. All its properties come from the random
// source, so that every policy receives the same requests.
func (m *mix) drawRequest(random *rand.Rand, progress float64) *request {
	k := &m.patient
	if random.Float64() < m.urgentShare(progress) {
		k = &m.urgent
	}
	prompt := k.minPrompt + identifier.Tokens(random.Uint32N(uint32(k.maxPrompt-k.minPrompt+1)))
	outputShare := minOutputShare + (1-minOutputShare)*random.Float64()
	return &request{
		kind:   k,
		prompt: prompt,
		output: max(1, identifier.Tokens(outputShare*float64(k.maxTokens))),
		blocks: drawBlocks(random, k, prompt),
	}
}

// drawBlocks generates the block hashes of a prompt. The leading blocks are
// those of one of the kind's shared prefixes, the others are unique.
func drawBlocks(random *rand.Rand, k *requestKind, prompt identifier.Tokens) []identifier.BlockHash {
	blocks := make([]identifier.BlockHash, prompt/blockTokens)
	prefix := uint64(random.IntN(k.prefixCount))*1000 + uint64(k.maxTokens)
	for i := range blocks {
		if i < k.prefixBlocks {
			blocks[i] = identifier.BlockHash(prefix*1_000_003 + uint64(i))
			continue
		}
		blocks[i] = identifier.BlockHash(random.Uint64())
	}
	return blocks
}
