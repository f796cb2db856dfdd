package commands

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/setting"
)

func newQuarantine() *cobra.Command {
	c := &cobra.Command{
		Use:   "quarantine",
		Short: "Show and lift the quarantine of requests and parts of prompts under which servers ended",
	}
	c.AddCommand(newQuarantineList(), newQuarantineRelease())
	return c
}

// suspectView is a suspect part or request in the state dump of a relay and in the output.
type suspectView struct {
	Service     string   `json:"service"`
	Part        string   `json:"part"`
	Quarantined bool     `json:"quarantined"`
	Servers     []string `json:"servers"`
	Answers     int      `json:"answers"`
	Score       float64  `json:"score"`
	Required    float64  `json:"required_score"`
}

func newQuarantineList() *cobra.Command {
	c := &cobra.Command{
		Use:   "list ADDRESS",
		Short: "List the requests and parts under which servers ended, as the relay at a state address knows them",
		Long: `List the requests ("request:DIGEST") and parts of prompts under which servers
ended, as the relay at a state address knows them. The score is the weight of the
ends that came one after another, against the score for a quarantine; answers
counts the requests that did not end their servers.`,
		Example: "  galenaslip quarantine list 127.0.0.1:8092",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			suspects, err := fetchSuspects(args[0])
			if err != nil {
				return err
			}
			for _, s := range suspects {
				fmt.Fprintf(c.OutOrStdout(), "%s %s quarantined=%s score=%.2f/%.0f answers=%d servers=%s\n",
					s.Service, s.Part, strconv.FormatBool(s.Quarantined), s.Score, s.Required, s.Answers, strings.Join(s.Servers, ","))
			}
			return nil
		},
	}
	return c
}

// fetchSuspects returns the suspect parts in the state dump of the relay at an address.
func fetchSuspects(address string) ([]suspectView, error) {
	if err := setting.CheckAddress(address); err != nil {
		return nil, failf(ExitUsage, "address %s", err)
	}
	body, err := fetchState(address, "")
	if err != nil {
		return nil, err
	}
	var state struct {
		Suspects []suspectView `json:"suspects"`
	}
	if err := json.Unmarshal(body, &state); err != nil {
		return nil, fail(ExitFailed, errors.Wrapf(err, "the answer of %s is not a state dump", address))
	}
	return state.Suspects, nil
}

func newQuarantineRelease() *cobra.Command {
	return &cobra.Command{
		Use:   "release ADDRESS SERVICE PART",
		Short: "Lift the quarantine of a request or a part at all relays",
		Long: `Lift the quarantine of a part, or of a request that the list shows as
"request:DIGEST", at all relays. ADDRESS is the state address of any of them; the
others follow within about a second. Servers that ended before no longer count
against it. It is quarantined again if further servers end.`,
		Example: "  galenaslip quarantine release 127.0.0.1:8092 model-pool 5c1e07a2",
		Args:    cobra.ExactArgs(3),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := setting.CheckAddress(args[0]); err != nil {
				return failf(ExitUsage, "address %s", err)
			}
			query := url.Values{"service": {args[1]}, "part": {args[2]}}
			return postRelease("http://" + args[0] + "/debug/quarantine/release?" + query.Encode())
		},
	}
}

// postRelease sends the request that lifts a quarantine.
func postRelease(uri string) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(uri)
	request.Header.SetMethod(http.MethodPost)
	if err := fasthttp.DoTimeout(request, response, stateTimeout); err != nil {
		return fail(ExitNotRun, errors.Wrapf(err, "%s does not answer", uri))
	}
	if response.StatusCode() != http.StatusOK {
		return failf(ExitFailed, "status %d: %s", response.StatusCode(), response.Body())
	}
	return nil
}
