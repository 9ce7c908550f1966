package emulator

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/hasher"
)

// Seed fixes an answer: all its tokens follow from it.
type Seed uint64

// answerWords are what output tokens are made of.
var answerWords = [...]string{
	"copper ", "a ", "heavy ", "melt ", "of ", "stainless ", "grade ", "yard ",
	"mill ", "port ", "tonne ", "is ", "price ", "firm ", "at ", "dawn ",
	"portfolio ", "seat ", "the ", "placement ", "letter ", "case ", "to ", "registrar ",
	"summary ", "in ", "intake ", "week ", "note ", "bulletin ", "and ", "up ",
}

// AnswerSeed gives the seed of a model's answer to a prompt.
func AnswerSeed(model, prompt string) Seed {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model) // never fails, by its documentation
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt)
	return Seed(d.Sum64())
}

// Token gives the text of token i of the answer.
func (s Seed) Token(i uint32) string {
	var raw [12]byte
	binary.LittleEndian.PutUint64(raw[:], uint64(s))
	binary.LittleEndian.PutUint32(raw[8:], i)
	return answerWords[xxhash.Sum64(raw[:])%uint64(len(answerWords))]
}

// Text gives the tokens from and up to, but without, to.
func (s Seed) Text(from, to uint32) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(s.Token(i))
	}
	return b.String()
}

// Answer gives the whole answer of a model to a prompt, tokens long.
func Answer(model, prompt string, tokens int) string {
	return AnswerSeed(model, prompt).Text(0, uint32(max(tokens, 0)))
}

// CountTokens gives the number of tokens of a prompt: one for each 4 bytes or
// part of them.
func CountTokens(prompt string) int {
	return int(hasher.CountTokens(prompt))
}
