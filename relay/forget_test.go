package relay_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/roster"
)

// Guards against servers of former leaders' lists that a relay keeps for ever, because no leader says
// that they are gone.
func TestUnlistedServersAreForgotten(t *testing.T) {
	const leaders = 50
	s := newFixture(t, newBackend(t, func(req receivedRequest) { respondOK(req, "ran") }))
	for i := range leaders {
		s.relay.Update(s.clock.Now(), control.WatchResponse{
			Granted: true, Revision: 1, Epoch: uint64(10 + i), EntryCount: 1, Share: wholeShare(),
			Servers: []roster.Record{{Announcement: roster.Announcement{
				Server: fmt.Sprint("crashed-", i), Service: "s", Address: "127.0.0.1:1", Slots: 4, State: roster.Serving, StartedAt: 1, Sequence: 1,
			}}},
		})
		s.advanceToNextCheck(30 * clock.Second)
	}
	// One leader in 30 s, and a server that no leader lists is kept for ten minutes.
	if got, want := len(s.relay.State().Servers), 22; got > want {
		t.Errorf("servers after %d leaders: got %d, want at most %d", leaders, got, want)
	}
}
