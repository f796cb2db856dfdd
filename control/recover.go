package control

import (
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/replica"
)

// Recover makes the stopped member with these options the only voter of a new
// membership epoch. It is for a group that has lost its quorum permanently:
// changes and claims that were committed only on the lost members are lost.
// Identity and epoch must match those of the surviving member, so that the
// command cannot be run on the wrong member or twice.
func Recover(options Options, identity string, epoch uint64) error {
	err := replica.Recover(replica.Options{
		Name:         options.Name,
		Address:      options.Advertise,
		Folder:       filepath.Join(options.Folder, logFolder),
		Clock:        options.Clock,
		StateMachine: NewMachine(),
		Log:          options.Logger.Log,
	}, replica.RecoveryGuard{Identity: identity, Epoch: epoch})
	return errors.Wrapf(err, "cannot recover from %s", options.Folder)
}
