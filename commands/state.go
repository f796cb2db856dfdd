package commands

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/setting"
)

// stateTimeout limits the time until a process answers with its state dump.
const stateTimeout = 5 * time.Second

func newState() *cobra.Command {
	c := &cobra.Command{
		Use:     "state ADDRESS",
		Short:   "Print the state dump of a running process as JSON",
		Example: "  galenaslip state 127.0.0.1:8080",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return printState(c, args[0])
		},
	}
	addTokenFlag(c)
	return c
}

// addTokenFlag adds --token-file to a command that calls a process.
func addTokenFlag(c *cobra.Command) {
	c.Flags().String("token-file", "", "file with the operator's bearer token; its mode must be 0600")
}

// readTokenFlag returns the token in the file that --token-file names, or "" if the
// flag is not set.
func readTokenFlag(c *cobra.Command) (string, error) {
	path, err := c.Flags().GetString("token-file")
	if err != nil {
		return "", errors.Wrap(err, "cannot read --token-file")
	}
	token, err := setting.ReadToken(path)
	return token, fail(ExitUsage, err)
}

func printState(c *cobra.Command, address string) error {
	if err := setting.CheckAddress(address); err != nil {
		return failf(ExitUsage, "address %s", err)
	}
	token, err := readTokenFlag(c)
	if err != nil {
		return err
	}
	body, err := fetchState(address, token)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, body, "", "  "); err != nil {
		return fail(ExitFailed, errors.Wrapf(err, "the answer of %s is not valid JSON", address))
	}
	fmt.Fprintln(c.OutOrStdout(), indented.String())
	return nil
}

// fetchState returns the state dump of the process at an address.
func fetchState(address, token string) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/debug/state")
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	if err := fasthttp.DoTimeout(request, response, stateTimeout); err != nil {
		return nil, fail(ExitNotRun, errors.Wrapf(err, "%s does not answer", address))
	}
	if response.StatusCode() != http.StatusOK {
		return nil, failf(ExitFailed, "%s answered with status %d: %s", address, response.StatusCode(), response.Body())
	}
	return append([]byte(nil), response.Body()...), nil
}
