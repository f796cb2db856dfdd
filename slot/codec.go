package slot

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// maxListItems bounds each list of a message. It is more than the number of servers
// and of slots that the entries of one site share.
const maxListItems = 1 << 16

type wireMessage struct {
	Entry         string                     `json:"entry"`
	Incarnation   uint64                     `json:"incarnation"`
	To            string                     `json:"to"`
	Sequence      uint64                     `json:"sequence"`
	Reply         bool                       `json:"reply,omitempty"`
	EntriesHash   string                     `json:"view"` // hexadecimal, because many JSON parsers round large numbers
	ToIncarnation uint64                     `json:"to_incarnation"`
	AckedMessage  uint64                     `json:"heard"`
	AckedOffer    uint64                     `json:"taken"`
	AckedRecall   uint64                     `json:"stopped"`
	Usage         map[string]wireServerUsage `json:"uses,omitempty"`
	Demands       []wireDemand               `json:"demands,omitempty"`
	Offers        []wireOffer                `json:"offers,omitempty"`
	Recalls       []wireRecall               `json:"recalls,omitempty"`
	ReadyServers  []string                   `json:"ready,omitempty"`
}

type wireServerUsage struct {
	Slots     int                `json:"slots"`
	Resumable map[class.Tier]int `json:"resumable,omitempty"`
	Stopping  int                `json:"leaving,omitempty"`
}

type wireDemand struct {
	Pool      string       `json:"pool"`
	Tier      class.Tier   `json:"tier"`
	Waiting   int          `json:"waiting"`
	Deadline  clock.Millis `json:"deadline_in_ms"`
	UrgentAt  clock.Millis `json:"urgent_in_ms"`
	StarvesAt clock.Millis `json:"starves_in_ms"`
}

type wireOffer struct {
	Number uint64     `json:"number"`
	Server string     `json:"server"`
	Pool   string     `json:"pool"`
	Tier   class.Tier `json:"tier"`
}

type wireRecall struct {
	Number uint64     `json:"number"`
	Server string     `json:"server"`
	Tier   class.Tier `json:"tier"`
}

// Encode returns a message as JSON.
func Encode(m Message) ([]byte, error) {
	data, err := json.Marshal(wireMessage{
		Entry: m.From, Incarnation: m.Incarnation, To: m.To, Sequence: m.Sequence, Reply: m.Reply,
		EntriesHash: strconv.FormatUint(m.EntriesHash, 16), ToIncarnation: m.ToIncarnation, AckedMessage: m.AckedMessage,
		AckedOffer: m.AckedOffer, AckedRecall: m.AckedRecall, ReadyServers: m.ReadyServers,
		Usage:   lo.MapValues(m.Usage, func(u ServerUsage, _ string) wireServerUsage { return wireServerUsage(u) }),
		Demands: lo.Map(m.Demands, func(d Demand, _ int) wireDemand { return wireDemand(d) }),
		Offers:  lo.Map(m.Offers, func(o Offer, _ int) wireOffer { return wireOffer(o) }),
		Recalls: lo.Map(m.Recalls, func(r Recall, _ int) wireRecall { return wireRecall(r) }),
	})
	return data, errors.Wrap(err, "encode slot message")
}

// Decode parses and validates a message.
func Decode(data []byte) (Message, error) {
	var w wireMessage
	if err := json.Unmarshal(data, &w); err != nil {
		return Message{}, errors.Wrap(err, "decode slot message")
	}
	entriesHash, err := strconv.ParseUint(w.EntriesHash, 16, 64)
	if err != nil {
		return Message{}, errors.Wrapf(err, "decode slot message: invalid view %q", w.EntriesHash)
	}
	m := Message{
		From: w.Entry, Incarnation: w.Incarnation, To: w.To, Sequence: w.Sequence, Reply: w.Reply,
		EntriesHash: entriesHash, ToIncarnation: w.ToIncarnation, AckedMessage: w.AckedMessage,
		AckedOffer: w.AckedOffer, AckedRecall: w.AckedRecall, ReadyServers: w.ReadyServers,
		Usage:   lo.MapValues(w.Usage, func(u wireServerUsage, _ string) ServerUsage { return ServerUsage(u) }),
		Demands: lo.Map(w.Demands, func(d wireDemand, _ int) Demand { return Demand(d) }),
		Offers:  lo.Map(w.Offers, func(o wireOffer, _ int) Offer { return Offer(o) }),
		Recalls: lo.Map(w.Recalls, func(r wireRecall, _ int) Recall { return Recall(r) }),
	}
	return m, errors.Wrap(m.validate(), "decode slot message")
}

func (m Message) validate() error {
	switch {
	case !class.ValidName(m.From) || !class.ValidName(m.To):
		return errors.Errorf("invalid entries %q and %q", m.From, m.To)
	case max(len(m.Usage), len(m.Demands), len(m.Offers), len(m.Recalls), len(m.ReadyServers)) > maxListItems:
		return errors.Errorf("a list has more than %d items", maxListItems)
	}
	for name, u := range m.Usage {
		if u.Slots < 0 || u.Slots > maxListItems || u.Stopping < 0 {
			return errors.Errorf("invalid use of server %q: %d slots, %d leaving", name, u.Slots, u.Stopping)
		}
	}
	for _, d := range m.Demands {
		if !d.Tier.Valid() || d.Waiting < 0 {
			return errors.Errorf("invalid demand of pool %q: tier %d, %d waiting", d.Pool, d.Tier, d.Waiting)
		}
	}
	for _, o := range m.Offers {
		if !o.Tier.Valid() {
			return errors.Errorf("invalid offer %d of server %q: tier %d", o.Number, o.Server, o.Tier)
		}
	}
	return nil
}
