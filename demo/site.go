package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/caller"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/standin"
)

// Sizes of the demo's site.
const (
	zones       = 3
	entries     = 4
	engines     = 3
	modelName   = "m-small"
	serviceName = "ledger"
)

const (
	tokenTime   = 5 * clock.Millisecond
	prefillRate = 50_000 // tokens a second
	engineSlots = 8
	startLimit  = 10 * clock.Second
	pollPause   = 50 * clock.Millisecond
)

// site is everything that runs.
type site struct {
	clock    clock.Clock
	logger   event.Logger
	control  []string
	client   *control.Client
	entries  []string
	ledger   *standin.Service
	releases []func()
}

func (s *site) release() {
	for i := len(s.releases) - 1; i >= 0; i-- {
		s.releases[i]()
	}
}

func (s *site) onRelease(f func()) {
	s.releases = append(s.releases, f)
}

// newSite starts the processes. The caller calls release also after an error.
func newSite(ctx context.Context, c clock.Clock, logger event.Logger, folder string) (*site, error) {
	s := &site{clock: c, logger: logger}
	steps := []func() error{
		func() error { return s.startControl(folder) },
		func() error { return s.setClasses(ctx) },
		s.startEntries,
		s.startServers,
		func() error { return s.awaitReady(ctx) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return s, err
		}
	}
	return s, nil
}

func zoneName(i int) string {
	return fmt.Sprintf("az-%d", i%zones+1)
}

// startControl starts one member in each availability zone. The members must
// know each other's ports, so free ones are taken first.
func (s *site) startControl(folder string) error {
	var members []control.Member
	for i := range zones {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		members = append(members, control.Member{Name: fmt.Sprintf("control-%d", i+1), Address: address, AvailabilityZone: zoneName(i)})
		s.control = append(s.control, address)
	}
	for _, m := range members {
		_, release, err := control.New(control.Options{
			Name: m.Name, AvailabilityZone: m.AvailabilityZone, Listen: m.Address,
			Folder: filepath.Join(folder, m.Name), Members: members, Clock: s.clock, Logger: s.logger,
		})
		if err != nil {
			return errors.Wrapf(err, "cannot start %s", m.Name)
		}
		s.onRelease(release)
	}
	client, release, err := control.NewClient(control.ClientOptions{Addresses: s.control, Clock: s.clock})
	if err != nil {
		return errors.Wrap(err, "cannot make a control client")
	}
	s.client = client
	s.onRelease(release)
	return nil
}

// freeAddress returns a loopback address with a port that the system picked.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "cannot find a free port")
	}
	defer l.Close() //nolint:errcheck // The port was all that was needed.
	return l.Addr().String(), nil
}

type classSpec struct {
	name    string
	tier    class.Tier
	target  clock.Millis
	measure class.Measure
}

var classSpecs = []classSpec{
	{"clause-query", 1, 580 * clock.Millisecond, class.FirstToken},
	{"posting", 1, 2 * clock.Second, class.Completion},
	{"lookup", 2, 1 * clock.Second, class.Completion},
	{"treaty-digest", 3, 8 * clock.Hour, class.Completion},
	{"row-tagging", 4, 30 * clock.Second, class.Completion},
}

func (s *site) setClasses(ctx context.Context) error {
	current, reply := s.client.Configuration(ctx)
	for reply.Kind != outcome.Answered {
		if !s.clock.Sleep(ctx, pollPause) {
			return errors.New("the control group did not answer")
		}
		current, reply = s.client.Configuration(ctx)
	}
	revision := current.Revision()
	for _, spec := range classSpecs {
		built, err := class.New(spec.name, spec.tier, spec.target, spec.measure)
		if err != nil {
			return err
		}
		r := s.client.Change(ctx, revision, configuration.SetClass{Class: built}, control.NewKey())
		if r.Kind != outcome.Answered || r.Answer.Kind != configuration.Accepted {
			return errors.Errorf("class %s was not accepted: %s %s", spec.name, r.Message, r.Answer.Reason)
		}
		revision = r.Answer.Revision
	}
	return nil
}

func (s *site) startEntries() error {
	for i := range entries {
		client, release, err := control.NewClient(control.ClientOptions{Addresses: s.control, Clock: s.clock})
		if err != nil {
			return errors.Wrap(err, "cannot make a control client")
		}
		s.onRelease(release)
		e, release, err := entry.New(entry.Options{
			Name: fmt.Sprintf("entry-%d", i+1), AvailabilityZone: zoneName(i), Listen: "127.0.0.1:0",
			Control: client, Policy: entry.PolicyReal, Clock: s.clock, Logger: s.logger,
		})
		if err != nil {
			return errors.Wrap(err, "cannot start an entry")
		}
		s.onRelease(release)
		s.entries = append(s.entries, e.Address())
	}
	return nil
}

func (s *site) startServers() error {
	for i := range engines {
		_, release, err := standin.NewEngine(standin.EngineOptions{
			Name: fmt.Sprintf("engine-%d", i+1), Listen: "127.0.0.1:0", Models: []string{modelName},
			Announce: standin.Announce{Entries: s.entries, AvailabilityZone: zoneName(i)},
			Clock:    s.clock, Logger: s.logger,
			TokenTime: tokenTime, PrefillRate: prefillRate, Slots: engineSlots,
		})
		if err != nil {
			return errors.Wrap(err, "cannot start a stand-in engine")
		}
		s.onRelease(release)
	}
	ledger, release, err := standin.NewService(standin.ServiceOptions{
		Name: "ledger-1", Listen: "127.0.0.1:0", Services: []string{serviceName},
		Announce: standin.Announce{Entries: s.entries, AvailabilityZone: zoneName(0)},
		Clock:    s.clock, Logger: s.logger,
	})
	if err != nil {
		return errors.Wrap(err, "cannot start the stand-in ledger")
	}
	s.ledger = ledger
	s.onRelease(release)
	return nil
}

// awaitReady waits until each entry knows every class and every server.
func (s *site) awaitReady(ctx context.Context) error {
	c := caller.New()
	deadline := s.clock.Now() + startLimit
	for _, address := range s.entries {
		for !s.ready(c, address) {
			if s.clock.Now() > deadline || !s.clock.Sleep(ctx, pollPause) {
				return errors.Errorf("entry %s is not ready after %d ms", address, startLimit)
			}
		}
	}
	return nil
}

// ready sends the requests that the demo relies on: a lookup and a short chat.
func (s *site) ready(c *caller.Caller, address string) bool {
	r, err := c.Call(caller.Request{
		Entry: address, Class: "lookup", Workspace: "demo", Method: http.MethodGet, Path: "/v1/services/" + serviceName + "/ready",
	})
	if err != nil || r.Outcome != outcome.Answered {
		return false
	}
	q, err := caller.Chat(address, "clause-query", "demo", modelName, "ready? [tokens=1]", false)
	if err != nil {
		return false
	}
	r, err = c.Whole(q)
	return err == nil && r.Outcome == outcome.Answered
}
