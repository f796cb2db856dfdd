package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/quarantine"
)

// maxDeadlySends is how often a deadly request may be sent in a minute: three ends make it
// certain, and three more may come from trials and probes.
const maxDeadlySends = 6

// countDeadlySends returns how often a request that ends each server before its answer begins is
// sent when it comes again each second for a minute. It calls beside after each end and once
// between two requests.
func countDeadlySends(q *quarantine.Quarantine, beside func(now clock.Millis, ended quarantine.ServerRun)) int {
	q.SetServerCounts(map[string]int{service: 200})
	s := withDigest(quarantine.Subject{Service: service}, "0123456789abcdef0123456789abcdef")
	sent := 0
	for second := range 60 {
		now := clock.Millis(second+1) * clock.Second
		v := q.Check(now, s, 4)
		if v.Refused || v.Pending {
			continue
		}
		sent++
		loss := quarantine.Loss{At: now, Sent: now - 100}
		if v.Trial {
			loss.Tried = v.Part
			q.BeginTrial(now, v.Part)
		}
		q.RecordEnd(s, run(sent), loss)
		beside(now, run(sent))
	}
	return sent
}

// Guards against a request that ends server after server before its answer begins and is never
// found, because each server had just begun to answer a sound request too.
func TestDeadlyRequestIsFoundBesideBegunAnswers(t *testing.T) {
	q := newQuarantine("entry")
	sound := 0
	sent := countDeadlySends(q, func(now clock.Millis, ended quarantine.ServerRun) {
		sound++
		s := withDigest(subject("system", fmt.Sprint("session-", sound)), fmt.Sprintf("%08d", sound))
		q.RecordEnd(s, ended, quarantine.Loss{At: now, Sent: now - 300, Begun: true, Answering: 200})
	})
	if sent > maxDeadlySends {
		t.Errorf("deadly request sent: got %d times, want at most %d", sent, maxDeadlySends)
	}
}

// Guards against a deadly request that is never found during a rolling upgrade: a control member
// of the former build returns the records of requests as records of parts with a begun answer.
func TestDeadlyRequestIsFoundBehindFormerBuild(t *testing.T) {
	q := newQuarantine("entry")
	sent := countDeadlySends(q, func(now clock.Millis, _ quarantine.ServerRun) {
		report, _ := q.Report(now, gossip.Position{})
		var returned quarantine.Report
		for _, e := range report.Ends {
			returned.Ends = append(returned.Ends, quarantine.End{
				Key: quarantine.NewKey(e.Service, e.ID), ServerRun: e.ServerRun, Depth: e.Depth, Begun: true, Age: e.Age,
			})
		}
		q.Merge(now, returned)
	})
	if sent > maxDeadlySends {
		t.Errorf("deadly request sent: got %d times, want at most %d", sent, maxDeadlySends)
	}
}

// Guards against the evidence against a deadly request that is displaced before its second end by
// the requests that waited at other servers that ended.
func TestDeadlyRequestIsFoundBesideBursts(t *testing.T) {
	q := newQuarantine("entry")
	burst := 0
	sent := countDeadlySends(q, func(now clock.Millis, _ quarantine.ServerRun) {
		burst++
		var report quarantine.Report
		for i := range 300 {
			key := quarantine.NewRequestKey(service, fmt.Sprintf("%04d-%04d", burst, i))
			report.Ends = append(report.Ends, quarantine.End{Key: key, ServerRun: run(1000 + burst*10 + i%10), AtServer: 100})
		}
		q.Merge(now+500, report)
	})
	if sent > maxDeadlySends {
		t.Errorf("deadly request sent: got %d times, want at most %d", sent, maxDeadlySends)
	}
}

// Guards against a reset connection that is taken for the end of its server because the server is
// started again long after, for example in a rolling restart.
func TestLateRestartIsNoEndOfAnEarlierLoss(t *testing.T) {
	c, manual := clock.NewManual(0)
	checks := quarantine.NewEndChecks(c, func(quarantine.ServerRun, int) {})
	ended := 0
	listens := func() quarantine.Listening { return quarantine.ListeningYes }
	<-checks.ConnectionLost(quarantine.ServerRun{Server: "a", StartedAt: 1}, "address", listens, func() { ended++ })
	manual.Advance(5 * clock.Minute)
	checks.ServerAnnounced(quarantine.ServerRun{Server: "a", StartedAt: 2}, "address")
	if got, want := ended, 0; got != want {
		t.Errorf("lost requests told of an end: got %d, want %d", got, want)
	}
}

// Guards against a request that ends one server more than it needs to, because two servers that it
// was abandoned at are not known to have ended yet; and against trials of requests that no server has
// ended under, or that a server has answered.
func TestDoubtfulRequestIsTried(t *testing.T) {
	tests := []struct {
		name            string
		ends, unsettled int
		answered        bool
		want            bool
	}{
		{"no server has ended", 0, 3, false, false},
		{"a server has ended", 1, 0, false, false},
		{"a server has ended and another one may", 1, 1, false, true},
		{"the request was answered since", 1, 1, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := quarantine.New(quarantine.Options{Entry: "e"})
			q.SetServerCounts(map[string]int{"s": 100})
			subject := quarantine.Subject{Service: "s", Digest: func() string { return "digest" }}
			for i := range tt.ends {
				q.RecordEnd(subject, run(i), quarantine.Loss{At: clock.Second})
			}
			if tt.answered {
				q.RecordSurvival(2*clock.Second, subject, false)
			}
			subject.Unsettled = tt.unsettled
			verdict := q.Check(3*clock.Second, subject, 1)
			if got := verdict.Trial; got != tt.want || verdict.Refused || verdict.Pending {
				t.Errorf("got %+v, want a trial %v and no refusal", verdict, tt.want)
			}
			if _, got := q.Doubtful(3*clock.Second, subject); got != tt.want {
				t.Errorf("doubtful: got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a long body that is digested while all other requests wait for the quarantine.
func TestDigestDoesNotBlockOthers(t *testing.T) {
	q := quarantine.New(quarantine.Options{Entry: "e"})
	subject := quarantine.Subject{Service: "s", Unsettled: 1, Digest: func() string {
		q.Suspects(0) // waits forever if the quarantine is locked
		return "digest"
	}}
	for i := range 2 {
		q.RecordEnd(subject, run(i), quarantine.Loss{At: clock.Second})
	}
	q.Check(clock.Second, subject, 1)
	q.MayRepeat(clock.Second, subject)
	q.Doubtful(clock.Second, subject)
	q.RecordSurvival(clock.Second, subject, false)
}

// Guards against a second trial that is sent before the outcome of the first one can be known, because
// servers run for seconds under the request before they end.
func TestTrialWaitsForOutcomeOfFormerOne(t *testing.T) {
	const runTime = 10 * clock.Second
	q := newQuarantine("entry")
	s := subject("system", "deadly")
	for i := range 2 {
		at := runTime + clock.Millis(i)*clock.Second
		q.RecordEnd(s, run(i), quarantine.Loss{At: at, Sent: at - runTime, Begun: true})
	}
	begin := 12 * clock.Second
	if v := q.Check(begin, s, 4); !v.Trial {
		t.Fatalf("suspect part: got %+v, want a trial", v)
	}
	q.BeginTrial(begin, key("deadly"))
	if v := q.Check(begin+runTime+clock.Second, s, 4); !v.Pending {
		t.Errorf("while the trial may still run: got %+v, want the request to wait", v)
	}
	if v := q.Check(begin+runTime+10*clock.Second, s, 4); !v.Trial {
		t.Errorf("long after the trial: got %+v, want another one", v)
	}
}
