package relay

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/frame"
)

// Protocol translates between header fields and what the relay needs to know.
// What callers and backend servers call these fields is not the relay's matter.
type Protocol interface {
	// RequestInfo reads the fields of a caller's request.
	RequestInfo(h frame.Head) (RequestInfo, error)
	// Forward returns the fields that a backend server gets.
	Forward(h frame.Head, hop ForwardInfo) []frame.Header
	// ResponseInfo reads the fields of a backend server's answer.
	ResponseInfo(h frame.Head) ResponseInfo
	// Refusal returns the fields of an answer of the relay's own.
	Refusal(c RequestInfo) []frame.Header
}

// RequestInfo is what a caller says about its request.
type RequestInfo struct {
	ID           string
	Key          string       // API key
	TimeLeft     clock.Millis // how long the caller waits; 0 when it does not say
	LastEvent    string       // newest event that the caller of a stream has
	PromptTokens int
	OutputTokens int // upper bound
	LengthHint   int // the caller's estimate of the output tokens
	Parts        []Part
}

// Part is a part of a prompt. Requests share parts; the last one is the
// request's own or its session's.
type Part struct {
	ID     string
	Tokens int
}

// ForwardInfo is what the relay tells a backend server about a request.
type ForwardInfo struct {
	Server    string // the server that is meant; another one refuses
	Workspace string
	TimeLeft  clock.Millis
	// Urgency is 0 for the most urgent requests. Servers that do not tell
	// requests apart get none.
	Urgency    int
	HasUrgency bool
	LastEvent  string
}

// ResponseInfo is what a backend server says in the head of its answer.
type ResponseInfo struct {
	ID      string // of the request that it answers
	NotRun  bool   // the server promises that it did not run the request
	Load    Load
	HasLoad bool
	// IdleTimeout is how long the server keeps an idle connection; 0 when it does
	// not say.
	IdleTimeout clock.Millis
}

// Load is a backend server's load as it reports it.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
