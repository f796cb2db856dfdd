package entry

import (
	"time"

	"github.com/galenaslip/galenaslip/clock"
)

// deadline converts a delay to the absolute time that net.Conn expects.
func deadline(c clock.Clock, delay clock.Millis) time.Time {
	return time.UnixMilli(int64(c.Wall() + delay))
}
