package commands

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// addOutputFlag adds --output to a command that prints a table or JSON.
func addOutputFlag(c *cobra.Command) {
	c.Flags().StringP("output", "o", outputTable, `"table" or "json"`)
}

// table is the output of a command: header and rows for people, or a value that is
// encoded as JSON for programs.
type table struct {
	header []string
	rows   [][]string
	value  any
}

// print writes t in the format that --output selects.
func (t table) print(c *cobra.Command) error {
	format, err := c.Flags().GetString("output")
	if err != nil {
		return errors.Wrap(err, "cannot read --output")
	}
	switch format {
	case outputTable:
		return t.printTable(c.OutOrStdout())
	case outputJSON:
		return printJSON(c.OutOrStdout(), t.value)
	}
	return failf(ExitUsage, "output %q is unknown: want %q or %q", format, outputTable, outputJSON)
}

func (t table) printTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.ToUpper(strings.Join(t.header, "\t")))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return errors.Wrap(tw.Flush(), "cannot write table")
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "cannot write JSON")
}
