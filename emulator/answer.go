package emulator

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/hasher"
)

// Seed determines every token of an answer.
type Seed uint64

// answerWords is the vocabulary of output tokens.
var answerWords = [...]string{
	"copper ", "a ", "heavy ", "melt ", "of ", "stainless ", "grade ", "yard ",
	"mill ", "port ", "tonne ", "is ", "price ", "firm ", "at ", "dawn ",
	"portfolio ", "seat ", "the ", "placement ", "letter ", "case ", "to ", "registrar ",
	"summary ", "in ", "intake ", "week ", "note ", "bulletin ", "and ", "up ",
}

// AnswerSeed returns the seed of a model's answer to a prompt.
func AnswerSeed(model, prompt string) Seed {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model) // xxhash.Digest never returns a write error
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt)
	return Seed(d.Sum64())
}

// Token returns the text of token i of the answer.
func (s Seed) Token(i uint32) string {
	var raw [12]byte
	binary.LittleEndian.PutUint64(raw[:], uint64(s))
	binary.LittleEndian.PutUint32(raw[8:], i)
	return answerWords[xxhash.Sum64(raw[:])%uint64(len(answerWords))]
}

// Text returns the text of the tokens in the half-open range [from, to).
func (s Seed) Text(from, to uint32) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(s.Token(i))
	}
	return b.String()
}

// Answer returns a model's answer to a prompt with the given number of
// tokens.
func Answer(model, prompt string, tokens int) string {
	return AnswerSeed(model, prompt).Text(0, uint32(max(tokens, 0)))
}

// CountTokens returns the number of tokens of a prompt: one per 4 bytes,
// rounded up.
func CountTokens(prompt string) int {
	return int(hasher.CountTokens(prompt))
}
