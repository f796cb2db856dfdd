package control_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/replica"
)

// fakeLog is a replicated log that returns the results set by the test.
// proposalResult is the result of Propose, ChangeMember and TransferLeadership,
// barrierResult that of Barrier, and transferredTo is the identity that leadership
// was transferred to.
type fakeLog struct {
	status                        replica.Status
	proposalResult, barrierResult replica.Result
	transferredTo                 string
	machine                       replica.StateMachine // applies proposals at once if set
}

func (l *fakeLog) Propose(_ context.Context, command []byte) replica.Result {
	if l.machine != nil {
		return replica.Result{Kind: replica.Committed, Value: l.machine.Apply(1, command)}
	}
	return l.proposalResult
}
func (l *fakeLog) Barrier(context.Context) replica.Result { return l.barrierResult }
func (l *fakeLog) Receive(replica.Message)                {}
func (l *fakeLog) Status() replica.Status                 { return l.status }

func (l *fakeLog) ChangeMember(context.Context, replica.MemberChange) replica.Result {
	return l.proposalResult
}

func (l *fakeLog) TransferLeadership(_ context.Context, to string) replica.Result {
	l.transferredTo = to
	return l.proposalResult
}

// Guards against an outcome that is more definite than the result of the log, a
// read or a lease from a leader that the log has not confirmed, and a change
// that is reported as not run although it may still be committed.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	leading := replica.Status{Role: replica.Leader, Term: 1, LeaseRemaining: 500, Founded: true}
	leaseExpired := replica.Status{Role: replica.Leader, Term: 1, Founded: true}
	committed, notLeader, unknown := replica.Result{Kind: replica.Committed}, replica.Result{Kind: replica.NotLeader}, replica.Result{Kind: replica.Unknown}
	unreachableLeader := replica.Result{Kind: replica.NotLeader, Leader: "127.0.0.1:1"}
	const change = `POST /v1/configuration/changes {"base_revision":0,"change":{"cancel_stop":{"id":"x"}}}`
	const claim = `POST /v1/claims/send {"key":"k","entry":"e1","incarnation":1,"attempt":"a"}`
	const renew = `POST /v1/leases/renew {"entry":"e1","incarnation":1}`
	tests := []struct {
		name    string
		log     fakeLog
		request string
		status  int
		want    string
	}{
		{"change not confirmed", fakeLog{status: leading, proposalResult: unknown, barrierResult: committed}, change, 503, `"outcome":"unknown"`},
		{"change at a former leader", fakeLog{status: leading, proposalResult: notLeader, barrierResult: committed}, change, 503, `"outcome":"not_run"`},
		{"new leader cannot be reached", fakeLog{status: leading, proposalResult: unreachableLeader, barrierResult: committed}, change, 503, `"outcome":"not_run"`},
		{"claim not confirmed", fakeLog{status: leading, proposalResult: unknown, barrierResult: committed}, claim, 503, `"outcome":"unknown"`},
		{"answer cannot be decoded", fakeLog{status: leading, proposalResult: committed, barrierResult: committed}, change, 503, `"outcome":"unknown"`},
		{"read not confirmed", fakeLog{status: leading, proposalResult: committed, barrierResult: unknown}, "GET /v1/configuration ", 503, `"outcome":"not_run"`},
		{"read at a former leader", fakeLog{status: leading, proposalResult: committed, barrierResult: notLeader}, "GET /v1/configuration ", 503, `"outcome":"not_run"`},
		{"lookup at a former leader", fakeLog{status: leading, proposalResult: committed, barrierResult: notLeader}, strings.Replace(claim, "send", "lookup", 1), 503, `"outcome":"not_run"`},
		{"renewal", fakeLog{status: leading, proposalResult: committed, barrierResult: committed}, renew, 200, `"granted":true`},
		{"renewal without leader lease", fakeLog{status: leaseExpired, proposalResult: committed, barrierResult: committed}, renew, 200, `"granted":false`},
		{"renewal at a follower", fakeLog{status: replica.Status{Term: 1, Founded: true}, proposalResult: committed, barrierResult: committed}, renew, 503, `"outcome":"not_run"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			member := startMember(t, control.Options{Name: "c1", Listen: "127.0.0.1:0", OpenLog: func(replica.Options) (control.Log, func(), error) {
				return &tt.log, func() {}, nil
			}})
			parts := strings.SplitN(tt.request, " ", 3)
			status, body := request(t, parts[0], "http://"+member.Address()+parts[1], "", parts[2], "Idempotency-Key", "k")
			if status != tt.status || !strings.Contains(body, tt.want) {
				t.Errorf("got %d %s, want %d %s", status, body, tt.status, tt.want)
			}
		})
	}
}

// Guards against a graceful stop that does not transfer leadership and so
// causes an election, or that transfers it to a learner or to a voter whose log
// is behind.
func TestStopTransfersLeadership(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		role replica.Role
		want string
	}{{"leader", replica.Leader, "c"}, {"follower", replica.Follower, ""}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &fakeLog{status: replica.Status{
				Identity: "a", Role: tt.role,
				Members:  []replica.Member{{Identity: "a", Voter: true}, {Identity: "b", Voter: true}, {Identity: "c", Voter: true}, {Identity: "d"}},
				Progress: map[string]replica.Progress{"b": {MatchIndex: 5}, "c": {MatchIndex: 7}, "d": {MatchIndex: 9}},
			}}
			member := startMember(t, control.Options{Name: "a", Listen: "127.0.0.1:0", OpenLog: func(replica.Options) (control.Log, func(), error) {
				return l, func() {}, nil
			}})
			if err := member.Stop(t.Context()); err != nil {
				t.Error(err)
			}
			if got := l.transferredTo; got != tt.want {
				t.Errorf("leadership transferred to %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a client that ignores that an earlier try may have taken
// effect, gives up after a member that cannot answer, or repeats a request that
// was rejected.
func TestClientOutcomes(t *testing.T) {
	t.Parallel()
	const notRun, unknown, noAnswer = "not_run", "unknown", "" // for noAnswer, the connection is closed without an answer
	tests := []struct {
		name    string
		answers []string // one for each try; the last one is repeated
		want    outcome.Kind
	}{
		{"answered", []string{"answered"}, outcome.Answered},
		{"answered by a later try", []string{notRun, noAnswer, unknown, "answered"}, outcome.Answered},
		{"never run", []string{notRun}, outcome.NotRun},
		{"no answer, then not run", []string{noAnswer, notRun}, outcome.Unknown},
		{"unknown, then not run", []string{unknown, notRun}, outcome.Unknown},
		{"refused", []string{"refused"}, outcome.NotRun},
		{"no answer, then refused", []string{noAnswer, "refused"}, outcome.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var tries atomic.Int64
			keys := sync.Map{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				try := int(tries.Add(1))
				keys.Store(r.Header.Get("Idempotency-Key"), true)
				switch answer := tt.answers[min(try, len(tt.answers))-1]; answer {
				case noAnswer:
					panic(http.ErrAbortHandler)
				case "answered":
					_, _ = w.Write([]byte(`{"accepted":true,"kind":"accepted","revision":1}`))
				case "refused":
					w.WriteHeader(http.StatusBadRequest)
					_, _ = w.Write([]byte(`{"error":{"outcome":"not_run"}}`))
				default:
					w.WriteHeader(http.StatusServiceUnavailable)
					_, _ = w.Write([]byte(`{"error":{"outcome":"` + answer + `"}}`))
				}
			}))
			defer server.Close()
			client, release, err := control.NewClient(control.ClientOptions{
				Addresses: []string{server.Listener.Addr().String()}, Clock: clock.New(), CallTimeout: clock.Second,
			})
			if err != nil {
				t.Fatal(err)
			}
			defer release()
			if got := client.Change(t.Context(), 0, setClassTarget(1), "k"); got.Kind != tt.want {
				t.Errorf("got %+v, want %q", got.Reply, tt.want)
			}
			if _, sent := keys.LoadAndDelete("k"); !sent {
				t.Errorf("the key was not sent")
			}
			keys.Range(func(key, _ any) bool { t.Errorf("another key was sent: %v", key); return true })
			if got := int(tries.Load()); strings.Contains(tt.name, "refused") && got > len(tt.answers) {
				t.Errorf("got %d tries of a refused request, want %d", got, len(tt.answers))
			}
		})
	}
}
