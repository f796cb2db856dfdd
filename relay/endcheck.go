package relay

import (
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/roster"
)

// logServerEnd returns the function that logs the ends of servers.
func logServerEnd(logger event.Logger) func(run quarantine.ServerRun, lostRequests int) {
	return func(run quarantine.ServerRun, lostRequests int) {
		logger.Log(event.ServerEnded, zap.String("server", run.Server), zap.Int64("started_ms", run.StartedAt), zap.Int("requests", lostRequests))
	}
}

// checkListening finds out whether a run of a server accepts connections. A new connection is
// kept for the next request.
func (f *fleet) checkListening(s *server, run quarantine.ServerRun) quarantine.Listening {
	if !f.isRun(s, run) {
		return quarantine.ListeningUnknown // the address may be that of a later run
	}
	conn, err := f.dial(s, dialTimeout)
	switch {
	case err == nil:
		f.putIdle(conn, run.StartedAt, 0)
		return quarantine.ListeningYes
	case errors.Is(err, syscall.ECONNREFUSED):
		f.recordRefusedConnection(s, run)
		return quarantine.ListeningNo
	}
	return quarantine.ListeningUnknown
}

// checkStillListening is checkListening for a server that nothing points to the end of. An idle
// connection that is open spares a new one.
func (f *fleet) checkStillListening(s *server, run quarantine.ServerRun) quarantine.Listening {
	if f.hasLiveConn(s, run) {
		return quarantine.ListeningYes
	}
	return f.checkListening(s, run)
}

// hasLiveConn reports whether a run of a server keeps an idle connection open.
func (f *fleet) hasLiveConn(s *server, run quarantine.ServerRun) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.run() == run && len(s.idle) > 0 && s.idle[len(s.idle)-1].alive()
}

// isRun reports whether a run is the newest known one of a server.
func (f *fleet) isRun(s *server, run quarantine.ServerRun) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.run() == run
}

// recordRefusedConnection records that nothing listens at the address of a server, so that no
// request is sent there for a while.
func (f *fleet) recordRefusedConnection(s *server, run quarantine.ServerRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.run() != run {
		return
	}
	s.discardIdle()
	f.startBackOff(f.clock.Now(), s)
}

// servingAddress returns the address of a server, and whether it serves: a server that leaves
// ends by its own decision.
func (f *fleet) servingAddress(s *server) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.record.Address, s.record.State == roster.Serving && !s.withdrawal.Leaving()
}
