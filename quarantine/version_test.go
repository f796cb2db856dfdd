package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/quarantine"
)

// atVersion returns the subject of a request that a server of a software version has.
func atVersion(version string, s quarantine.Subject) quarantine.Subject {
	s.Version = version
	return s
}

// Guards against a part that ends the servers of a new software version and is never quarantined, because servers of
// the former one have answered it, or because many of those had ended by chance before.
func TestPartThatEndsServersOfNewVersionIsFound(t *testing.T) {
	for _, formerEnds := range []int{0, 1, 16} {
		t.Run(fmt.Sprintf("%d ends at the former version", formerEnds), func(t *testing.T) {
			q, other := newQuarantine("a"), newQuarantine("b")
			for range 20 {
				q.RecordSurvival(0, atVersion("v1", subject("p")), false)
				other.RecordSurvival(0, atVersion("v1", subject("p")), false)
			}
			at := endApart(q, clock.Second, atVersion("v1", subject("p")), 100, formerEnds) + 20*clock.Second
			other.Merge(at, all(q, at))
			wantQuarantined(t, q, at)
			at = condemn(q, at, atVersion("v2", subject("p")), 0) + settled
			other.Merge(at, all(q, at))
			wantQuarantined(t, q, at, "p")
			wantQuarantined(t, other, at, "p")
		})
	}
}

// Guards against a sound part that is quarantined although servers of the same software version have answered it,
// at whichever entry and whether or not the version is known.
func TestPartThatItsVersionAnswersIsNotQuarantined(t *testing.T) {
	for _, tt := range []struct{ answered, ended string }{{"v1", "v1"}, {"", "v1"}, {"v1", ""}} {
		t.Run(fmt.Sprintf("answered at %q, ended at %q", tt.answered, tt.ended), func(t *testing.T) {
			q, other := newQuarantine("a"), newQuarantine("b")
			ended := atVersion(tt.ended, subject("p"))
			at := endApart(q, 0, ended, 50, 1)
			other.Merge(at, all(q, at))
			for range 5 {
				other.RecordSurvival(at, atVersion(tt.answered, subject("p")), false)
			}
			q.Merge(at, all(other, at))
			at = condemn(q, at+apart, ended, 0) + settled
			wantQuarantined(t, q, at)
		})
	}
}

// Guards against a part that is never found because its servers go on answering for a while before they end, so that
// each of these answers counts for the part.
func TestPartThatEndsServersAfterBeginOfAnswerIsFound(t *testing.T) {
	q := newQuarantine("a")
	s := subject("p")
	at := clock.Millis(0)
	for i := range 3 {
		at += apart
		loss := quarantine.Loss{Begun: true, At: at, Answering: 700 * clock.Millisecond}
		if i == 2 {
			loss.Tried = key("p")
		}
		q.RecordEnd(s, run(i), loss)
	}
	wantQuarantined(t, q, at+settled, "p")
}

// Guards against a part of a long prompt that ends the servers of a new software version and is left out of the
// evidence, because servers of the former one have answered it.
func TestPartOfLongPromptThatEndsServersOfNewVersionIsFound(t *testing.T) {
	var shared []string
	for i := range 20 {
		shared = append(shared, fmt.Sprint("shared-", i))
	}
	sound, deadly := subject(shared...), subject(append([]string{"p"}, shared...)...)
	q := newQuarantine("a")
	for range 20 {
		q.RecordSurvival(0, atVersion("v1", deadly), false)
	}
	at := endApart(q, clock.Second, atVersion("v1", subject("p")), 100, 1) + apart
	at = endApart(q, at, atVersion("v1", subject(shared[:16]...)), 200, 2) + 20*clock.Second
	for range 5 {
		q.RecordSurvival(at, atVersion("v2", sound), false)
	}
	for i := range 3 {
		at += apart
		loss := quarantine.Loss{Begun: true, At: at}
		if i == 2 {
			loss.Tried = key("p")
		}
		q.RecordEnd(atVersion("v2", deadly), run(i), loss)
	}
	wantQuarantined(t, q, at+settled, "p")
}
