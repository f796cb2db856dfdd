package lease

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
)

// maxModels is the maximum number of demands in a renewal. The largest planned
// installation has 36 models.
const maxModels = 1024

// wireDemand is the JSON form of Demand.
type wireDemand struct {
	Model         string `json:"model"`
	Waiting       int    `json:"waiting"`
	Servers       int    `json:"servers"`
	WaitingByTier []int  `json:"tiers,omitempty"`
}

// wireRenewal is the JSON form of Renewal.
type wireRenewal struct {
	Entry            string       `json:"entry"`
	Incarnation      uint64       `json:"incarnation"`
	Address          string       `json:"address"`
	AvailabilityZone string       `json:"availability_zone"`
	Revision         uint64       `json:"revision"`
	Leaving          bool         `json:"leaving"`
	Claims           int          `json:"claims"`
	Demands          []wireDemand `json:"models,omitempty"`
	EntriesVersion   uint64       `json:"entries_version,string"`
}

// wireEntry is the JSON form of Entry.
type wireEntry struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
}

// wireGrant is the JSON form of Grant.
type wireGrant struct {
	Granted        bool            `json:"granted"`
	Duration       clock.Millis    `json:"lease_ms"`
	Term           uint64          `json:"term"`
	Revision       uint64          `json:"revision"`
	Configuration  json.RawMessage `json:"configuration,omitempty"`
	Entries        []wireEntry     `json:"entries,omitempty"`
	EntriesVersion uint64          `json:"entries_version,string"`
}

// EncodeRenewal returns the renewal as JSON.
func EncodeRenewal(r Renewal) ([]byte, error) {
	data, err := json.Marshal(wireRenewal{
		Entry: r.Entry, Incarnation: r.Incarnation, Address: r.Address, AvailabilityZone: r.AvailabilityZone,
		Revision: r.Revision, Leaving: r.Leaving, Claims: r.Claims, EntriesVersion: r.EntriesVersion,
		Demands: lo.Map(r.Demands, func(d Demand, _ int) wireDemand { return wireDemand(d) }),
	})
	return data, errors.WithStack(err)
}

// DecodeRenewal decodes a renewal from JSON. It returns an error for an invalid
// entry name, too many models or tiers, or a negative number of waiting
// requests.
func DecodeRenewal(data []byte) (Renewal, error) {
	var w wireRenewal
	if err := json.Unmarshal(data, &w); err != nil {
		return Renewal{}, errors.Wrap(err, "decoding a lease renewal")
	}
	if !class.ValidName(w.Entry) {
		return Renewal{}, errors.Errorf("invalid entry name %q", w.Entry)
	}
	if len(w.Demands) > maxModels {
		return Renewal{}, errors.Errorf("%d models in a renewal: want at most %d", len(w.Demands), maxModels)
	}
	r := Renewal{
		Entry: w.Entry, Incarnation: w.Incarnation, Address: w.Address, AvailabilityZone: w.AvailabilityZone,
		Revision: w.Revision, Leaving: w.Leaving, Claims: w.Claims, EntriesVersion: w.EntriesVersion,
	}
	for _, d := range w.Demands {
		if err := d.validate(); err != nil {
			return Renewal{}, err
		}
		r.Demands = append(r.Demands, Demand(d))
	}
	return r, nil
}

// validate checks the number of tiers and that no number of waiting requests is
// negative.
func (d wireDemand) validate() error {
	if len(d.WaitingByTier) > int(class.LowestTier) {
		return errors.Errorf("%d tiers of model %q: want at most %d", len(d.WaitingByTier), d.Model, class.LowestTier)
	}
	for _, waiting := range append([]int{d.Waiting}, d.WaitingByTier...) {
		if waiting < 0 {
			return errors.Errorf("%d waiting requests of model %q: want 0 or more", waiting, d.Model)
		}
	}
	return nil
}

// EncodeGrant returns the grant as JSON.
func EncodeGrant(g Grant) ([]byte, error) {
	w := wireGrant{
		Granted: g.Granted, Duration: g.Duration, Term: g.Term, Revision: g.Revision, EntriesVersion: g.EntriesVersion,
		Entries: lo.Map(g.Entries, func(e Entry, _ int) wireEntry { return wireEntry(e) }),
	}
	if g.Configuration != nil {
		encoded, err := configuration.Encode(*g.Configuration)
		if err != nil {
			return nil, err
		}
		w.Configuration = encoded
	}
	data, err := json.Marshal(w)
	return data, errors.WithStack(err)
}

// DecodeGrant decodes a grant from JSON. It returns an error for an invalid
// configuration.
func DecodeGrant(data []byte) (Grant, error) {
	var w wireGrant
	if err := json.Unmarshal(data, &w); err != nil {
		return Grant{}, errors.Wrap(err, "decoding a lease grant")
	}
	g := Grant{Granted: w.Granted, Duration: w.Duration, Term: w.Term, Revision: w.Revision, EntriesVersion: w.EntriesVersion}
	for _, e := range w.Entries {
		g.Entries = append(g.Entries, Entry(e))
	}
	if len(w.Configuration) == 0 || string(w.Configuration) == "null" {
		return g, nil
	}
	c, err := configuration.Decode(w.Configuration)
	if err != nil {
		return Grant{}, err
	}
	g.Configuration = &c
	return g, nil
}
