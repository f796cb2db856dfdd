package control_test

import (
	"context"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/replica"
)

// fakeLog is a log that answers as the test says.
type fakeLog struct {
	status           replica.Status
	proposal, barred replica.Result
}

func (l *fakeLog) Propose(context.Context, []byte) replica.Result { return l.proposal }
func (l *fakeLog) Barrier(context.Context) replica.Result         { return l.barred }
func (l *fakeLog) Receive(replica.Message)                        {}
func (l *fakeLog) Status() replica.Status                         { return l.status }

func (l *fakeLog) ChangeMember(context.Context, replica.MemberChange) replica.Result {
	return l.proposal
}

func (l *fakeLog) TransferLeadership(context.Context, string) replica.Result {
	return l.proposal
}

// Guards against an outcome that says more than the log has said, a read or a
// lease of a leader that the log does not confirm, and a change that is reported
// as not run while it may still commit.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	leads := replica.Status{Role: replica.Leader, Term: 1, LeaseRemaining: 500, Founded: true}
	lapsed := replica.Status{Role: replica.Leader, Term: 1, Founded: true}
	committed, notLeader, unknown := replica.Result{Kind: replica.Committed}, replica.Result{Kind: replica.NotLeader}, replica.Result{Kind: replica.Unknown}
	unreachable := replica.Result{Kind: replica.NotLeader, Leader: "127.0.0.1:1"}
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
		{"change not confirmed", fakeLog{leads, unknown, committed}, change, 503, `"outcome":"unknown"`},
		{"change at a former leader", fakeLog{leads, notLeader, committed}, change, 503, `"outcome":"not_run"`},
		{"new leader cannot be reached", fakeLog{leads, unreachable, committed}, change, 503, `"outcome":"not_run"`},
		{"claim not confirmed", fakeLog{leads, unknown, committed}, claim, 503, `"outcome":"unknown"`},
		{"answer cannot be decoded", fakeLog{leads, committed, committed}, change, 503, `"outcome":"unknown"`},
		{"read not confirmed", fakeLog{leads, committed, unknown}, "GET /v1/configuration ", 503, `"outcome":"not_run"`},
		{"read at a former leader", fakeLog{leads, committed, notLeader}, "GET /v1/configuration ", 503, `"outcome":"not_run"`},
		{"lookup at a former leader", fakeLog{leads, committed, notLeader}, strings.Replace(claim, "send", "lookup", 1), 503, `"outcome":"not_run"`},
		{"renewal", fakeLog{leads, committed, committed}, renew, 200, `"granted":true`},
		{"renewal without leader lease", fakeLog{lapsed, committed, committed}, renew, 200, `"granted":false`},
		{"renewal at a follower", fakeLog{replica.Status{Term: 1, Founded: true}, committed, committed}, renew, 503, `"outcome":"not_run"`},
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
