package withdrawal

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/galenaslip/galenaslip/clock"
)

// MaxPause bounds how long a server can keep requests away with one answer. A time that is
// far too long, for example one in the wrong unit, would otherwise take the server out of use
// until it is restarted. A server that wants more says so again.
const MaxPause = 1 * clock.Minute

// ParseRetryAfter returns the pause that the Retry-After field of a response asks for, up to
// MaxPause. It returns 0 if the field asks for none or cannot be read. The field is a number
// of seconds, possibly with a fraction, or a date. A date counts from the response's Date
// field, because the server's clock may differ from that of this process; without a Date
// field it is ignored.
func ParseRetryAfter(retryAfter, date string) clock.Millis {
	retryAfter = strings.TrimSpace(retryAfter)
	if seconds, err := strconv.ParseFloat(retryAfter, 64); err == nil {
		return pauseOf(seconds)
	}
	end, err := http.ParseTime(retryAfter)
	if err != nil {
		return 0
	}
	sentAt, err := http.ParseTime(strings.TrimSpace(date))
	if err != nil {
		return 0
	}
	return pauseOf(end.Sub(sentAt).Seconds())
}

// pauseOf returns a number of seconds as a pause, rounded up to whole milliseconds.
func pauseOf(seconds float64) clock.Millis {
	millis := math.Ceil(seconds * float64(clock.Second))
	switch {
	case math.IsNaN(millis) || math.IsInf(millis, 0) || millis <= 0:
		return 0
	case millis >= float64(MaxPause):
		return MaxPause
	}
	return clock.Millis(millis)
}
