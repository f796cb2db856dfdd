package control

import (
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/replica"
)

// ShareReport is what an entry or a member reports to get its part of the limits of backend
// servers; see ratelimit.Partition.
type ShareReport struct {
	Weight int             // its demand
	Held   ratelimit.Grant // the newest grant that it has received, with the interval in use
}

// limitShares divides the limits of backend servers among the entries that watch this member: as
// leader among all of them, and otherwise the part that the leader has granted to this member. It
// is safe for concurrent use.
type limitShares struct {
	control   *Control
	member    *ratelimit.Partition // divides the part of this member while it does not lead
	settledAt clock.Millis         // when the leases that a former process of this member has passed on have ended

	mu      sync.Mutex
	term    uint64               // term of leader
	leader  *ratelimit.Partition // divides the whole in a term that this member leads
	granted ratelimit.Holding    // what the leader has granted to this member
}

func newLimitShares(c *Control) *limitShares {
	now, entryLease := c.options.Clock.Now(), lease.WithMargin(c.options.EntryLease)
	s := &limitShares{control: c, member: ratelimit.NewPartition(now, entryLease), settledAt: now + entryLease}
	s.member.SetTotal(ratelimit.Grant{})
	return s
}

// ofTerm returns the partition of a term that this member leads. It is a new one at the begin of
// the term.
func (s *limitShares) ofTerm(term uint64) *ratelimit.Partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil || term != s.term {
		s.leader, s.term = ratelimit.NewPartition(s.control.options.Clock.Now(), lease.WithMargin(s.control.options.EntryLease)), term
	}
	return s.leader
}

// report records what the sender of a watch reports.
func (s *limitShares) report(now clock.Millis, watch WatchRequest) {
	if watch.Share == nil {
		return
	}
	partition := s.member
	if status := s.control.log.Load().Status(); status.Role == replica.Leader {
		partition = s.ofTerm(status.Term)
	}
	partition.Report(now, watch.Entry, watch.Share.Weight, watch.Share.Held)
}

// memberReport returns what this member reports to the leader. It needs no part while all entries
// watch the leader. Until all entries have reported to this process, or their leases have ended, it
// acknowledges no grant: that would give up what a former process of this member has passed on.
func (s *limitShares) memberReport(now clock.Millis, isDelegate bool) *ShareReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &ShareReport{}
	if now >= s.settledAt {
		r.Held = s.granted.Report(now)
	}
	if r.Held.Partition != 0 {
		r.Held.Interval, r.Held.Fraction = s.member.Held(now)
	}
	if isDelegate {
		r.Weight = s.member.Weight(now)
	}
	return r
}

// setGranted stores what the leader has granted to this member, nil if it is of a former build, with
// the end of the leases of the entries that may use it.
func (s *limitShares) setGranted(granted *ratelimit.Grant, until clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.member.SetTotal(s.granted.Set(s.control.options.Clock.Now(), lo.FromPtr(granted), until))
}

// grantTo returns the next grant of a partition to the sender of a watch, or nil if it is of a
// former build.
func grantTo(p *ratelimit.Partition, now clock.Millis, watch WatchRequest) *ratelimit.Grant {
	if watch.Share == nil {
		return nil
	}
	g := p.Grant(now, watch.Entry)
	return &g
}
