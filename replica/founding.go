package replica

import (
	"maps"
	"slices"
)

// isFounder reports whether this member started with the list of founding
// members and has seen nothing else yet.
func (c *core) isFounder() bool {
	return c.snapshot.Index == 0 && c.memberships[0].value.votes(c.identity())
}

// founders returns the identities of the founding voters.
func (c *core) founders() []string { return c.memberships[0].value.voters() }

// sayHello asks the other founding members for the lives of their folders. A
// group is founded only when all are known, because a member with an empty folder
// cannot tell a first start from a lost disk.
func (c *core) sayHello() {
	c.lives[c.identity()] = c.vote.FolderID
	for _, identity := range c.founders() {
		if identity != c.identity() {
			c.send(identity, Message{Kind: MessageHello, FolderID: c.vote.FolderID})
		}
	}
	c.tryFound()
}

// onHello answers with the lives that found the group, or with the own life
// while they are not known.
func (c *core) onHello(m Message) {
	if !c.founded {
		c.queue(m.From, Message{Kind: MessageHelloReply, FolderID: c.vote.FolderID})
		return
	}
	c.queue(m.From, Message{Kind: MessageHelloReply, FounderFolderIDs: c.foundingLives()})
}

func (c *core) foundingLives() map[string]string {
	if len(c.vote.FounderFolderIDs) > 0 {
		return c.vote.FounderFolderIDs
	}
	return c.current().value.lives
}

func (c *core) onHelloReply(m Message) {
	if c.founded {
		return
	}
	if len(m.FounderFolderIDs) > 0 {
		if m.FounderFolderIDs[c.identity()] == c.vote.FolderID {
			c.found(m.FounderFolderIDs)
		} else {
			c.outside = true
		}
		return
	}
	c.lives[m.From] = m.FolderID
	c.tryFound()
}

// tryFound founds the group at the founding member with the lowest identity, so
// that there is only one list of lives.
func (c *core) tryFound() {
	founders := c.founders()
	if c.identity() != slices.Min(founders) {
		return
	}
	for _, identity := range founders {
		if c.lives[identity] == "" {
			return
		}
	}
	c.found(maps.Clone(c.lives))
}

func (c *core) found(lives map[string]string) {
	c.founded = true
	c.vote.FounderFolderIDs = lives
	c.dirtyVote = true
}
