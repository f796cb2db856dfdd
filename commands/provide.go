package commands

import (
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/setting"
)

// readTokens reads the bearer tokens from their files. The check of the settings
// has already validated the files.
func readTokens(t setting.Tokens) (entry.Tokens, error) {
	operator, err := setting.ReadToken(t.OperatorFile)
	if err != nil {
		return entry.Tokens{}, err
	}
	server, err := setting.ReadToken(t.ServerFile)
	if err != nil {
		return entry.Tokens{}, err
	}
	peer, err := setting.ReadToken(t.PeerFile)
	return entry.Tokens{Operator: operator, Server: server, Peer: peer}, err
}

// provideControlClient makes an entry's client of the control group.
func provideControlClient(i do.Injector) (*control.Client, error) {
	settings := do.MustInvoke[setting.Entry](i)
	tokens, err := readTokens(settings.Tokens)
	if err != nil {
		return nil, err
	}
	client, _, err := control.NewClient(control.ClientOptions{
		Addresses: settings.ControlAddresses,
		Token:     tokens.Peer,
		Clock:     do.MustInvoke[clock.Clock](i),
	})
	return client, err
}

// provideEntry starts an entry from its settings.
func provideEntry(i do.Injector) (*entry.Entry, error) {
	settings := do.MustInvoke[setting.Entry](i)
	tokens, err := readTokens(settings.Tokens)
	if err != nil {
		return nil, err
	}
	e, _, err := entry.New(entry.Options{
		Name:             settings.Name,
		AvailabilityZone: settings.AvailabilityZone,
		Listen:           settings.Listen,
		Advertise:        settings.Advertise,
		Control:          do.MustInvoke[*control.Client](i),
		Peers:            settings.Peers,
		Policy:           entry.Policy(settings.Policy),
		SlotLeases:       settings.SlotLeases,
		Tokens:           tokens,
		Limits: entry.Limits{
			BodyBytes:   settings.MaxBodyBytes,
			HeaderBytes: settings.MaxHeaderBytes,
			MaxWaiting:  settings.QueueCapacity,
		},
		Timeouts: entry.Timeouts{
			ReadTimeout: settings.SilenceTimeout,
			Call:        settings.CallTimeout,
			StopWait:    settings.StopWait,
		},
		RetryPercentage: settings.RetryPercentage,
		Clock:           do.MustInvoke[clock.Clock](i),
		Logger:          do.MustInvoke[event.Logger](i),
	})
	return e, err
}

// provideControl starts a control member from its settings.
func provideControl(i do.Injector) (*control.Control, error) {
	settings := do.MustInvoke[setting.Control](i)
	tokens, err := readTokens(settings.Tokens)
	if err != nil {
		return nil, err
	}
	member, _, err := control.New(control.Options{
		Name:             settings.Name,
		AvailabilityZone: settings.AvailabilityZone,
		Listen:           settings.Listen,
		Advertise:        settings.Advertise,
		Folder:           settings.DataFolder,
		Members: lo.Map(settings.Members, func(m setting.Member, _ int) control.Member {
			return control.Member(m)
		}),
		Join:                settings.Join,
		OperatorToken:       tokens.Operator,
		PeerToken:           tokens.Peer,
		ModelLoadsPerMinute: settings.ModelLoadsPerMinute,
		Clock:               do.MustInvoke[clock.Clock](i),
		Logger:              do.MustInvoke[event.Logger](i),
	})
	return member, err
}
