// Package usage reads the processor time, memory, and bytes read and written of a
// process. It needs the /proc file system of Linux.
package usage

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
)

// ticksPerSecond is the number of clock ticks per second, the unit of processor
// time in /proc.
const ticksPerSecond = 100

// Positions of fields in /proc/PID/stat, counted from 0 after the process name.
const (
	userTicksField   = 11
	systemTicksField = 12
)

// Usage is the resource usage of a process from its start to a point in time. It is
// immutable.
type Usage struct {
	at            clock.Millis
	cpuTicks      int64
	ioBytes       int64
	residentBytes int64
}

// Read returns the usage of the process with the given ID. now is recorded as the
// time of the reading.
func Read(pid int, now clock.Millis) (Usage, error) {
	processFolder := fmt.Sprintf("/proc/%d/", pid)
	cpuTicks, err := readCPUTicks(processFolder + "stat")
	if err != nil {
		return Usage{}, err
	}
	io, err := readNumbers(processFolder + "io")
	if err != nil {
		return Usage{}, err
	}
	status, err := readNumbers(processFolder + "status")
	if err != nil {
		return Usage{}, err
	}
	return Usage{at: now, cpuTicks: cpuTicks, ioBytes: io["rchar"] + io["wchar"], residentBytes: status["VmRSS"] * 1024}, nil
}

// Rate is the mean usage of a process between two readings.
type Rate struct {
	// CorePercent is the processor time as a percentage of one core.
	CorePercent float64
	// BytesPerSecond counts all bytes read and written, sockets included.
	BytesPerSecond float64
	// ResidentBytes is the resident memory at the second reading.
	ResidentBytes int64
}

// RateSince returns the mean usage between an earlier reading and u. If no time has
// passed between them, only ResidentBytes is set.
func (u Usage) RateSince(earlier Usage) Rate {
	seconds := float64(u.at-earlier.at) / float64(clock.Second)
	if seconds <= 0 {
		return Rate{ResidentBytes: u.residentBytes}
	}
	return Rate{
		CorePercent:    float64(u.cpuTicks-earlier.cpuTicks) / ticksPerSecond / seconds * 100,
		BytesPerSecond: float64(u.ioBytes-earlier.ioBytes) / seconds,
		ResidentBytes:  u.residentBytes,
	}
}

// readCPUTicks returns the processor time of a process in clock ticks. In the file,
// the process name is in parentheses and may contain spaces and parentheses, so the
// fields are counted from the last closing parenthesis.
func readCPUTicks(path string) (int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, errors.Wrap(err, "cannot read processor time")
	}
	stat := string(data)
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	if len(fields) <= systemTicksField {
		return 0, errors.Errorf("%s has %d fields, want more than %d", path, len(fields), systemTicksField)
	}
	return parseNumberOrZero(fields[userTicksField]) + parseNumberOrZero(fields[systemTicksField]), nil
}

// readNumbers returns the numbers of a file with lines of the form "name: number".
func readNumbers(path string) (map[string]int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read usage")
	}
	values := map[string]int64{}
	for line := range strings.Lines(string(data)) {
		if name, rest, ok := strings.Cut(line, ":"); ok {
			values[name] = parseNumberOrZero(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
		}
	}
	return values, nil
}

// parseNumberOrZero returns 0 for a field that is not a number, since the files of
// /proc also contain text fields.
func parseNumberOrZero(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
