package control

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
)

// Names under the data folder.
const (
	identityFile = "identity.json"
	logFolder    = "log"
)

const (
	probeInterval = 200 * clock.Millisecond
	probeTimeout  = 500 * clock.Millisecond
	// identityLength is the length of the random part of an identity.
	identityLength = 8
)

// open finds out who this member is, opens its log and does the leader's duty
// until ctx ends.
func (c *Control) open(ctx context.Context) {
	id, err := c.identify(ctx)
	if err != nil {
		if ctx.Err() == nil {
			c.options.Logger.Log(event.ControlStartFailed, zap.Error(err))
		}
		return
	}
	c.openLog(id)
	if id.Joining {
		c.start(func() { c.askToJoin(ctx, id) })
	}
	c.leader.run(ctx)
}

func (c *Control) openLog(id wireIdentity) {
	self := LogMember{
		Identity: id.Identity, Name: c.options.Name, Address: c.options.Advertise,
		AvailabilityZone: c.options.AvailabilityZone,
	}
	var l Log = newMemoryLog(c.machine, self)
	c.log.Store(&l)
}

// identify returns the member's identity, which is new for each life of the data
// folder: a member that lost its disk must not vote again under its old identity.
func (c *Control) identify(ctx context.Context) (wireIdentity, error) {
	if err := os.MkdirAll(c.options.Folder, 0o750); err != nil {
		return wireIdentity{}, errors.Wrap(err, "making the data folder")
	}
	id, found, err := readIdentity(c.options.Folder)
	if err != nil || found {
		return id, err
	}
	if c.options.Join || c.groupExists(ctx) {
		id = wireIdentity{Identity: c.options.Name + "-" + uuid.NewString()[:identityLength], Joining: true}
		c.options.Logger.Log(event.MemberJoining, zap.String("member", id.Identity))
	} else {
		id = wireIdentity{Identity: c.options.Name}
	}
	if ctx.Err() != nil {
		return id, errors.WithStack(ctx.Err())
	}
	return id, writeIdentity(c.options.Folder, id)
}

// groupExists waits until every other member has answered, or one has answered
// that the group exists. An empty data folder alone does not tell a first start
// from a lost disk. A group that exists had a quorum, and each election or commit
// is on the disk of at least one other member.
func (c *Control) groupExists(ctx context.Context) bool {
	missing := c.others()
	for ctx.Err() == nil && len(missing) > 0 {
		var silent []Member
		for _, m := range missing {
			group, err := c.peers.members(m.Address)
			if err == nil && group.Formed {
				return true
			}
			if err != nil {
				silent = append(silent, m)
			}
		}
		if len(silent) == 0 {
			return false
		}
		c.options.Logger.Log(event.GroupWaiting, zap.Int("silent", len(silent)))
		c.options.Clock.Sleep(ctx, probeInterval)
	}
	return false
}

// others returns the members of the settings without this process.
func (c *Control) others() []Member {
	return lo.Filter(c.options.Members, func(m Member, _ int) bool { return m.Name != c.options.Name })
}

// askToJoin asks the members in turn until one has added this process as a
// learner.
func (c *Control) askToJoin(ctx context.Context, id wireIdentity) {
	self := wireMember{
		Identity: id.Identity, Name: c.options.Name, Address: c.options.Advertise,
		AvailabilityZone: c.options.AvailabilityZone,
	}
	for ctx.Err() == nil {
		for _, m := range c.others() {
			if c.peers.join(m.Address, self) == nil {
				return
			}
		}
		c.options.Clock.Sleep(ctx, probeInterval)
	}
}

func readIdentity(folder string) (wireIdentity, bool, error) {
	data, err := os.ReadFile(filepath.Join(folder, identityFile))
	if os.IsNotExist(err) {
		return wireIdentity{}, false, nil
	}
	if err != nil {
		return wireIdentity{}, false, errors.Wrap(err, "reading the member's identity")
	}
	var id wireIdentity
	if err := json.Unmarshal(data, &id); err != nil {
		return wireIdentity{}, false, errors.Wrap(err, "decoding the member's identity")
	}
	// The file is written before the log's folder is made. Without that folder
	// the log was lost, or the first start did not get that far; either way a
	// new identity is safe.
	_, err = os.Stat(filepath.Join(folder, logFolder))
	return id, id.Identity != "" && err == nil, nil
}

// writeIdentity makes the identity durable before the member may vote with it.
func writeIdentity(folder string, id wireIdentity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return errors.WithStack(err)
	}
	temporary := filepath.Join(folder, identityFile+".new")
	if err := writeSynced(temporary, data); err != nil {
		return errors.Wrap(err, "writing the member's identity")
	}
	if err := os.Rename(temporary, filepath.Join(folder, identityFile)); err != nil {
		return errors.Wrap(err, "writing the member's identity")
	}
	return errors.Wrap(syncFolder(folder), "writing the member's identity")
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	defer f.Close() //nolint:errcheck // The sync below reports what matters.
	if _, err := f.Write(data); err != nil {
		return err
	}
	return f.Sync()
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer f.Close() //nolint:errcheck // Nothing was written through it.
	return f.Sync()
}
