package backend

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaslip/galenaslip/clock"
)

// MaxChallengeAge is the age up to which an echoed challenge is accepted.
const MaxChallengeAge = 2 * clock.Second

// Challenger issues challenges that name the entry's process and its clock, and
// finds out how long ago an echoed one was issued.
type Challenger struct {
	prefix string
}

// NewChallenger returns a challenger. The epoch must differ between the lives of
// an entry, because each life has a clock of its own; a random number does.
func NewChallenger(entry string, epoch uint64) *Challenger {
	return &Challenger{prefix: fmt.Sprintf("%s/%x", entry, epoch)}
}

// Issue returns a challenge for the current time.
func (c *Challenger) Issue(now clock.Millis) string {
	body := c.prefix + "/" + strconv.FormatInt(int64(now), 10)
	return body + "/" + strconv.FormatUint(checksum(body), 16)
}

// Check returns the age of an echoed challenge. It refuses a challenge that is
// malformed, foreign, from the future or older than MaxChallengeAge.
func (c *Challenger) Check(now clock.Millis, challenge string) (clock.Millis, bool) {
	body, sum, ok := cutLast(challenge)
	if !ok || sum != strconv.FormatUint(checksum(body), 16) {
		return 0, false
	}
	prefix, issued, ok := cutLast(body)
	if !ok || prefix != c.prefix {
		return 0, false
	}
	at, err := strconv.ParseInt(issued, 10, 64)
	if err != nil {
		return 0, false
	}
	age := now - clock.Millis(at)
	return age, age >= 0 && age <= MaxChallengeAge
}

// checksum detects damaged challenges. It is no protection against forgery.
func checksum(body string) uint64 {
	return xxhash.Sum64String(body)
}

func cutLast(s string) (string, string, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}
