package commands_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
)

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// usage is what a process has used since its start.
type usage struct {
	at         clock.Millis
	ticks      int64
	bytes      int64 // read and written, sockets included
	residentKB int64
}

func (p *process) usage(b *testing.B) usage {
	b.Helper()
	folder := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	stat := readFile(b, folder+"stat")
	// The process's name stands in parentheses and may hold spaces.
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	io := parseFields(readFile(b, folder+"io"))
	status := parseFields(readFile(b, folder+"status"))
	return usage{
		at:         wall.Now(),
		ticks:      parseNumber(fields[11]) + parseNumber(fields[12]),
		bytes:      io["rchar"] + io["wchar"],
		residentKB: status["VmRSS"],
	}
}

func readFile(b *testing.B, path string) string {
	b.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	return string(data)
}

func parseFields(text string) map[string]int64 {
	values := map[string]int64{}
	for line := range strings.Lines(text) {
		if name, rest, ok := strings.Cut(line, ":"); ok {
			values[name] = parseNumber(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
		}
	}
	return values
}

func parseNumber(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// report publishes the usage between two moments as rates.
func report(b *testing.B, from, to usage) {
	b.Helper()
	seconds := float64(to.at-from.at) / float64(clock.Second)
	b.ReportMetric(float64(to.ticks-from.ticks)/ticksPerSecond/seconds*100, "%core")
	b.ReportMetric(float64(to.bytes-from.bytes)/seconds/1000, "KB/s")
	b.ReportMetric(float64(to.residentKB)/1000, "MB")
	b.ReportMetric(0, "ns/op")
}
