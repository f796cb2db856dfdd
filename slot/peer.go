package slot

import (
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// peer is what this entry stores about another entry: the state that the peer has
// reported, and what this entry has sent or still has to send to the peer.
type peer struct {
	name           string
	live           bool // the peer has sent a message and does not count as lost
	incarnation    uint64
	sequence       uint64 // sequence number of the latest message from the peer
	lastReceivedAt clock.Millis
	entriesHash    uint64 // the peer's hash of the entries that hold a lease

	// The peer in its role as a holder of slots on this entry's servers.
	ackedOffer     uint64                 // number of the newest of this entry's offers that the peer has acknowledged
	ackedRecall    uint64                 // number of the newest of this entry's recalls that the peer has acknowledged
	usage          map[string]ServerUsage // slots that the peer uses, by server
	demands        []Demand               // demands of the peer's waiting requests, with times on the local clock
	pendingOffers  []issuedOffer          // offers that the peer has not acknowledged yet
	pendingRecalls []Recall               // recalls that the peer has not acknowledged yet
	// lastSentOffer is the number of the newest offer sent to the peer. Offers with
	// higher numbers can still be withdrawn.
	lastSentOffer uint64

	// The peer in its role as an owner of servers.
	lastProcessedOffer  uint64          // number of the newest of the peer's offers that this entry has processed
	lastProcessedRecall uint64          // number of the newest of the peer's recalls that this entry has processed
	readyServers        map[string]bool // servers whose slots the peer offers at present

	messageDue    bool // this entry's state has changed since the last message to the peer
	replyDue      bool // the peer's latest messages need an answer
	lastSentAt    clock.Millis
	demandSummary []Demand      // result of summarize for the last message to the peer
	sentMessages  []sentMessage // the newest acknowledged one and all later ones
	lastAcked     uint64        // sequence number of the newest message that the peer has acknowledged
}

// sentMessage records when a message was sent to a peer.
type sentMessage struct {
	sequence uint64
	sentAt   clock.Millis
	reply    bool
}

// maxSentMessages bounds sentMessages of a peer that does not answer.
const maxSentMessages = 1024

func (t *Table) peer(name string) *peer {
	p, ok := t.peers[name]
	if !ok {
		p = &peer{name: name, messageDue: true}
		t.peers[name] = p
	}
	return p
}

// unresponsive reports whether the peer is lost, or a message to it was sent more than
// AnswerTimeout ago and is still not acknowledged.
func (p *peer) unresponsive(now clock.Millis) bool {
	if !p.live {
		return true
	}
	for _, s := range p.sentMessages {
		if !s.reply && s.sequence > p.lastAcked {
			return now-s.sentAt > AnswerTimeout
		}
	}
	return false
}

// markLost drops what a peer has reported and been offered, which frees its slots.
// It keeps the incarnation and sequence number, so that an old message that arrives
// late is still dropped.
func (p *peer) markLost() {
	p.live, p.usage, p.demands, p.pendingOffers, p.pendingRecalls, p.readyServers = false, nil, nil, nil, nil, nil
}

// Receive applies a message from another entry. It returns false for a message that
// was dropped, because it is not newer than earlier ones or not meant for this entry.
func (t *Table) Receive(now clock.Millis, m Message) bool {
	if m.To != t.options.Entry || m.From == t.options.Entry {
		return false
	}
	p := t.peer(m.From)
	if m.Incarnation < p.incarnation || m.Incarnation == p.incarnation && m.Sequence <= p.sequence {
		return false
	}
	if m.Incarnation > p.incarnation {
		t.resetPeer(p, m.Incarnation)
	}
	p.live, p.sequence, p.lastReceivedAt, p.entriesHash = true, m.Sequence, now, m.EntriesHash
	p.replyDue = p.replyDue || !m.Reply
	// Numbers that refer to an earlier incarnation of this entry are not valid.
	if m.ToIncarnation != t.options.Incarnation {
		m.AckedMessage, m.AckedOffer, m.AckedRecall, m.Offers, m.Recalls = 0, 0, 0, nil, nil
	}
	t.applyHolderState(now, p, m)
	t.applyOwnerState(now, p, m)
	t.refreshOffers(now)
	return true
}

// resetPeer drops the state of a peer that has restarted with a new incarnation.
func (t *Table) resetPeer(p *peer, incarnation uint64) {
	*p = peer{name: p.name, incarnation: incarnation, sentMessages: p.sentMessages, lastAcked: p.lastAcked, lastSentAt: p.lastSentAt, messageDue: true}
	t.unusedOffers = slices.DeleteFunc(t.unusedOffers, func(offer unusedOffer) bool { return offer.owner == p.name })
}

// applyHolderState applies what a message says about the peer as a holder of slots on
// this entry's servers.
func (t *Table) applyHolderState(now clock.Millis, p *peer, m Message) {
	p.ackedOffer, p.ackedRecall = max(p.ackedOffer, m.AckedOffer), max(p.ackedRecall, m.AckedRecall)
	p.usage = m.Usage
	p.demands = shiftTimes(m.Demands, now)
	p.pendingOffers = slices.DeleteFunc(p.pendingOffers, func(o issuedOffer) bool { return o.Number <= p.ackedOffer })
	p.pendingRecalls = slices.DeleteFunc(p.pendingRecalls, func(r Recall) bool { return r.Number <= p.ackedRecall })
}

// applyOwnerState applies what a message says about the peer as an owner of servers.
// Its offers and recalls are ignored unless the message acknowledges a recent one.
func (t *Table) applyOwnerState(now clock.Millis, p *peer, m Message) {
	p.readyServers = lo.SliceToMap(m.ReadyServers, func(name string) (string, bool) { return name, true })
	ackIsRecent := p.ackIsRecent(now, m.AckedMessage)
	p.lastAcked = max(p.lastAcked, m.AckedMessage)
	p.sentMessages = slices.DeleteFunc(p.sentMessages, func(s sentMessage) bool { return s.sequence < p.lastAcked || s.sequence == p.lastAcked && !ackIsRecent })
	if !ackIsRecent {
		return
	}
	for _, o := range m.Offers {
		if o.Number > p.lastProcessedOffer {
			t.acceptOffer(now, p, o)
		}
	}
	for _, r := range m.Recalls {
		if r.Number > p.lastProcessedRecall {
			p.lastProcessedRecall, p.messageDue = r.Number, true
			t.chooseRequestToStop(r)
		}
	}
}

// ackIsRecent reports whether the message that the peer acknowledges, given by its
// sequence number, was sent less than MaxAckAge ago.
func (p *peer) ackIsRecent(now clock.Millis, acked uint64) bool {
	i := slices.IndexFunc(p.sentMessages, func(s sentMessage) bool { return s.sequence == acked })
	return i >= 0 && now-p.sentMessages[i].sentAt < MaxAckAge
}

// acceptOffer records an offer, so that this entry can use it. If the server has
// another owner by now, the offer is only acknowledged. The next message then does not
// report the slot as used, which returns it to the peer.
func (t *Table) acceptOffer(now clock.Millis, p *peer, o Offer) {
	p.lastProcessedOffer, p.messageDue = o.Number, true
	if s, ok := t.servers[o.Server]; ok && s.owner == p.name {
		t.unusedOffers = append(t.unusedOffers, unusedOffer{issuedOffer: issuedOffer{Offer: o}, owner: p.name, acceptedAt: now})
	}
}

// hasUnsentOffers reports whether there are offers that were not sent to the peer yet.
func (p *peer) hasUnsentOffers() bool {
	return len(p.pendingOffers) > 0 && p.pendingOffers[len(p.pendingOffers)-1].Number > p.lastSentOffer
}

// DueMessages returns the messages to send now.
func (t *Table) DueMessages(now clock.Millis) []Message {
	return t.DueMessagesExcept(now, nil)
}

// DueMessagesExcept returns the messages to send now, except those to busy entries.
func (t *Table) DueMessagesExcept(now clock.Millis, busy map[string]bool) []Message {
	t.ApplyTimeouts(now)
	demandSummary := summarize(t.demandsWithoutOffers())
	var messages []Message
	for _, name := range sortedKeys(t.peers) {
		p := t.peers[name]
		switch {
		case !slices.Contains(t.entries, name) && !p.live:
			delete(t.peers, name)
		case busy[name]:
		case p.messageDue || p.hasUnsentOffers() || now-p.lastSentAt >= t.reportInterval() || !slices.Equal(p.demandSummary, demandSummary):
			messages = append(messages, t.newMessage(now, p, false))
		case p.replyDue:
			messages = append(messages, t.newMessage(now, p, true))
		}
	}
	return messages
}

// Reply returns the answer to a message from the named peer.
func (t *Table) Reply(now clock.Millis, name string) Message {
	t.ApplyTimeouts(now)
	return t.newMessage(now, t.peer(name), true)
}

func (t *Table) reportInterval() clock.Millis {
	if len(t.demands) > 0 {
		return DemandInterval
	}
	return IdleInterval
}

func (t *Table) newMessage(now clock.Millis, p *peer, reply bool) Message {
	t.sequence++
	for _, o := range p.pendingOffers {
		if o.Number > p.lastSentOffer {
			p.lastSentOffer = o.Number
			t.countOffer(o)
		}
	}
	unservedDemands := t.demandsWithoutOffers()
	p.messageDue, p.replyDue, p.lastSentAt, p.demandSummary = false, false, now, summarize(unservedDemands)
	p.sentMessages = append(p.sentMessages, sentMessage{sequence: t.sequence, sentAt: now, reply: reply})
	if len(p.sentMessages) > maxSentMessages {
		p.sentMessages = slices.Delete(p.sentMessages, 1, 2) // keeps the newest acknowledged one
	}
	return Message{
		From: t.options.Entry, Incarnation: t.options.Incarnation, To: p.name, Sequence: t.sequence, Reply: reply,
		EntriesHash: t.entriesHash, ToIncarnation: p.incarnation, AckedMessage: p.sequence,
		AckedOffer: p.lastProcessedOffer, AckedRecall: p.lastProcessedRecall, Usage: t.usage(p.name), Demands: shiftTimes(unservedDemands, -now),
		Offers:  lo.Map(p.pendingOffers, func(o issuedOffer, _ int) Offer { return o.Offer }),
		Recalls: slices.Clone(p.pendingRecalls), ReadyServers: t.readyServerNames(now),
	}
}

// exactWaitingLimit is the number of waiting requests up to which each change of
// the number is reported at once. Above it, changes wait for the next regular
// message: an owner rarely has more free slots at once, and the length of a long
// queue changes with each request.
const exactWaitingLimit = 16

// summarize reduces demands to the part whose changes are reported at once.
func summarize(demands []Demand) []Demand {
	return lo.Map(demands, func(d Demand, _ int) Demand {
		return Demand{Pool: d.Pool, Tier: d.Tier, Waiting: min(d.Waiting, exactWaitingLimit)}
	})
}

// shiftTimes returns the demands with an offset added to their times. It converts
// local times to times relative to now, and back.
func shiftTimes(demands []Demand, offset clock.Millis) []Demand {
	return lo.Map(demands, func(d Demand, _ int) Demand {
		d.Deadline, d.UrgentAt, d.StarvesAt = d.Deadline+offset, d.UrgentAt+offset, d.StarvesAt+offset
		return d
	})
}

func sortedKeys[V any](m map[string]V) []string {
	names := lo.Keys(m)
	slices.Sort(names)
	return names
}
