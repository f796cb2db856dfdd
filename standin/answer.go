package standin

import (
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Bounds of an answer's length in tokens when the prompt does not set one.
const (
	minAnswer  = 8
	answerSpan = 120
	maxAnswer  = 100_000
)

// lengthPattern lets a test choose the length of the answer in the prompt.
var lengthPattern = regexp.MustCompile(`\[tokens=(\d{1,6})\]`)

var vocabulary = []string{
	"treaty ", "clause ", "layer ", "excess ", "premium ", "cedent ", "règlement ", "loss ",
	"relay ", "netlist ", "breaker ", "bus ", "tensió ", "node ", "trace ", "Ω ",
	"of ", "the ", "and ", "is ", "under ", "within ", "over ", "per ",
	"\"quoted\" ", "line\n", "42 ", "0.5 ", "— ", "(a) ", "§7 ", "pass ",
}

// AnswerTokens returns the tokens of the answer to a prompt. They depend on model and
// prompt alone, so that a test can compare the bytes whichever engine produced
// them.
func AnswerTokens(model, prompt string) []string {
	state := xxhash.Sum64String(model + "\x00" + prompt)
	tokens := make([]string, answerLength(prompt, state))
	for i := range tokens {
		state = mix(state)
		tokens[i] = vocabulary[state%uint64(len(vocabulary))]
	}
	return tokens
}

func answerLength(prompt string, seed uint64) int {
	match := lengthPattern.FindStringSubmatch(prompt)
	if match == nil {
		return minAnswer + int(mix(seed)%answerSpan)
	}
	n, err := strconv.Atoi(match[1])
	if err != nil {
		return minAnswer
	}
	return min(max(n, 1), maxAnswer)
}

// mix is the splitmix64 generator.
func mix(state uint64) uint64 {
	state += 0x9e3779b97f4a7c15
	z := state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
