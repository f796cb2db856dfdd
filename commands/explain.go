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

// maxLogLine bounds a line of a log file; longer ones are counted as damaged.
const maxLogLine = 1 << 20

// logLine is one line of a process's log.
type logLine struct {
	at      string
	process string
	request string
	text    string
}

// story is what log files say about one request.
type story struct {
	lines   []logLine // of the request
	beliefs []logLine // what its processes came to believe meanwhile
	damaged int
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
			s, err := readStory(args[0], args[1:])
			if err != nil {
				return fail(ExitFailed, err)
			}
			return s.print(c.OutOrStdout(), args[0])
		},
	}
}

func readStory(id string, paths []string) (story, error) {
	var all []logLine
	var s story
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return s, errors.Wrap(err, "cannot read a log")
		}
		lines, damaged, err := readLog(f)
		_ = f.Close()
		if err != nil {
			return s, errors.Wrapf(err, "reading %s", path)
		}
		all = append(all, lines...)
		s.damaged += damaged
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	processes := map[string]bool{}
	for _, l := range all {
		if l.request == id {
			s.lines = append(s.lines, l)
			processes[l.process] = true
		}
	}
	for _, l := range all {
		if l.request == "" && processes[l.process] && l.at <= s.lines[len(s.lines)-1].at {
			s.beliefs = append(s.beliefs, l)
		}
	}
	return s, nil
}

// readLog returns the lines of a log and the number of damaged ones.
func readLog(r io.Reader) ([]logLine, int, error) {
	var lines []logLine
	damaged := 0
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var w struct {
			At      string `json:"ts"`
			Process string `json:"process"`
			Request string `json:"request"`
		}
		if json.Unmarshal(scanner.Bytes(), &w) != nil || w.At == "" {
			damaged++
			continue
		}
		lines = append(lines, logLine{at: w.At, process: w.Process, request: w.Request, text: scanner.Text()})
	}
	return lines, damaged, scanner.Err()
}

// beliefsShown is the number of lines before the request's last one that show
// what its processes believed.
const beliefsShown = 12

func (s story) print(out io.Writer, id string) error {
	if len(s.lines) == 0 {
		return fail(ExitFailed, errors.Errorf("no line names the request %q (%d damaged lines)", id, s.damaged))
	}
	shown := s.beliefs[max(len(s.beliefs)-beliefsShown, 0):]
	all := append(append([]logLine(nil), shown...), s.lines...)
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	for _, l := range all {
		mark := "  "
		if l.request == id {
			mark = "* "
		}
		fmt.Fprintln(out, mark+l.text)
	}
	if s.damaged > 0 {
		fmt.Fprintf(out, "%d damaged lines\n", s.damaged)
	}
	return nil
}
