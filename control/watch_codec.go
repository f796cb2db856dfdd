package control

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/delegation"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/metering"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/roster"
)

// wireWatch is the JSON form of WatchRequest.
type wireWatch struct {
	Entry    string       `json:"entry"`
	Revision uint64       `json:"revision"`
	Epoch    uint64       `json:"epoch"`
	Position uint64       `json:"position"`
	MaxWait  clock.Millis `json:"wait_ms"`
	Loads    []wireLoad   `json:"loads,omitempty"`
	Demands  []wireDemand `json:"demands,omitempty"`

	LoadsKept         bool          `json:"loads_kept,omitempty"`
	AcceptsDelegation bool          `json:"accepts_delegation,omitempty"`
	AcceptsCompressed bool          `json:"accepts_compressed,omitempty"`
	Delegate          *wireDelegate `json:"delegate,omitempty"`
	EntryCount        int           `json:"entries,omitempty"`
	Acknowledged      uint64        `json:"acknowledged,omitempty"`
	Heartbeats        wireServers   `json:"heartbeats,omitempty"`

	AcknowledgedRevision uint64 `json:"acknowledged_revision,omitempty"`

	Quarantine      *quarantine.WireReport `json:"quarantine,omitempty"`
	QuarantineKnown gossip.WirePosition    `json:"quarantine_known"`

	Limits        []ratelimit.WireReported `json:"limits,omitempty"`
	LimitsKnown   gossip.WirePosition      `json:"limits_known"`
	VersionsKnown uint64                   `json:"versions_known,omitempty"`
	Share         *wireShareReport         `json:"share,omitempty"`
	Usage         *wireUsageReport         `json:"usage,omitempty"`
}

// wireUsageReport is what a sender that counts usage tells.
type wireUsageReport struct {
	Instances []metering.WireInstance `json:"n,omitempty"`
	TimeOfDay clock.Millis            `json:"t"`
}

func toWireUsageReport(watch WatchRequest) *wireUsageReport {
	if !watch.CountsUsage {
		return nil
	}
	return &wireUsageReport{Instances: metering.ToWire(watch.Usage), TimeOfDay: watch.TimeOfDay}
}

// setUsage sets the fields of a watch; w is nil if the sender counts nothing.
func (w *wireUsageReport) setUsage(watch *WatchRequest) {
	if w != nil {
		watch.CountsUsage, watch.Usage, watch.TimeOfDay = true, metering.FromWire(w.Instances), w.TimeOfDay
	}
}

// wireUsageAnswer is what the answer to a sender that counts usage adds.
type wireUsageAnswer struct {
	Position gossip.WirePosition `json:"position"`
	Next     metering.Window     `json:"next,omitempty"`
	UnixTime clock.Millis        `json:"unix_ms,omitempty"`
}

func toWireUsageAnswer(response WatchResponse) *wireUsageAnswer {
	if response.UsagePosition == (gossip.Position{}) {
		return nil
	}
	return &wireUsageAnswer{Position: gossip.WirePosition(response.UsagePosition), Next: response.UsageNext, UnixTime: response.UnixTime}
}

// setUsage sets the fields of a response; w is nil if the member reports no usage.
func (w *wireUsageAnswer) setUsage(response *WatchResponse) {
	if w != nil {
		response.UsagePosition, response.UsageNext, response.UnixTime = gossip.Position(w.Position), w.Next, w.UnixTime
	}
}

// wireShareReport is the JSON form of ShareReport.
type wireShareReport struct {
	Weight int                 `json:"weight"`
	Held   ratelimit.WireGrant `json:"held"`
}

func toWireShareReport(r *ShareReport) *wireShareReport {
	if r == nil {
		return nil
	}
	return &wireShareReport{Weight: r.Weight, Held: ratelimit.ToWireGrant(r.Held)}
}

func (w *wireShareReport) report() *ShareReport {
	if w == nil {
		return nil
	}
	return &ShareReport{Weight: w.Weight, Held: w.Held.Grant()}
}

// wireDelegate is the JSON form of delegation.Member.
type wireDelegate struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone,omitempty"`
}

// wireDemand is the JSON form of ServiceDemand.
type wireDemand struct {
	Service           string `json:"service"`
	LongPromptTokens  int    `json:"long"`
	ShortPromptTokens int    `json:"short"`
}

func toWireDemands(demands []ServiceDemand) []wireDemand {
	return lo.Map(demands, func(d ServiceDemand, _ int) wireDemand { return wireDemand(d) })
}

func fromWireDemands(wire []wireDemand) []ServiceDemand {
	return lo.Map(wire, func(d wireDemand, _ int) ServiceDemand { return ServiceDemand(d) })
}

// wireLoad is the JSON form of ServerLoad. Its keys are short, because it is sent
// several times a second.
type wireLoad struct {
	Server              string `json:"s"`
	Requests            int    `json:"r"`
	PendingPromptTokens int    `json:"p,omitempty"`
	DecodeCost          int    `json:"d,omitempty"`
	Proven              int    `json:"w,omitempty"`
}

func toWireLoads(loads []ServerLoad) []wireLoad {
	return lo.Map(loads, func(l ServerLoad, _ int) wireLoad { return wireLoad(l) })
}

func fromWireLoads(wire []wireLoad) []ServerLoad {
	return lo.Map(wire, func(l wireLoad, _ int) ServerLoad { return ServerLoad(l) })
}

// wireWatchResponse is the JSON form of WatchResponse.
type wireWatchResponse struct {
	Granted    bool          `json:"granted"`
	Leader     string        `json:"leader,omitempty"`
	Term       uint64        `json:"term"`
	Revision   uint64        `json:"revision"`
	Document   *wireDocument `json:"document,omitempty"`
	Compressed []byte        `json:"document_flate_base64,omitempty"` // in place of Document
	Epoch      uint64        `json:"epoch"`
	Position   uint64        `json:"position"`
	Servers    wireServers   `json:"servers,omitempty"`
	EntryCount int           `json:"entries"`
	Members    []string      `json:"members"`
	Loads      []wireLoad    `json:"loads,omitempty"`
	Demands    []wireDemand  `json:"demands,omitempty"`

	LoadsKept       bool           `json:"loads_kept,omitempty"`
	ConfirmationAge clock.Millis   `json:"confirmation_age_ms,omitempty"`
	Delegates       []wireDelegate `json:"delegates,omitempty"`

	Quarantine         *quarantine.WireReport `json:"quarantine,omitempty"`
	QuarantinePosition gossip.WirePosition    `json:"quarantine_position"`

	Limits         []ratelimit.WireReported `json:"limits,omitempty"`
	LimitsPosition gossip.WirePosition      `json:"limits_position"`
	Versions       *continuation.WireTable  `json:"versions,omitempty"`
	Share          *ratelimit.WireGrant     `json:"share,omitempty"`
	Usage          *wireUsageAnswer         `json:"usage,omitempty"`
}

func encodeWatch(watch WatchRequest) ([]byte, error) {
	data, err := json.Marshal(wireWatch{
		Entry: watch.Entry, Revision: watch.Revision, Epoch: watch.Epoch, Position: watch.Position, MaxWait: watch.MaxWait,
		Loads: toWireLoads(watch.Loads), Demands: toWireDemands(watch.Demands),
		LoadsKept: watch.LoadsKept, AcceptsDelegation: watch.AcceptsDelegation, AcceptsCompressed: watch.AcceptsCompression, Delegate: (*wireDelegate)(watch.Delegate), EntryCount: watch.EntryCount,
		Acknowledged: watch.Acknowledged, AcknowledgedRevision: watch.AcknowledgedRevision, Heartbeats: toWireAnnouncements(watch.Heartbeats),
		Quarantine: quarantine.ToWire(watch.Quarantine), QuarantineKnown: gossip.WirePosition(watch.QuarantineKnown),
		Limits: ratelimit.ToWire(watch.Limits), LimitsKnown: gossip.WirePosition(watch.LimitsKnown), Share: toWireShareReport(watch.Share), VersionsKnown: watch.VersionsKnown,
		Usage: toWireUsageReport(watch),
	})
	return data, errors.WithStack(err)
}

func decodeWatch(data []byte) (WatchRequest, error) {
	var w wireWatch
	if err := json.Unmarshal(data, &w); err != nil {
		return WatchRequest{}, errors.Wrap(err, "decoding a watch")
	}
	heartbeats, refused := fromWireAnnouncements(w.Heartbeats)
	watch := WatchRequest{
		Entry: w.Entry, Revision: w.Revision, Epoch: w.Epoch, Position: w.Position, MaxWait: w.MaxWait,
		Loads: fromWireLoads(w.Loads), Demands: fromWireDemands(w.Demands),
		LoadsKept: w.LoadsKept, AcceptsDelegation: w.AcceptsDelegation, AcceptsCompression: w.AcceptsCompressed, Delegate: (*delegation.Member)(w.Delegate), EntryCount: w.EntryCount,
		Acknowledged: w.Acknowledged, AcknowledgedRevision: w.AcknowledgedRevision, Heartbeats: heartbeats, RefusedHeartbeats: refused,
		Quarantine: w.Quarantine.Report(), QuarantineKnown: gossip.Position(w.QuarantineKnown),
		Limits: ratelimit.FromWire(w.Limits), LimitsKnown: gossip.Position(w.LimitsKnown), Share: w.Share.report(), VersionsKnown: w.VersionsKnown,
	}
	w.Usage.setUsage(&watch)
	return watch, nil
}

// encodeWatchResponse encodes a response. If compressed is not nil, it takes the place of the
// document's body.
func encodeWatchResponse(response WatchResponse, compressed []byte) ([]byte, error) {
	w := wireWatchResponse{
		Granted: response.Granted, Leader: response.Leader, Term: response.Term, Revision: response.Revision, Epoch: response.Epoch, Position: response.Position,
		EntryCount: response.EntryCount, Members: response.Members, Loads: toWireLoads(response.Loads), Demands: toWireDemands(response.Demands),
		Document: (*wireDocument)(response.Document),
		Servers:  lo.Map(response.Servers, func(r roster.Record, _ int) wireServer { return toWireServer(r) }),

		LoadsKept: response.LoadsKept, ConfirmationAge: response.ConfirmationAge,
		Quarantine: quarantine.ToWire(response.Quarantine), QuarantinePosition: gossip.WirePosition(response.QuarantinePosition),
		Limits: ratelimit.ToWire(response.Limits), LimitsPosition: gossip.WirePosition(response.LimitsPosition),
		Delegates: lo.Map(response.Delegates, func(m delegation.Member, _ int) wireDelegate { return wireDelegate(m) }),
		Usage:     toWireUsageAnswer(response),
	}
	if response.Versions != nil {
		w.Versions = lo.ToPtr(continuation.ToWire(*response.Versions))
	}
	if response.Share != nil {
		w.Share = lo.ToPtr(ratelimit.ToWireGrant(*response.Share))
	}
	if compressed != nil {
		w.Document, w.Compressed = nil, compressed
	}
	data, err := json.Marshal(w)
	return data, errors.WithStack(err)
}

func decodeWatchResponse(data []byte) (WatchResponse, error) {
	var w wireWatchResponse
	if err := json.Unmarshal(data, &w); err != nil {
		return WatchResponse{}, errors.Wrap(err, "decoding the answer to a watch")
	}
	document := (*catalog.Document)(w.Document)
	if w.Compressed != nil {
		decompressed, err := catalog.Decompress(w.Revision, w.Compressed, replica.MaxCommandBytes)
		if err != nil {
			return WatchResponse{}, err
		}
		document = &decompressed
	}
	servers, refused := fromWireServers(w.Servers)
	var versions *continuation.Table
	if w.Versions != nil {
		versions = lo.ToPtr(w.Versions.Table())
	}
	var share *ratelimit.Grant
	if w.Share != nil {
		share = lo.ToPtr(w.Share.Grant())
	}
	response := WatchResponse{
		Granted: w.Granted, Leader: w.Leader, Term: w.Term, Revision: w.Revision, Epoch: w.Epoch, Position: w.Position,
		EntryCount: w.EntryCount, Members: w.Members, Loads: fromWireLoads(w.Loads),
		Demands:  fromWireDemands(w.Demands),
		Document: document,
		Servers:  servers,
		Refused:  refused,

		LoadsKept: w.LoadsKept, ConfirmationAge: w.ConfirmationAge,
		Quarantine: w.Quarantine.Report(), QuarantinePosition: gossip.Position(w.QuarantinePosition),
		Limits: ratelimit.FromWire(w.Limits), LimitsPosition: gossip.Position(w.LimitsPosition), Share: share, Versions: versions,
		Delegates: lo.Map(w.Delegates, func(d wireDelegate, _ int) delegation.Member { return delegation.Member(d) }),
	}
	w.Usage.setUsage(&response)
	return response, nil
}
