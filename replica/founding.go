package replica

import (
	"maps"
	"slices"
)

// isFounder reports whether this member is in the list of founding voters that it started
// with and has no snapshot yet.
func (c *core) isFounder() bool {
	return c.snapshot.Index == 0 && c.memberships[0].value.votes(c.identity())
}

// founders returns the identities of the founding voters.
func (c *core) founders() []string { return c.memberships[0].value.voters() }

// sendHellos asks the other founding members for their folder IDs. The group is founded
// only when all of them are known, because a member with an empty folder cannot tell its
// first start from a lost disk.
func (c *core) sendHellos() {
	c.reportedFolderIDs[c.identity()] = c.vote.FolderID
	for _, identity := range c.founders() {
		if identity != c.identity() {
			c.send(identity, Message{Kind: MessageHello, FolderID: c.vote.FolderID, Members: c.vote.Founders})
		}
	}
	c.tryFoundGroup()
}

// replaceFounder makes this member the founding member that a message asks for its folder ID, if
// that has its name and address, and reports whether it did. A founding member that has lost its
// disk before the group was founded may be started again without the list of founding members; the
// others wait for its folder ID. It has a new folder ID, as after any loss of the disk, so that a
// group that was founded with the former one excludes it.
func (c *core) replaceFounder(m Message) bool {
	if m.Kind != MessageHello || len(m.Members) == 0 || !c.hasNoGroup() {
		return false
	}
	founding, err := decodeMembership(m.Members)
	if err != nil || !founding.votes(m.To) || !founding.votes(m.From) {
		return false
	}
	if self, _ := founding.find(m.To); self.Name != c.options.self.Name || self.Address != c.options.self.Address {
		return false
	}
	c.vote.Identity, c.vote.Epoch, c.vote.Founders = m.To, founding.epoch, m.Members
	c.options.self.Identity = m.To
	c.memberships = []indexedMembership{{value: founding}}
	c.founded, c.voteChanged = false, true
	return true
}

// hasNoGroup reports whether this member was started with an empty folder, without founding
// members, and has not heard from a leader since. A member whose former files were set aside was in
// a group.
func (c *core) hasNoGroup() bool {
	return c.vote.Epoch == 0 && c.vote.Term == 0 && len(c.vote.Founders) == 0 && c.snapshot.Index == 0 && c.log.last() == 0 && !c.hasSetAsideFiles
}

// onHello answers with the folder IDs of all founding members, or with this member's own
// ID until the group is founded.
func (c *core) onHello(m Message) {
	if !c.founded {
		c.sendAfterWrite(m.From, Message{Kind: MessageHelloReply, FolderID: c.vote.FolderID})
		return
	}
	c.sendAfterWrite(m.From, Message{Kind: MessageHelloReply, FounderFolderIDs: c.agreedFolderIDs()})
}

// agreedFolderIDs returns the founding members' folder IDs from the stored vote or, for a
// member that joined later, from the membership.
func (c *core) agreedFolderIDs() map[string]string {
	if len(c.vote.FounderFolderIDs) > 0 {
		return c.vote.FounderFolderIDs
	}
	return c.current().value.founderFolderIDs
}

func (c *core) onHelloReply(m Message) {
	if c.founded {
		return
	}
	if len(m.FounderFolderIDs) > 0 {
		if m.FounderFolderIDs[c.identity()] == c.vote.FolderID {
			c.foundGroup(m.FounderFolderIDs)
		} else {
			c.excluded = true
		}
		return
	}
	c.reportedFolderIDs[m.From] = m.FolderID
	c.tryFoundGroup()
}

// tryFoundGroup founds the group if all folder IDs are known. Only the founding member
// with the lowest identity does so, so that all members get the same list.
func (c *core) tryFoundGroup() {
	founders := c.founders()
	if c.identity() != slices.Min(founders) {
		return
	}
	for _, identity := range founders {
		if c.reportedFolderIDs[identity] == "" {
			return
		}
	}
	c.foundGroup(maps.Clone(c.reportedFolderIDs))
}

func (c *core) foundGroup(folderIDs map[string]string) {
	c.founded = true
	c.vote.FounderFolderIDs = folderIDs
	c.voteChanged = true
}
