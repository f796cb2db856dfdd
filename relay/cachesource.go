package relay

import (
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/affinity"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/roster"
)

const (
	// maxPreferredServers is the number of servers that may be chosen for a cached prompt part: if the
	// first is busy, the second is tried.
	maxPreferredServers = 2
	// maxCopyingServers is that number where a server copies the parts that it lacks.
	maxCopyingServers = 4
	// minCopiedTokens is the number of shared prompt tokens from which a copy takes the server less time
	// than processing them again.
	minCopiedTokens = 200
)

// preferredServers returns up to count servers for a prompt part, the preferred one first.
func preferredServers(part string, servers []*server, count int) []*server {
	return affinity.Preferred(part, servers, count, func(s *server) uint64 { return s.nameHash })
}

// cacheSource returns the address of a server from which the chosen one can copy the shared parts of
// the prompt, or "" if there is none. It is a server that has got the last shared part from this relay,
// or else the one that the other entries most probably choose for it. The servers are those for prompts
// of this length; a server that lacks the parts costs the chosen one a call. The caller holds the lock.
func (f *fleet) cacheSource(now clock.Millis, chosen *server, req requirements, servers []*server) string {
	if !f.copiesCaches(req.service) || req.affinityPartID == "" || req.sharedTokens < minCopiedTokens {
		return ""
	}
	sources := lo.Filter(servers, func(s *server, _ int) bool { return s != chosen && f.isCacheSource(now, s, chosen) })
	preferred := preferredServers(req.affinityPartID, sources, maxCopyingServers)
	for _, s := range preferred {
		if f.promptParts.Holds(now, s.promptCache, req.affinityPartID) {
			return s.record.Address
		}
	}
	if len(preferred) == 0 {
		return ""
	}
	return preferred[0].record.Address
}

// copiesCaches reports whether the engines of a service copy parts of prompts from each other. The caller
// holds the lock.
func (f *fleet) copiesCaches(service string) bool {
	s, ok := f.catalog.Service(service)
	return ok && s.Engine != nil && s.Engine.CopiesCaches
}

// isCacheSource reports whether a server responds and computes its cache as the chosen one does: with the
// same version.
func (f *fleet) isCacheSource(now clock.Millis, s, chosen *server) bool {
	return s.record.Service == chosen.record.Service && s.record.Version == chosen.record.Version && s.record.State == roster.Serving &&
		!s.unresponsive && !s.wrongServer && !s.isSilent(now) && s.blockedUntil <= now
}
