package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/samber/lo"

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

const (
	// zoneCount is the number of availability zones. Each has one control member.
	zoneCount    = 3
	startTimeout = 20 * clock.Second
	pollInterval = 50 * clock.Millisecond
)

// Options configures a site. An address with port 0 selects a free port.
type Options struct {
	Entries  []string // addresses
	Engines  []Server
	Services []Server
	// Engine holds the speed and the sizes of all engines. New sets their names,
	// addresses, models, clock and logger.
	Engine standin.EngineOptions
	// Entry holds the policy and the limits of all entries. New sets their names,
	// availability zones, addresses, control clients, clock and logger.
	Entry   entry.Options
	Classes []class.Class
	Clock   clock.Clock
	Logger  event.Logger
}

// Server is a stand-in engine or service. Offers lists its models or services.
type Server struct {
	Name, Address string
	Offers        []string
}

// Site is a running site.
type Site struct {
	options  Options
	folder   string   // folder with the data of the control members; removed at the end
	control  []string // addresses of the control members
	client   *control.Client
	entries  []string // addresses
	services []*standin.Service
	cleanups []func() // called in reverse order
}

// New starts a site and waits until every entry answers. The returned function
// stops it and removes its data.
func New(ctx context.Context, options Options) (*Site, func(), error) {
	s := &Site{options: options}
	steps := []func() error{
		s.makeFolder,
		s.startControl,
		func() error { return s.setClasses(ctx) },
		s.startEntries,
		s.startEngines,
		s.startServices,
		func() error { return s.awaitReady(ctx) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			s.release()
			return nil, nil, err
		}
	}
	return s, s.release, nil
}

// Entries returns the addresses of the entries.
func (s *Site) Entries() []string {
	return s.entries
}

// Runs returns how often the services ran the call with an idempotency key.
func (s *Site) Runs(key string) int {
	return lo.SumBy(s.services, func(v *standin.Service) int { return v.State().Runs[key] })
}

// release calls the clean-up functions in reverse order.
func (s *Site) release() {
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

func (s *Site) addCleanup(f func()) {
	s.cleanups = append(s.cleanups, f)
}

func (s *Site) makeFolder() error {
	folder, err := os.MkdirTemp("", "galenaslip-site-")
	if err != nil {
		return errors.Wrap(err, "cannot create a temporary folder")
	}
	s.folder = folder
	s.addCleanup(func() { _ = os.RemoveAll(folder) })
	return nil
}

func zoneName(i int) string {
	return fmt.Sprintf("az-%d", i%zoneCount+1)
}

// startControl starts one member in each availability zone. Each member must know the
// addresses of the others at its start, so all ports are chosen first.
func (s *Site) startControl() error {
	var members []control.Member
	for i := range zoneCount {
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
			Folder: filepath.Join(s.folder, m.Name), Members: members, Clock: s.options.Clock, Logger: s.options.Logger,
		})
		if err != nil {
			return errors.Wrapf(err, "cannot start %s", m.Name)
		}
		s.addCleanup(release)
	}
	client, release, err := control.NewClient(control.ClientOptions{Addresses: s.control, Clock: s.options.Clock})
	if err != nil {
		return errors.Wrap(err, "cannot make a control client")
	}
	s.client = client
	s.addCleanup(release)
	return nil
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "cannot find a free port")
	}
	defer l.Close() //nolint:errcheck // Only the port was needed.
	return l.Addr().String(), nil
}

// setClasses waits until the control group answers and sets the request classes.
func (s *Site) setClasses(ctx context.Context) error {
	current, reply := s.client.Configuration(ctx)
	for reply.Kind != outcome.Answered {
		if !s.options.Clock.Sleep(ctx, pollInterval) {
			return errors.New("the control group did not answer")
		}
		current, reply = s.client.Configuration(ctx)
	}
	revision := current.Revision()
	for _, c := range s.options.Classes {
		r := s.client.Change(ctx, revision, configuration.SetClass{Class: c}, control.NewIdempotencyKey())
		if r.Kind != outcome.Answered || r.Answer.Kind != configuration.Accepted {
			return errors.Errorf("class %s was not accepted: %s %s", c.Name(), r.Message, r.Answer.Reason)
		}
		revision = r.Answer.Revision
	}
	return nil
}

func (s *Site) startEntries() error {
	for i, address := range s.options.Entries {
		client, release, err := control.NewClient(control.ClientOptions{Addresses: s.control, Clock: s.options.Clock})
		if err != nil {
			return errors.Wrap(err, "cannot make a control client")
		}
		s.addCleanup(release)
		o := s.options.Entry
		o.Name, o.AvailabilityZone, o.Listen, o.Control = fmt.Sprintf("entry-%d", i+1), zoneName(i), address, client
		o.Clock, o.Logger = s.options.Clock, s.options.Logger
		e, release, err := entry.New(o)
		if err != nil {
			return errors.Wrap(err, "cannot start an entry")
		}
		s.addCleanup(release)
		s.entries = append(s.entries, e.Address())
	}
	return nil
}

func (s *Site) startEngines() error {
	for i, v := range s.options.Engines {
		o := s.options.Engine
		o.Name, o.Listen, o.Models = v.Name, v.Address, v.Offers
		o.Announce = standin.Announce{Entries: s.entries, AvailabilityZone: zoneName(i)}
		o.Clock, o.Logger = s.options.Clock, s.options.Logger
		_, release, err := standin.NewEngine(o)
		if err != nil {
			return errors.Wrapf(err, "cannot start stand-in engine %s", v.Name)
		}
		s.addCleanup(release)
	}
	return nil
}

func (s *Site) startServices() error {
	for i, v := range s.options.Services {
		service, release, err := standin.NewService(standin.ServiceOptions{
			Name: v.Name, Listen: v.Address, Services: v.Offers,
			Announce: standin.Announce{Entries: s.entries, AvailabilityZone: zoneName(i)},
			Clock:    s.options.Clock, Logger: s.options.Logger,
		})
		if err != nil {
			return errors.Wrapf(err, "cannot start stand-in service %s", v.Name)
		}
		s.services = append(s.services, service)
		s.addCleanup(release)
	}
	return nil
}

// awaitReady waits until each entry answers a call of each service and a request to
// each model.
func (s *Site) awaitReady(ctx context.Context) error {
	c := caller.New()
	deadline := s.options.Clock.Now() + startTimeout
	for _, address := range s.entries {
		for !s.isReady(c, address) {
			if s.options.Clock.Now() > deadline || !s.options.Clock.Sleep(ctx, pollInterval) {
				return errors.Errorf("entry %s is not ready after %d ms", address, startTimeout)
			}
		}
	}
	return nil
}

// allOffers returns the models or services of all servers, each once.
func allOffers(servers []Server) []string {
	return lo.Uniq(lo.FlatMap(servers, func(v Server, _ int) []string { return v.Offers }))
}

// isReady reports whether the entry at an address answers a call of each service and
// a request to each model.
func (s *Site) isReady(c *caller.Caller, address string) bool {
	class := s.options.Classes[0].Name()
	calls := lo.EveryBy(allOffers(s.options.Services), func(name string) bool {
		r, err := c.Call(caller.Request{
			Entry: address, Class: class, Workspace: "site", Method: http.MethodGet, Path: "/v1/services/" + name + "/ready",
		})
		return err == nil && r.Outcome == outcome.Answered
	})
	return calls && lo.EveryBy(allOffers(s.options.Engines), func(model string) bool {
		q, err := caller.Chat(address, class, "site", model, "ready? [tokens=1]", false)
		if err != nil {
			return false
		}
		r, err := c.ChatUnstreamed(q)
		return err == nil && r.Outcome == outcome.Answered
	})
}
