package replica

import (
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/storage"
)

// RecoveryGuard identifies the state that the operator expects to recover from. It prevents a
// recovery at the wrong member and a second recovery of the same group.
type RecoveryGuard struct {
	Identity string // identity of the surviving member
	Epoch    uint64 // membership epoch that the recovery replaces
}

// Recover makes the stopped member in options.Folder the only voter of a new membership
// epoch. It is meant for a group that has lost its quorum permanently. Committed entries
// that this member doesn't have are lost, and its uncommitted entries become committed.
// Members of earlier epochs are refused from then on and have to join again. An
// interrupted recovery can be repeated with the same guard.
func Recover(options Options, guard RecoveryGuard) error {
	options = withDefaults(options)
	j, state, release, err := storage.Open(journalOptions(options))
	if err != nil {
		return err
	}
	defer release()
	c, err := newCore(options.Clock.Now(), coreOptionsOf(options), state)
	if err != nil {
		return err
	}
	if err := checkGuard(c, state, guard); err != nil {
		return err
	}
	if err := c.recover(j, options, guard.Epoch+1); err != nil {
		return err
	}
	options.Log(event.MemberRecovered, zap.String("identity", guard.Identity), zap.Uint64("epoch", guard.Epoch+1))
	return nil
}

// checkGuard returns an error if the folder's state differs from what the operator expects.
func checkGuard(c *core, state storage.State, guard RecoveryGuard) error {
	if state.Empty {
		return errors.New("replica: the folder is empty; there is nothing to recover")
	}
	if guard.Identity != c.identity() {
		return errors.Errorf("replica: the folder belongs to identity %q, not to %q", c.identity(), guard.Identity)
	}
	// An interrupted recovery may have written the new membership entry without the
	// vote. In that case the membership before that entry is checked.
	epochs := c.memberships
	for i := len(epochs) - 1; i >= 0; i-- {
		if epochs[i].value.epoch == guard.Epoch {
			return c.checkRecoverable(epochs[i].value)
		}
		if epochs[i].value.epoch != guard.Epoch+1 || c.vote.Epoch != guard.Epoch {
			break
		}
	}
	return errors.Errorf("replica: the membership is in epoch %d, not %d", c.current().value.epoch, guard.Epoch)
}

// checkRecoverable refuses a recovery at a member that isn't a voter, and so may lack many
// committed entries, or whose group was never founded.
func (c *core) checkRecoverable(m membership) error {
	if !m.votes(c.identity()) {
		return errors.Errorf("replica: identity %q is not a voter", c.identity())
	}
	if !c.founded {
		return errors.New("replica: the group was never founded; start all founding members")
	}
	return nil
}

// recover writes the new membership as an entry of a new term, then the vote with the new
// epoch. New refuses a folder in which only the entry was written.
func (c *core) recover(j *storage.Journal, o Options, epoch uint64) error {
	current := c.current().value
	if current.epoch != epoch {
		self, _ := current.find(c.identity())
		self.Identity, self.Name, self.Address, self.Voter = c.identity(), o.Name, o.Address, true
		next := membership{epoch: epoch, members: []Member{self}, founderFolderIDs: current.founderFolderIDs}
		entry := storage.Entry{
			Index: c.log.last() + 1, Term: c.vote.Term + 1,
			Kind: entryMembership, Data: encodeMembership(next),
		}
		if err := j.Append([]storage.Entry{entry}); err != nil {
			return err
		}
	}
	vote := c.vote
	vote.Term, vote.VotedFor, vote.Epoch = vote.Term+1, c.identity(), epoch
	return j.SaveVote(vote)
}
