package control

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/metering"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/placement"
	"github.com/galenaslip/galenaslip/roster"
)

// command is the content of one log entry: a configuration change, a claim
// command, a catalog document, changes of the table of versions or departures of
// servers. Exactly one of change, claim, document, versions and departures is set;
// baseRevision and idempotencyKey belong to change.
type command struct {
	proposedAt     clock.Millis // time of day at the leader that proposed the command
	change         configuration.Change
	baseRevision   uint64
	idempotencyKey string
	claim          claim.Command
	document       *catalog.Document
	versions       []continuation.Change
	departures     []roster.Announcement
	usage          *metering.Command
}

// wireCommand is the JSON form of command.
type wireCommand struct {
	ProposedAt     clock.Millis    `json:"at_ms"`
	Change         json.RawMessage `json:"change,omitempty"`
	BaseRevision   uint64          `json:"base_revision,omitempty"`
	IdempotencyKey string          `json:"key,omitempty"`
	Claim          json.RawMessage `json:"claim,omitempty"`

	Document *wireDocument             `json:"document,omitempty"`
	Versions []continuation.WireChange `json:"versions,omitempty"`

	Departures wireServers           `json:"departures,omitempty"`
	Usage      *metering.WireCommand `json:"usage,omitempty"`
}

// wireChangeRequest is the body of a configuration change request.
type wireChangeRequest struct {
	BaseRevision uint64          `json:"base_revision"`
	Change       json.RawMessage `json:"change"`
}

// wireMember is a member of the control group in the members API. SilentFor is
// the time since the last message from the member, DiskFailingFor the time for
// which its disk has taken no writes, and MissingEntries the number of committed
// log entries that it lacks.
type wireMember struct {
	Identity         string       `json:"identity"`
	Name             string       `json:"name"`
	Address          string       `json:"address"`
	AvailabilityZone string       `json:"availability_zone"`
	Voter            bool         `json:"voter"`
	Leader           bool         `json:"leader"`
	SilentFor        clock.Millis `json:"silent_ms"`
	DiskFailingFor   clock.Millis `json:"disk_failing_ms"`
	MissingEntries   uint64       `json:"behind"`
}

// wireMembers is the response of the members API.
type wireMembers struct {
	Term    uint64       `json:"term"`
	Leader  string       `json:"leader"`
	Members []wireMember `json:"members"`
}

// wireError is the body of an error response.
type wireError struct {
	Error wireErrorDetails `json:"error"`
}

type wireErrorDetails struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Param   string         `json:"param,omitempty"`
	Code    outcome.Reason `json:"code"`
	Outcome outcome.Kind   `json:"outcome"`
}

func encodeCommand(c command) ([]byte, error) {
	w := wireCommand{ProposedAt: c.proposedAt, BaseRevision: c.baseRevision, IdempotencyKey: c.idempotencyKey}
	var err error
	if c.change != nil {
		if w.Change, err = configuration.EncodeChange(c.change); err != nil {
			return nil, err
		}
	}
	if c.claim != nil {
		if w.Claim, err = claim.EncodeCommand(c.claim); err != nil {
			return nil, err
		}
	}
	w.Document = (*wireDocument)(c.document)
	w.Versions = lo.Map(c.versions, func(c continuation.Change, _ int) continuation.WireChange { return continuation.ToWireChange(c) })
	w.Departures = toWireAnnouncements(c.departures)
	if c.usage != nil {
		w.Usage = lo.ToPtr(metering.ToWireCommand(*c.usage))
	}
	data, err := json.Marshal(w)
	return data, errors.WithStack(err)
}

func decodeCommand(data []byte) (command, error) {
	var w wireCommand
	if err := json.Unmarshal(data, &w); err != nil {
		return command{}, errors.Wrap(err, "decoding a command")
	}
	c := command{proposedAt: w.ProposedAt, baseRevision: w.BaseRevision, idempotencyKey: w.IdempotencyKey}
	var err error
	if len(w.Change) > 0 {
		c.change, err = configuration.DecodeChange(w.Change)
	}
	if err == nil && len(w.Claim) > 0 {
		c.claim, err = claim.DecodeCommand(w.Claim)
	}
	c.document = (*catalog.Document)(w.Document)
	c.versions = lo.Map(w.Versions, func(w continuation.WireChange, _ int) continuation.Change { return w.Change() })
	c.departures, _ = fromWireAnnouncements(w.Departures)
	if w.Usage != nil {
		c.usage = lo.ToPtr(w.Usage.Command())
	}
	if err == nil && c.change == nil && c.claim == nil && c.document == nil && len(c.versions) == 0 && len(c.departures) == 0 && c.usage == nil {
		err = errors.New("command contains no change, claim, document, versions, departures or usage")
	}
	return c, err
}

func decodeChangeRequest(data []byte) (command, error) {
	var w wireChangeRequest
	if err := json.Unmarshal(data, &w); err != nil {
		return command{}, errors.Wrap(err, "decoding a change")
	}
	change, err := configuration.DecodeChange(w.Change)
	return command{change: change, baseRevision: w.BaseRevision}, err
}

func encodeChangeRequest(change configuration.Change, baseRevision uint64) ([]byte, error) {
	encoded, err := configuration.EncodeChange(change)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(wireChangeRequest{BaseRevision: baseRevision, Change: encoded})
	return data, errors.WithStack(err)
}

func decodeMember(data []byte) (wireMember, error) {
	var w wireMember
	if err := json.Unmarshal(data, &w); err != nil {
		return w, errors.Wrap(err, "decoding a member")
	}
	return w, nil
}

// wireClaimRequest is the body of a claim request. Each claim call uses a part
// of the fields.
type wireClaimRequest struct {
	Key         string           `json:"key"`
	BodyHash    string           `json:"body_hash,omitempty"`
	Entry       string           `json:"entry"`
	Incarnation uint64           `json:"incarnation"`
	Attempt     string           `json:"attempt,omitempty"`
	State       claim.State      `json:"state,omitempty"`
	Answer      *wireClaimAnswer `json:"answer,omitempty"`
}

// wireClaimAnswer is the answer to a once-only call that a claim records.
type wireClaimAnswer struct {
	Status  int                 `json:"status"`
	Headers map[string][]string `json:"headers,omitempty"`
	Body    []byte              `json:"body_base64,omitempty"`
}

// wireOrder is the body of an order that is sent to an engine.
type wireOrder struct {
	OrderID      string         `json:"order_id"`
	FencingToken uint64         `json:"fencing_token"`
	Kind         placement.Kind `json:"kind"`
	Model        string         `json:"model"`
	Role         backend.Role   `json:"role,omitempty"`
}

func encodeOrder(order placement.Order) ([]byte, error) {
	data, err := json.Marshal(wireOrder{OrderID: order.ID, FencingToken: order.FencingToken, Kind: order.Kind, Model: order.Model, Role: order.Role})
	return data, errors.WithStack(err)
}

// wirePlacement is the part of /debug/state about the placement of models on
// engines. Rounds counts the planning rounds since the process started.
type wirePlacement struct {
	Rounds  uint64        `json:"rounds"`
	Pending []wirePending `json:"pending"`
}

// wirePending is an order whose effect no engine has reported yet.
type wirePending struct {
	wireOrder
	Server string `json:"server"`
}

func toWirePlacement(v placementView) wirePlacement {
	return wirePlacement{Rounds: v.rounds, Pending: lo.Map(v.pending, func(o placement.Order, _ int) wirePending {
		return wirePending{
			wireOrder: wireOrder{OrderID: o.ID, FencingToken: o.FencingToken, Kind: o.Kind, Model: o.Model, Role: o.Role},
			Server:    o.Server,
		}
	})}
}
