package slot

import (
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// peer is what this entry knows of another one, and what it has to tell it.
type peer struct {
	name     string
	known    bool // was heard and is not lost
	life     uint64
	sequence uint64 // the newest one received
	heardAt  clock.Millis
	view     uint64

	// The peer as a holder of this entry's servers.
	taken   uint64
	stopped uint64
	uses    map[string]ServerUsage
	demands []Demand
	offers  []promise // above taken
	recalls []Recall
	// sentOffer is the highest offer number sent; those above may be withdrawn.
	sentOffer uint64

	// The peer as an owner.
	lastOffer  uint64
	lastRecall uint64
	ready      map[string]bool

	dirty    bool // there is something new to tell
	owes     bool // a message waits for its answer
	sentAt   clock.Millis
	told     []Demand  // with coarse counts
	sent     []sending // the newest that was answered and all later ones
	answered uint64
}

type sending struct {
	sequence uint64
	at       clock.Millis
	reply    bool
}

// maxSent bounds what is remembered of messages to a peer that does not answer.
const maxSent = 1024

func (t *Table) peer(name string) *peer {
	p, ok := t.peers[name]
	if !ok {
		p = &peer{name: name, dirty: true}
		t.peers[name] = p
	}
	return p
}

// silent reports whether the peer has left a message without an answer.
func (p *peer) silent(now clock.Millis) bool {
	if !p.known {
		return true
	}
	for _, s := range p.sent {
		if !s.reply && s.sequence > p.answered {
			return now-s.at > AnswerTimeout
		}
	}
	return false
}

// lose forgets what a silent peer uses. Its sequence numbers stay known, so that
// no old message counts as new.
func (p *peer) lose() {
	p.known, p.uses, p.demands, p.offers, p.recalls, p.ready = false, nil, nil, nil, nil, nil
}

// Receive uses a message from another entry, and reports whether it was new.
func (t *Table) Receive(now clock.Millis, m Message) bool {
	if m.To != t.options.Entry || m.From == t.options.Entry {
		return false
	}
	p := t.peer(m.From)
	if m.Incarnation < p.life || m.Incarnation == p.life && m.Sequence <= p.sequence {
		return false
	}
	if m.Incarnation > p.life {
		t.newLife(p, m.Incarnation)
	}
	p.known, p.sequence, p.heardAt, p.view = true, m.Sequence, now, m.EntriesHash
	p.owes = p.owes || !m.Reply
	if m.ToIncarnation != t.options.Incarnation {
		m.AckedMessage, m.AckedOffer, m.AckedRecall, m.Offers, m.Recalls = 0, 0, 0, nil, nil
	}
	t.hearHolder(now, p, m)
	t.hearOwner(now, p, m)
	t.settle(now)
	return true
}

// newLife forgets the former life of a restarted entry.
func (t *Table) newLife(p *peer, life uint64) {
	*p = peer{name: p.name, life: life, sent: p.sent, answered: p.answered, sentAt: p.sentAt, dirty: true}
	t.held = slices.DeleteFunc(t.held, func(h held) bool { return h.owner == p.name })
}

func (t *Table) hearHolder(now clock.Millis, p *peer, m Message) {
	p.taken, p.stopped = max(p.taken, m.AckedOffer), max(p.stopped, m.AckedRecall)
	p.uses = m.Usage
	p.demands = shift(m.Demands, now)
	p.offers = slices.DeleteFunc(p.offers, func(o promise) bool { return o.Number <= p.taken })
	p.recalls = slices.DeleteFunc(p.recalls, func(r Recall) bool { return r.Number <= p.stopped })
}

func (t *Table) hearOwner(now clock.Millis, p *peer, m Message) {
	p.ready = lo.SliceToMap(m.ReadyServers, func(name string) (string, bool) { return name, true })
	fresh := p.fresh(now, m.AckedMessage)
	p.answered = max(p.answered, m.AckedMessage)
	p.sent = slices.DeleteFunc(p.sent, func(s sending) bool { return s.sequence < p.answered || s.sequence == p.answered && !fresh })
	if !fresh {
		return
	}
	for _, o := range m.Offers {
		if o.Number > p.lastOffer {
			t.accept(now, p, o)
		}
	}
	for _, r := range m.Recalls {
		if r.Number > p.lastRecall {
			p.lastRecall, p.dirty = r.Number, true
			t.stop(r)
		}
	}
}

// fresh reports whether the message that the peer has heard last was sent a
// short time ago.
func (p *peer) fresh(now clock.Millis, heard uint64) bool {
	i := slices.IndexFunc(p.sent, func(s sending) bool { return s.sequence == heard })
	return i >= 0 && now-p.sent[i].at < MaxAckAge
}

// accept holds an offer. An offer of a server that has another owner by now is
// counted as taken and returned by the next message.
func (t *Table) accept(now clock.Millis, p *peer, o Offer) {
	p.lastOffer, p.dirty = o.Number, true
	if s, ok := t.servers[o.Server]; ok && s.owner == p.name {
		t.held = append(t.held, held{promise: promise{Offer: o}, owner: p.name, at: now})
	}
}

// unsent reports whether there are offers that the peer was not told.
func (p *peer) unsent() bool {
	return len(p.offers) > 0 && p.offers[len(p.offers)-1].Number > p.sentOffer
}

// DueMessages returns the messages that should be sent now.
func (t *Table) DueMessages(now clock.Millis) []Message {
	return t.DueMessagesExcept(now, nil)
}

// DueMessagesExcept returns the messages that should be sent now to other entries than
// the busy ones.
func (t *Table) DueMessagesExcept(now clock.Millis, busy map[string]bool) []Message {
	t.Advance(now)
	told := coarse(t.netDemands())
	var messages []Message
	for _, name := range sortedNames(t.peers) {
		p := t.peers[name]
		switch {
		case !slices.Contains(t.entries, name) && !p.known:
			delete(t.peers, name)
		case busy[name]:
		case p.dirty || p.unsent() || now-p.sentAt >= t.interval() || !slices.Equal(p.told, told):
			messages = append(messages, t.message(now, p, false))
		case p.owes:
			messages = append(messages, t.message(now, p, true))
		}
	}
	return messages
}

// Reply returns the answer to a message of a peer.
func (t *Table) Reply(now clock.Millis, name string) Message {
	t.Advance(now)
	return t.message(now, t.peer(name), true)
}

func (t *Table) interval() clock.Millis {
	if len(t.demands) > 0 {
		return DemandInterval
	}
	return IdleInterval
}

func (t *Table) message(now clock.Millis, p *peer, reply bool) Message {
	t.sequence++
	for _, o := range p.offers {
		if o.Number > p.sentOffer {
			p.sentOffer = o.Number
			t.count(o)
		}
	}
	net := t.netDemands()
	p.dirty, p.owes, p.sentAt, p.told = false, false, now, coarse(net)
	p.sent = append(p.sent, sending{sequence: t.sequence, at: now, reply: reply})
	if len(p.sent) > maxSent {
		p.sent = slices.Delete(p.sent, 1, 2)
	}
	return Message{
		From: t.options.Entry, Incarnation: t.options.Incarnation, To: p.name, Sequence: t.sequence, Reply: reply,
		EntriesHash: t.view, ToIncarnation: p.life, AckedMessage: p.sequence,
		AckedOffer: p.lastOffer, AckedRecall: p.lastRecall, Usage: t.uses(p.name), Demands: shift(net, -now),
		Offers:  lo.Map(p.offers, func(o promise, _ int) Offer { return o.Offer }),
		Recalls: slices.Clone(p.recalls), ReadyServers: t.readyServers(now),
	}
}

// manyWaiting is the number of waiting requests from which a change of the
// number is told by the next regular message only. An owner rarely has more free
// slots at once, and a long queue changes with each request.
const manyWaiting = 16

// coarse returns the part of demands whose change is told at once.
func coarse(demands []Demand) []Demand {
	return lo.Map(demands, func(d Demand, _ int) Demand {
		return Demand{Pool: d.Pool, Tier: d.Tier, Waiting: min(d.Waiting, manyWaiting)}
	})
}

// shift converts between local times and durations.
func shift(demands []Demand, by clock.Millis) []Demand {
	return lo.Map(demands, func(d Demand, _ int) Demand {
		d.Deadline, d.UrgentAt, d.StarveAt = d.Deadline+by, d.UrgentAt+by, d.StarveAt+by
		return d
	})
}

func sortedNames[V any](m map[string]V) []string {
	names := lo.Keys(m)
	slices.Sort(names)
	return names
}
