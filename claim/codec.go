package claim

import (
	"cmp"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/outcome"
)

type wireAnswer struct {
	Status  int                 `json:"status"`
	Headers map[string][]string `json:"headers,omitempty"`
	Body    []byte              `json:"body_base64,omitempty"`
}

type wireCommand struct {
	Kind               string      `json:"kind,omitempty"`
	Key                string      `json:"key,omitempty"`
	BodyHash           string      `json:"body_hash,omitempty"`
	Entry              string      `json:"entry"`
	Incarnation        uint64      `json:"incarnation"`
	Attempt            string      `json:"attempt,omitempty"`
	State              State       `json:"state,omitempty"`
	Answer             *wireAnswer `json:"answer,omitempty"`
	ExpiredEntry       string      `json:"gone_entry,omitempty"`
	ExpiredIncarnation uint64      `json:"gone_incarnation,omitempty"`
}

type wireResult struct {
	State  State          `json:"state"`
	Owned  bool           `json:"owned"`
	Answer *wireAnswer    `json:"answer,omitempty"`
	Reason outcome.Reason `json:"reason"`
}

// The values of wireCommand.Kind.
const (
	kindAcquire     = "acquire"
	kindMarkSent    = "send"
	kindEndAttempt  = "settle"
	kindExpireOwner = "owner_gone"
)

// EncodeCommand returns the command as JSON.
func EncodeCommand(command Command) ([]byte, error) {
	var w wireCommand
	switch c := command.(type) {
	case Acquire:
		w = toWireCommand(kindAcquire, c.Key, c.Attempt)
		w.BodyHash, w.ExpiredEntry, w.ExpiredIncarnation = c.BodyHash, c.ExpiredOwner.Entry, c.ExpiredOwner.Incarnation
	case MarkSent:
		w = toWireCommand(kindMarkSent, c.Key, c.Attempt)
	case EndAttempt:
		w = toWireCommand(kindEndAttempt, c.Key, c.Attempt)
		w.State, w.Answer = c.State, toWireAnswer(c.Answer)
	case ExpireOwner:
		w = toWireCommand(kindExpireOwner, "", Attempt{Owner: c.Owner})
	default:
		return nil, errors.Errorf("unknown command %T", command)
	}
	data, err := json.Marshal(w)
	return data, errors.WithStack(err)
}

// DecodeCommand decodes a command from JSON and checks it. It does not check the
// key; Machine.Apply does.
func DecodeCommand(data []byte) (Command, error) {
	var w wireCommand
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrap(err, "decoding a claim command")
	}
	attempt := Attempt{Owner: Owner{Entry: w.Entry, Incarnation: w.Incarnation}, ID: w.Attempt}
	if attempt.Entry == "" || (attempt.ID == "" && w.Kind != kindExpireOwner) {
		return nil, errors.Errorf("%s without entry or attempt", w.Kind)
	}
	switch w.Kind {
	case kindAcquire:
		expired := Owner{Entry: w.ExpiredEntry, Incarnation: w.ExpiredIncarnation}
		return Acquire{Key: w.Key, BodyHash: w.BodyHash, Attempt: attempt, ExpiredOwner: expired}, nil
	case kindMarkSent:
		return MarkSent{Key: w.Key, Attempt: attempt}, nil
	case kindEndAttempt:
		if w.State != Answered && w.State != NotRun && w.State != Unknown {
			return nil, errors.Errorf("a claim cannot be settled as %q", w.State)
		}
		return EndAttempt{Key: w.Key, Attempt: attempt, State: w.State, Answer: w.Answer.answer()}, nil
	case kindExpireOwner:
		return ExpireOwner{Owner: attempt.Owner}, nil
	}
	return nil, errors.Errorf("unknown claim command %q", w.Kind)
}

// EncodeResult returns the result as JSON.
func EncodeResult(r Result) ([]byte, error) {
	data, err := json.Marshal(wireResult{State: r.State, Owned: r.Owned, Answer: toWireAnswer(r.Answer), Reason: r.Reason})
	return data, errors.WithStack(err)
}

// DecodeResult decodes a result from JSON and checks its state.
func DecodeResult(data []byte) (Result, error) {
	var w wireResult
	if err := json.Unmarshal(data, &w); err != nil {
		return Result{}, errors.Wrap(err, "decoding a claim result")
	}
	if w.State != None && w.State != "" && !w.State.Valid() {
		return Result{}, errors.Errorf("unknown claim state %q", w.State)
	}
	return Result{State: w.State, Owned: w.Owned, Answer: w.Answer.answer(), Reason: w.Reason}, nil
}

func toWireCommand(kind, key string, a Attempt) wireCommand {
	return wireCommand{Kind: kind, Key: key, Entry: a.Entry, Incarnation: a.Incarnation, Attempt: a.ID}
}

// toWireAnswer returns nil for an empty answer, so that JSON omits it.
func toWireAnswer(a Answer) *wireAnswer {
	if a.Status == 0 && len(a.Headers) == 0 && len(a.Body) == 0 {
		return nil
	}
	return &wireAnswer{Status: a.Status, Headers: a.Headers, Body: a.Body}
}

func (w *wireAnswer) answer() Answer {
	if w == nil {
		return Answer{}
	}
	return Answer{Status: w.Status, Headers: w.Headers, Body: w.Body}
}

func compareOwners(a, b Owner) int {
	return cmp.Or(strings.Compare(a.Entry, b.Entry), cmp.Compare(a.Incarnation, b.Incarnation))
}
