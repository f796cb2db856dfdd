package delegation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a control member that answers entries on behalf of the leader.
type Member struct {
	Address          string // IP:port for other processes
	AvailabilityZone string
}

// Preferred returns the members in the order in which an entry asks them: those of its own
// availability zone first, because their messages stay in the zone. Within a zone the order
// is a rendezvous hash of entry and member: the entries spread over the members, the loss
// of one moves only its own entries, and it moves them to different members.
func Preferred(entry, zone string, members []Member) []Member {
	type candidate struct {
		member Member
		remote int // 1 for a member of another availability zone
		rank   uint64
	}
	candidates := make([]candidate, len(members))
	for i, m := range members {
		candidates[i] = candidate{member: m, rank: xxhash.Sum64String(entry + "\x00" + m.Address)}
		if m.AvailabilityZone != zone {
			candidates[i].remote = 1
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.remote, b.remote), cmp.Compare(b.rank, a.rank))
	})
	ordered := make([]Member, len(members))
	for i, c := range candidates {
		ordered[i] = c.member
	}
	return ordered
}
