package commands_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"github.com/galenaslip/galenaslip/commands"
	"github.com/galenaslip/galenaslip/setting"
)

var update = flag.Bool("update", false, "rewrite docs/commands.md")

const referencePath = "../docs/commands.md"

// Guards against a command reference in docs/commands.md that differs from --help.
func TestReference(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Command reference\n\nThis page is written by `go test ./commands -run TestReference -update`.\n")
	writeReference(t, &b, commands.NewRootCommand())
	want := b.String()
	if *update {
		if err := os.WriteFile(referencePath, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(referencePath)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Error("docs/commands.md: got another text than --help, want the same; run the command that the page names")
	}
}

// writeReference writes the help of a command and its subcommands.
func writeReference(t *testing.T, b *strings.Builder, c *cobra.Command) {
	t.Helper()
	if c.Name() == "help" || c.Hidden {
		return
	}
	var help bytes.Buffer
	c.SetOut(&help)
	c.InitDefaultHelpFlag()
	if err := c.Help(); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(b, "\n## `%s`\n\n```\n%s\n```\n", c.CommandPath(), strings.TrimSpace(help.String()))
	for _, child := range c.Commands() {
		writeReference(t, b, child)
	}
}

// Guards against example settings that the program refuses.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("examples: got %v (%v), want some", files, err)
	}
	for _, f := range files {
		if _, err := setting.Check(f); err != nil {
			t.Errorf("%s: got %v, want no error", f, err)
		}
	}
}

// Guards against a changed exit code, which scripts rely on, and against an error
// message that does not name the wrong argument.
func TestExitCodes(t *testing.T) {
	tests := []struct {
		name string
		args []string
		code commands.ExitCode
		want string
	}{
		{name: "version", args: []string{"version"}, code: commands.ExitOK},
		{name: "unknown command", args: []string{"frobnicate"}, code: commands.ExitUsage, want: "frobnicate"},
		{name: "unknown flag", args: []string{"version", "--loud"}, code: commands.ExitUsage, want: "--loud"},
		{name: "missing settings", args: []string{"serve", "entry"}, code: commands.ExitUsage, want: "settings"},
		{name: "settings not found", args: []string{"serve", "control", "--settings", "/none.yaml"}, code: commands.ExitUsage, want: "/none.yaml"},
		{name: "host name", args: []string{"state", "localhost:80"}, code: commands.ExitUsage, want: "host name"},
		{name: "host name of control", args: []string{"class", "list", "--control", "db:80"}, code: commands.ExitUsage, want: "host name"},
		{name: "stop of a weight", args: []string{"stop", "announce", "weight", "x"}, code: commands.ExitUsage, want: "weight"},
		{name: "revision", args: []string{"config", "diff", "1", "x"}, code: commands.ExitUsage, want: "\"x\""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			got := commands.ExitCode(commands.Execute(tt.args, &stdout, &stderr))
			if got != tt.code || !strings.Contains(stderr.String(), tt.want) {
				t.Errorf("got %d %q, want %d with %q", got, stderr.String(), tt.code, tt.want)
			}
		})
	}
}
