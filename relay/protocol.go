package relay

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/frame"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// Protocol translates between HTTP header fields and the relay's types, so that the
// relay does not depend on the field names that callers and backend servers use.
type Protocol interface {
	// RequestInfo parses the header fields of a caller's request.
	RequestInfo(h frame.Head) (RequestInfo, error)
	// Forward returns the header fields of the request to a backend server.
	Forward(h frame.Head, forwardInfo ForwardInfo) []frame.Header
	// ResponseInfo parses the header fields of a backend server's response.
	ResponseInfo(h frame.Head) ResponseInfo
	// Refusal returns the header fields of a response that the relay itself generates.
	Refusal(c RequestInfo) []frame.Header
}

// RequestInfo is the information about a request that its caller sends in the header.
type RequestInfo struct {
	ID           string       // request ID
	Key          string       // API key
	TimeLeft     clock.Millis // how long the caller waits; 0 if not given
	LastEventID  string       // ID of the newest event of the stream that the caller has
	Resumes      string       // ID of the caller's request that brought the first event of that stream
	PromptTokens int
	OutputTokens int    // upper bound of the output tokens
	LengthHint   int    // the caller's estimate of the output tokens; 0 if not given
	Parts        []Part // parts of the prompt, in order
}

// Part is a part of a prompt. Different requests can have parts in common, except for
// the last part, which belongs to the request or its session alone.
type Part struct {
	ID     string
	Tokens int
}

// ForwardInfo is the information about a request that the relay sends to a backend server.
type ForwardInfo struct {
	Server    string // name of the intended server; any other server refuses the request
	Workspace string
	TimeLeft  clock.Millis // time until the request's deadline
	// Urgency is the urgency rank; 0 is the most urgent. It is sent only if HasUrgency
	// is set, that is to model engines.
	Urgency     int
	HasUrgency  bool
	LastEventID string // ID of the event after which a stream continues
	// CacheSource is the address of another server from which the server copies cached parts of the
	// prompt; "" if it copies none.
	CacheSource string
}

// ResponseInfo is the information that a backend server sends in the head of its response.
type ResponseInfo struct {
	ID     string // ID of the request; empty if the server does not send it
	NotRun bool   // the server guarantees that it did not run the request
	Load   Load
	// UnknownLoad is the load as the server sent it, cut off if it is long, unless its form is known
	// in full. What can be read of it is in Load.
	UnknownLoad string
	// IdleTimeout is how long the server keeps an idle connection open; 0 if it does
	// not send it.
	IdleTimeout clock.Millis
	// Leaving is set if the server says that it leaves and wants no more requests.
	Leaving bool
	// RetryAfter is how long the server wants no requests, if it refuses this one for now; 0
	// if it does not say.
	RetryAfter clock.Millis
	// Limit is how many requests the server takes from all entries together. It says nothing if
	// LimitUnreadable is set.
	Limit           ratelimit.Limit
	LimitUnreadable bool
}

// Load is the load that a backend server reports.
type Load struct {
	HasCounts bool // the numbers of requests are known
	Running   int
	Waiting   int
	Slots     int
	// Slowness is how long work takes on the server at this moment, as a multiple of the usual time; 0
	// if the server does not say.
	Slowness float64
}
