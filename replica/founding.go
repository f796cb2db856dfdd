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
			c.send(identity, Message{Kind: MessageHello, FolderID: c.vote.FolderID})
		}
	}
	c.tryFoundGroup()
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
