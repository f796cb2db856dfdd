// Package usage reads what a process has used since its start, on Linux.
package usage

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
)

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// Fields of /proc/PID/stat that follow the process's name.
const (
	userTicksField   = 11
	systemTicksField = 12
)

// Usage is what a process has used at a moment. It is immutable.
type Usage struct {
	at            clock.Millis
	ticks         int64
	bytes         int64
	residentBytes int64
}

// Read returns the usage of a process.
func Read(pid int, now clock.Millis) (Usage, error) {
	folder := fmt.Sprintf("/proc/%d/", pid)
	ticks, err := readTicks(folder + "stat")
	if err != nil {
		return Usage{}, err
	}
	io, err := readFields(folder + "io")
	if err != nil {
		return Usage{}, err
	}
	status, err := readFields(folder + "status")
	if err != nil {
		return Usage{}, err
	}
	return Usage{at: now, ticks: ticks, bytes: io["rchar"] + io["wchar"], residentBytes: status["VmRSS"] * 1024}, nil
}

// Rate is the mean usage between two moments.
type Rate struct {
	// CorePercent is the processor time as a percentage of one core.
	CorePercent float64
	// BytesPerSecond counts all bytes read and written, sockets included.
	BytesPerSecond float64
	// ResidentBytes is the memory at the second moment.
	ResidentBytes int64
}

// RateSince returns the mean usage from an earlier moment to u.
func (u Usage) RateSince(earlier Usage) Rate {
	seconds := float64(u.at-earlier.at) / float64(clock.Second)
	if seconds <= 0 {
		return Rate{ResidentBytes: u.residentBytes}
	}
	return Rate{
		CorePercent:    float64(u.ticks-earlier.ticks) / ticksPerSecond / seconds * 100,
		BytesPerSecond: float64(u.bytes-earlier.bytes) / seconds,
		ResidentBytes:  u.residentBytes,
	}
}

// readTicks returns the processor time of a process. Its name stands in
// parentheses and may hold spaces.
func readTicks(path string) (int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, errors.Wrap(err, "cannot read processor time")
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	if len(fields) <= systemTicksField {
		return 0, errors.Errorf("%s has %d fields, want more than %d", path, len(fields), systemTicksField)
	}
	return parseNumber(fields[userTicksField]) + parseNumber(fields[systemTicksField]), nil
}

// readFields returns the numbers of a file with lines of the form "name: number".
func readFields(path string) (map[string]int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read usage")
	}
	values := map[string]int64{}
	for line := range strings.Lines(string(data)) {
		if name, rest, ok := strings.Cut(line, ":"); ok {
			values[name] = parseNumber(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
		}
	}
	return values, nil
}

// parseNumber returns 0 for a field that is no number; the files hold some.
func parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
