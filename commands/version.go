package commands

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version, the Go release and the platform",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			fmt.Fprintf(c.OutOrStdout(), "galenaslip %s %s %s/%s\n", version(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return nil
		},
	}
}

// version returns the version of the module, or "(devel)" if the Go command has
// recorded none in the program.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
