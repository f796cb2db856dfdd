package backend

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaslip/galenaslip/clock"
)

// MaxChallengeAge is the maximum age at which an echoed challenge is accepted.
const MaxChallengeAge = 2 * clock.Second

// Challenger issues challenges that contain the entry's name, its epoch and the time
// of its clock, and determines how long ago an echoed challenge was issued.
type Challenger struct {
	prefix string
}

// NewChallenger returns a challenger. The epoch must change with each restart of the
// entry, because the entry's clock then starts at 0 again; a random number suffices.
func NewChallenger(entry string, epoch uint64) *Challenger {
	return &Challenger{prefix: fmt.Sprintf("%s/%x", entry, epoch)}
}

// Issue returns a challenge for the current time.
func (c *Challenger) Issue(now clock.Millis) string {
	body := c.prefix + "/" + strconv.FormatInt(int64(now), 10)
	return body + "/" + strconv.FormatUint(checksum(body), 16)
}

// Check returns the age of an echoed challenge. It reports false if the challenge is
// malformed, was issued by another process, is from the future or is older than
// MaxChallengeAge.
func (c *Challenger) Check(now clock.Millis, challenge string) (clock.Millis, bool) {
	body, sum, ok := splitAtLastSlash(challenge)
	if !ok || sum != strconv.FormatUint(checksum(body), 16) {
		return 0, false
	}
	prefix, issued, ok := splitAtLastSlash(body)
	if !ok || prefix != c.prefix {
		return 0, false
	}
	issuedAt, err := strconv.ParseInt(issued, 10, 64)
	if err != nil {
		return 0, false
	}
	age := now - clock.Millis(issuedAt)
	return age, age >= 0 && age <= MaxChallengeAge
}

// checksum returns a hash that detects damaged challenges. It does not protect against
// forgery.
func checksum(body string) uint64 {
	return xxhash.Sum64String(body)
}

func splitAtLastSlash(s string) (string, string, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}
