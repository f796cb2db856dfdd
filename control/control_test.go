package control_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/outcome"
)

// setClass returns a change that sets a class with a latency target of 1 s.
func setClass(t *testing.T, name string, tier class.Tier) configuration.SetClass {
	t.Helper()
	c, err := class.New(name, tier, clock.Second, class.FirstToken)
	if err != nil {
		t.Fatal(err)
	}
	return configuration.SetClass{Class: c}
}

// startMember starts a member that is released at the end of the test.
func startMember(t *testing.T, options control.Options) *control.Control {
	t.Helper()
	options.Clock, options.Logger = clock.New(), event.Discard()
	if options.Folder == "" {
		options.Folder = t.TempDir()
	}
	c, release, err := control.New(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return c
}

func newClient(t *testing.T, token string, addresses ...string) *control.Client {
	t.Helper()
	c, release, err := control.NewClient(control.ClientOptions{Addresses: addresses, Token: token, Clock: clock.New()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return c
}

// Guards against a client whose requests and responses do not match those of
// the API.
func TestOneMember(t *testing.T) {
	t.Parallel()
	controlMember := startMember(t, control.Options{Name: "c1", Listen: "127.0.0.1:0", PeerToken: "p", OperatorToken: "o"})
	operator, entry := newClient(t, "o", controlMember.Address()), newClient(t, "p", controlMember.Address())
	ctx := t.Context()

	accepted := operator.Change(ctx, 0, setClass(t, "clause-query", 1), control.NewIdempotencyKey())
	if got, want := accepted.Answer.Kind, configuration.Accepted; got != want {
		t.Fatalf("change: got %q (%+v), want %q", got, accepted.Reply, want)
	}
	conflicting := operator.Change(ctx, 0, setClass(t, "row-tagging", 4), control.NewIdempotencyKey())
	if got, want := conflicting.Answer.Kind, configuration.Conflict; got != want || len(conflicting.Answer.Differences) != 1 {
		t.Errorf("second change: got %q with %d differences, want %q with 1", got, len(conflicting.Answer.Differences), want)
	}
	if got := entry.Change(ctx, 1, setClass(t, "row-tagging", 4), control.NewIdempotencyKey()); got.Kind != outcome.NotRun || got.Status != 401 {
		t.Errorf("change with a peer's token: got %q and %d, want not_run and 401", got.Kind, got.Status)
	}

	grant, reply := entry.Renew(ctx, lease.Renewal{Entry: "e1", Incarnation: 1})
	if !grant.Granted || grant.Configuration == nil || grant.Revision != 1 || len(grant.Entries) != 1 {
		t.Errorf("renewal: got %+v (%+v), want a grant with revision 1 and one entry", grant, reply)
	}

	key := control.NewIdempotencyKey()
	attempt := claim.Attempt{Owner: claim.Owner{Entry: "e1", Incarnation: 1}, ID: control.NewAttemptID()}
	answer := claim.Answer{Status: 201, Headers: map[string][]string{"Location": {"/1"}}, Body: []byte{0, 1, 255}}
	states := []claim.State{
		entry.Acquire(ctx, key, "hash", attempt).Result.State,
		entry.MarkSent(ctx, key, attempt).Result.State,
		entry.EndAttempt(ctx, key, attempt, claim.Answered, answer).Result.State,
	}
	for i, want := range []claim.State{claim.Claimed, claim.Sent, claim.Answered} {
		if states[i] != want {
			t.Errorf("claim step %d: got %q, want %q", i, states[i], want)
		}
	}
	if got := entry.Lookup(ctx, key); string(got.Result.Answer.Body) != string(answer.Body) || got.Result.Answer.Status != 201 {
		t.Errorf("lookup: got %+v, want the recorded answer", got)
	}
	if history, _ := operator.History(ctx); len(history) != 1 {
		t.Errorf("history: got %d records, want 1", len(history))
	}
	if differences, reply := operator.Diff(ctx, 0, 1); len(differences) != 1 {
		t.Errorf("diff: got %d differences (%+v), want 1", len(differences), reply)
	}
}
