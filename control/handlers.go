package control

import (
	"encoding/json"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/replica"
)

func (c *Control) getConfiguration(f fiber.Ctx) error {
	if err := c.barrier(f); err != nil {
		return err
	}
	return respond(f)(configuration.Encode(c.machine.Configuration()))
}

func (c *Control) postChange(f fiber.Ctx) error {
	key := f.Get(headerKey)
	if key == "" || len(key) > configuration.MaxKeyLength {
		return problem{fiber.StatusBadRequest, outcome.ReasonKeyMissing, outcome.NotRun, "the header Idempotency-Key is required"}
	}
	cmd, err := decodeChangeRequest(f.Body())
	if err != nil {
		return invalid(fiber.StatusUnprocessableEntity, err)
	}
	cmd.key = string([]byte(key))
	data, err := c.propose(f.Context(), cmd)
	if err != nil {
		return err
	}
	answer, err := configuration.DecodeAnswer(data)
	if err != nil {
		return unknown(err.Error())
	}
	c.options.Logger.Log(event.ConfigurationChanged, zap.String("key", cmd.key),
		zap.String("answer", string(answer.Kind)), zap.Uint64("revision", answer.Revision))
	return sendJSON(f, changeStatus(answer.Kind), data)
}

func changeStatus(k configuration.Kind) int {
	switch k {
	case configuration.Accepted:
		return fiber.StatusOK
	case configuration.Conflict:
		return fiber.StatusConflict
	default:
		return fiber.StatusUnprocessableEntity
	}
}

func (c *Control) getHistory(f fiber.Ctx) error {
	if err := c.barrier(f); err != nil {
		return err
	}
	return respond(f)(configuration.EncodeHistory(c.machine.history()))
}

func (c *Control) getDiff(f fiber.Ctx) error {
	if err := c.barrier(f); err != nil {
		return err
	}
	current := c.machine.Configuration().Revision()
	from, err := queryRevision(f, "from", 0)
	if err != nil {
		return err
	}
	to, err := queryRevision(f, "to", current)
	if err != nil {
		return err
	}
	old, okFrom := c.machine.configurationAt(from)
	changed, okTo := c.machine.configurationAt(to)
	if !okFrom || !okTo {
		return invalid(fiber.StatusNotFound, errors.Errorf("revisions %d and %d: the history ends at %d and holds %d changes",
			from, to, current, configuration.MaxRetainedRecords))
	}
	return respond(f)(configuration.EncodeDifferences(configuration.Diff(old, changed)))
}

func (c *Control) postRenewal(f fiber.Ctx) error {
	renewal, err := lease.DecodeRenewal(f.Body())
	if err != nil {
		return invalid(fiber.StatusBadRequest, err)
	}
	c.metrics.renewals.Inc()
	return respond(f)(lease.EncodeGrant(c.leader.renew(renewal)))
}

// claimRequest reads the fields that every claim call has.
func claimRequest(f fiber.Ctx) (wireClaim, claim.Attempt, error) {
	var w wireClaim
	if err := json.Unmarshal(f.Body(), &w); err != nil {
		return w, claim.Attempt{}, invalid(fiber.StatusBadRequest, err)
	}
	if !class.ValidName(w.Entry) || w.Attempt == "" {
		return w, claim.Attempt{}, invalid(fiber.StatusBadRequest,
			errors.Errorf("a claim call needs entry and attempt, got %q and %q", w.Entry, w.Attempt))
	}
	return w, claim.Attempt{Owner: claim.Owner{Entry: w.Entry, Incarnation: w.Incarnation}, ID: w.Attempt}, nil
}

func (c *Control) postAcquire(f fiber.Ctx) error {
	w, attempt, err := claimRequest(f)
	if err != nil {
		return err
	}
	cmd := claim.Acquire{Key: w.Key, BodyHash: w.BodyHash, Attempt: attempt}
	if holder, ok := c.machine.holder(w.Key); ok && c.leader.expired(holder) {
		cmd.ExpiredOwner = holder
	}
	return c.runClaim(f, cmd)
}

func (c *Control) postSend(f fiber.Ctx) error {
	w, attempt, err := claimRequest(f)
	if err != nil {
		return err
	}
	return c.runClaim(f, claim.MarkSent{Key: w.Key, Attempt: attempt})
}

func (c *Control) postSettle(f fiber.Ctx) error {
	w, attempt, err := claimRequest(f)
	if err != nil {
		return err
	}
	if w.State != claim.Answered && w.State != claim.NotRun && w.State != claim.Unknown {
		return invalid(fiber.StatusBadRequest, errors.Errorf("a claim cannot be settled as %q", w.State))
	}
	settle := claim.Settle{Key: w.Key, Attempt: attempt, State: w.State}
	if w.Answer != nil {
		settle.Answer = claim.Answer{Status: w.Answer.Status, Headers: w.Answer.Headers, Body: w.Answer.Body}
	}
	return c.runClaim(f, settle)
}

func (c *Control) runClaim(f fiber.Ctx, cmd claim.Command) error {
	data, err := c.propose(f.Context(), command{claim: cmd})
	if err != nil {
		return err
	}
	return sendJSON(f, fiber.StatusOK, data)
}

func (c *Control) postLookup(f fiber.Ctx) error {
	var w wireClaim
	if err := json.Unmarshal(f.Body(), &w); err != nil {
		return invalid(fiber.StatusBadRequest, err)
	}
	if err := c.barrier(f); err != nil {
		return err
	}
	return respond(f)(claim.EncodeResult(c.machine.lookup(w.Key)))
}

func (c *Control) postReplication(f fiber.Ctx) error {
	message, err := replica.DecodeMessage(f.Body())
	if err != nil {
		c.options.Logger.Log(event.MessageMalformed, zap.String("from", f.IP()), zap.Error(err))
		return invalid(fiber.StatusBadRequest, err)
	}
	c.log.Load().Receive(message)
	return f.SendStatus(fiber.StatusNoContent)
}

// getMembers asks the leader, which knows every member's progress. Without a
// leader this member's own view is better than none.
func (c *Control) getMembers(f fiber.Ctx) error {
	own := func(f fiber.Ctx) error { return respondValue(f, c.members()) }
	if c.log.Load().Status().Leader == "" {
		return own(f)
	}
	return c.atLeader(own)(f)
}

func (c *Control) members() wireMembers {
	status := c.log.Load().Status()
	return wireMembers{
		Term:   status.Term,
		Leader: status.Leader,
		Members: lo.Map(status.Members, func(m replica.Member, _ int) wireMember {
			return wireMember{
				Identity: m.Identity, Name: m.Name, Address: m.Address, AvailabilityZone: m.AvailabilityZone,
				Voter: m.Voter, Leader: m.Identity == status.LeaderIdentity,
				Silent: status.Progress[m.Identity].Silent, Behind: behind(status, m.Identity),
			}
		}),
	}
}

// behind returns the committed entries that a member lacks, as far as this
// member knows.
func behind(s replica.Status, identity string) uint64 {
	progress, ok := s.Progress[identity]
	if !ok || progress.Match >= s.Commit {
		return 0
	}
	return s.Commit - progress.Match
}

func (c *Control) postJoin(f fiber.Ctx) error {
	w, err := decodeMember(f.Body())
	if err != nil {
		return invalid(fiber.StatusBadRequest, err)
	}
	if w.Identity == "" || !class.ValidName(w.Name) || w.Address == "" {
		return invalid(fiber.StatusBadRequest, errors.Errorf("a member needs identity, name and address, got %q, %q and %q",
			w.Identity, w.Name, w.Address))
	}
	if err := c.barrier(f); err != nil {
		return err
	}
	if c.isMember(w.Identity) {
		return respondValue(f, c.members())
	}
	added := replica.Member{Identity: w.Identity, Name: w.Name, Address: w.Address, AvailabilityZone: w.AvailabilityZone}
	if err := c.leader.change(f.Context(), replica.MemberChange{Kind: replica.AddLearner, Member: added}); err != nil {
		return joinProblem(err)
	}
	c.options.Logger.Log(event.MemberJoined, zap.String("member", w.Identity))
	return respondValue(f, c.members())
}

// joinProblem keeps the conflict for an identity that was removed, after which
// the process starts a new life. Other refusals, such as a change in progress,
// are over soon.
func joinProblem(err error) error {
	var p problem
	if errors.As(err, &p) && p.status == fiber.StatusConflict && !strings.Contains(p.message, "was removed") {
		return notRun(p.message)
	}
	return err
}

func (c *Control) isMember(identity string) bool {
	return lo.ContainsBy(c.log.Load().Status().Members, func(m replica.Member) bool { return m.Identity == identity })
}

func (c *Control) postRemove(f fiber.Ctx) error {
	w, err := decodeMember(f.Body())
	if err != nil {
		return invalid(fiber.StatusBadRequest, err)
	}
	if !c.isMember(w.Identity) {
		return invalid(fiber.StatusNotFound, errors.Errorf("unknown member %q", w.Identity))
	}
	change := replica.MemberChange{Kind: replica.Remove, Member: replica.Member{Identity: w.Identity}}
	if err := c.leader.change(f.Context(), change); err != nil {
		return err
	}
	return respondValue(f, c.members())
}

// wireState is the answer of /debug/state.
type wireState struct {
	Name      string        `json:"name"`
	Identity  string        `json:"identity"`
	Epoch     uint64        `json:"epoch"`
	Address   string        `json:"address"`
	Role      string        `json:"role"`
	Commit    uint64        `json:"commit"`
	Applied   uint64        `json:"applied"`
	Lease     clock.Millis  `json:"leader_lease_ms"`
	Founded   bool          `json:"founded"`
	Outside   bool          `json:"outside"`
	Group     wireMembers   `json:"group"`
	State     size          `json:"state"`
	Entries   []wireLeased  `json:"entries"`
	Sent      uint64        `json:"messages_sent"`
	Failed    uint64        `json:"messages_failed"`
	Placement wirePlacement `json:"placement"`
}

type wireLeased struct {
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Revision    uint64 `json:"revision"`
	Leaving     bool   `json:"leaving"`
	Claims      int    `json:"claims"`
}

func (c *Control) debugState(f fiber.Ctx) error {
	status := c.log.Load().Status()
	return respondValue(f, wireState{
		Name: c.options.Name, Identity: status.Identity, Epoch: status.Epoch, Address: c.options.Advertise,
		Role: status.Role.String(), Commit: status.Commit, Applied: status.Applied,
		Lease: status.LeaseRemaining, Founded: status.Founded, Outside: status.Outside,
		Group: c.members(), State: c.machine.size(),
		Sent: c.peers.sent.Load(), Failed: c.peers.failed.Load(),
		Placement: toWirePlacement(*c.placer.view.Load()),
		Entries: lo.Map(c.leader.renewals(), func(r lease.Renewal, _ int) wireLeased {
			return wireLeased{r.Entry, r.Incarnation, r.Address, r.Revision, r.Leaving, r.Claims}
		}),
	})
}
