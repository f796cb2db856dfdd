package standin

import (
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Bounds of an answer's length in tokens. A prompt that does not ask for a length
// by [tokens=N] gets an answer of minAnswerTokens to minAnswerTokens+answerTokenRange-1
// tokens.
const (
	minAnswerTokens  = 8
	answerTokenRange = 120
	maxAnswerTokens  = 100_000
)

// lengthPattern matches the part of a prompt by which a test sets the length of the
// answer.
var lengthPattern = regexp.MustCompile(`\[tokens=(\d{1,6})\]`)

var vocabulary = []string{
	"treaty ", "clause ", "layer ", "excess ", "premium ", "cedent ", "règlement ", "loss ",
	"relay ", "netlist ", "breaker ", "bus ", "tensió ", "node ", "trace ", "Ω ",
	"of ", "the ", "and ", "is ", "under ", "within ", "over ", "per ",
	"\"quoted\" ", "line\n", "42 ", "0.5 ", "— ", "(a) ", "§7 ", "pass ",
}

// AnswerTokens returns the tokens of the answer to a prompt. They depend only on the model
// and the prompt, so that tests can predict the answer whichever engine generates it.
func AnswerTokens(model, prompt string) []string {
	state := xxhash.Sum64String(model + "\x00" + prompt)
	tokens := make([]string, answerLength(prompt, state))
	for i := range tokens {
		state = splitmix64(state)
		tokens[i] = vocabulary[state%uint64(len(vocabulary))]
	}
	return tokens
}

// answerLength returns the number of tokens that the prompt asks for, or a number drawn
// from the seed when it asks for none.
func answerLength(prompt string, seed uint64) int {
	match := lengthPattern.FindStringSubmatch(prompt)
	if match == nil {
		return minAnswerTokens + int(splitmix64(seed)%answerTokenRange)
	}
	n, err := strconv.Atoi(match[1])
	if err != nil {
		return minAnswerTokens
	}
	return min(max(n, 1), maxAnswerTokens)
}

// splitmix64 returns the next value of the SplitMix64 generator.
func splitmix64(state uint64) uint64 {
	state += 0x9e3779b97f4a7c15
	z := state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
