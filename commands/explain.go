package commands

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// maxLogLine is the longest line of a log file in bytes. A longer one counts as damaged.
const maxLogLine = 1 << 20

// logLine is one line of a process's log. The field request is the request's ID; it is
// empty if the line belongs to no request.
type logLine struct {
	timestamp string
	process   string
	request   string
	text      string
}

// requestLog holds the lines of log files that concern one request.
type requestLog struct {
	lines        []logLine // lines with the request's ID, oldest first
	contextLines []logLine // lines without a request ID, from processes that logged the request, up to the request's last line
	damagedLines int       // lines that are no valid JSON
}

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID LOG...",
		Short: "Tell one request's story from the log files of many processes",
		Long: `Tell one request's story from the log files of many processes: every line with
its id in order of time, and between them what the same processes came to believe
about servers, leaders and catalogs. Lines that are no JSON are counted.`,
		Example: "  galenaslip explain 9c41d07be2a35f68 /var/log/galenaslip/*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := readRequestLog(args[0], args[1:])
			if err != nil {
				return fail(ExitFailed, err)
			}
			return s.print(c.OutOrStdout(), args[0])
		},
	}
}

// readRequestLog reads the log files and selects the lines for a request.
func readRequestLog(id string, paths []string) (requestLog, error) {
	var all []logLine
	var s requestLog
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return s, errors.Wrap(err, "cannot read a log")
		}
		lines, damagedLines, err := readLog(f)
		_ = f.Close()
		if err != nil {
			return s, errors.Wrapf(err, "reading %s", path)
		}
		all = append(all, lines...)
		s.damagedLines += damagedLines
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].timestamp < all[j].timestamp })
	processes := map[string]bool{}
	for _, l := range all {
		if l.request == id {
			s.lines = append(s.lines, l)
			processes[l.process] = true
		}
	}
	for _, l := range all {
		if l.request == "" && processes[l.process] && l.timestamp <= s.lines[len(s.lines)-1].timestamp {
			s.contextLines = append(s.contextLines, l)
		}
	}
	return s, nil
}

// readLog returns the lines of a log and the number of damaged ones.
func readLog(r io.Reader) ([]logLine, int, error) {
	var lines []logLine
	damagedLines := 0
	reader := bufio.NewReaderSize(r, maxLogLine)
	for {
		text, tooLong, err := reader.ReadLine()
		if errors.Is(err, io.EOF) {
			return lines, damagedLines, nil
		}
		if err != nil {
			return nil, 0, errors.WithStack(err)
		}
		if tooLong {
			damagedLines++
			if err := skipLine(reader); err != nil {
				return nil, 0, err
			}
			continue
		}
		var w struct {
			At      string `json:"ts"`
			Process string `json:"process"`
			Request string `json:"request"`
		}
		if json.Unmarshal(text, &w) != nil || w.At == "" {
			damagedLines++
			continue
		}
		lines = append(lines, logLine{timestamp: w.At, process: w.Process, request: w.Request, text: string(text)})
	}
}

// skipLine reads the rest of a line that is longer than the reader's buffer.
func skipLine(reader *bufio.Reader) error {
	for more := true; more; {
		var err error
		if _, more, err = reader.ReadLine(); err != nil && !errors.Is(err, io.EOF) {
			return errors.WithStack(err)
		}
	}
	return nil
}

// maxContextLines is the maximum number of lines without a request that are printed
// between the lines of the request. The newest ones are kept.
const maxContextLines = 12

// print writes all lines in order of time and marks those of the request with "*".
func (s requestLog) print(out io.Writer, id string) error {
	if len(s.lines) == 0 {
		return fail(ExitFailed, errors.Errorf("no line names the request %q (%d damaged lines)", id, s.damagedLines))
	}
	shown := s.contextLines[max(len(s.contextLines)-maxContextLines, 0):]
	all := append(append([]logLine(nil), shown...), s.lines...)
	sort.SliceStable(all, func(i, j int) bool { return all[i].timestamp < all[j].timestamp })
	for _, l := range all {
		mark := "  "
		if l.request == id {
			mark = "* "
		}
		fmt.Fprintln(out, mark+l.text)
	}
	if s.damagedLines > 0 {
		fmt.Fprintf(out, "%d damaged lines\n", s.damagedLines)
	}
	return nil
}
