package entry

import "github.com/galenaslip/galenaslip/class"

// jobSet holds jobs by request identifier. It counts them by tier, so that a pool
// whose jobs all have one tier is not searched for a job to preempt.
type jobSet struct {
	jobs  map[string]*job
	tiers [class.LowestTier + 1]int // number of jobs, by tier
}

func newJobSet() *jobSet {
	return &jobSet{jobs: map[string]*job{}}
}

func (s *jobSet) add(j *job) {
	if _, ok := s.jobs[j.callerRequest.id]; !ok {
		s.tiers[j.callerRequest.class.Tier()]++
	}
	s.jobs[j.callerRequest.id] = j
}

func (s *jobSet) remove(j *job) {
	if _, ok := s.jobs[j.callerRequest.id]; ok {
		s.tiers[j.callerRequest.class.Tier()]--
		delete(s.jobs, j.callerRequest.id)
	}
}

func (s *jobSet) len() int { return len(s.jobs) }

// outranks reports whether any job in s has a higher tier than any job in others.
func (s *jobSet) outranks(others *jobSet) bool {
	for tier := class.HighestTier; tier <= class.LowestTier; tier++ {
		if s.tiers[tier] == 0 {
			continue
		}
		for lower := tier + 1; lower <= class.LowestTier; lower++ {
			if others.tiers[lower] > 0 {
				return true
			}
		}
		return false
	}
	return false
}
