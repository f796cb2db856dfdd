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
	"github.com/galenaslip/galenaslip/duty"
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
	idempotencyKey := f.Get(headerIdempotencyKey)
	if idempotencyKey == "" || len(idempotencyKey) > configuration.MaxKeyLength {
		return apiError{fiber.StatusBadRequest, outcome.ReasonKeyMissing, outcome.NotRun, "the header Idempotency-Key is required"}
	}
	cmd, err := decodeChangeRequest(f.Body())
	if err != nil {
		return invalidError(fiber.StatusUnprocessableEntity, err)
	}
	cmd.idempotencyKey = string([]byte(idempotencyKey))
	data, err := c.propose(f.Context(), cmd)
	if err != nil {
		return err
	}
	answer, err := configuration.DecodeAnswer(data)
	if err != nil {
		return unknownError(err.Error())
	}
	c.options.Logger.Log(event.ConfigurationChanged, zap.String("key", cmd.idempotencyKey),
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
	before, okFrom := c.machine.configurationAt(from)
	after, okTo := c.machine.configurationAt(to)
	if !okFrom || !okTo {
		return invalidError(fiber.StatusNotFound, errors.Errorf("revisions %d and %d: the history ends at %d and holds %d changes",
			from, to, current, configuration.MaxRetainedRecords))
	}
	return respond(f)(configuration.EncodeDifferences(configuration.Diff(before, after)))
}

func (c *Control) postRenewal(f fiber.Ctx) error {
	renewal, err := lease.DecodeRenewal(f.Body())
	if err != nil {
		return invalidError(fiber.StatusBadRequest, err)
	}
	c.metrics.renewals.Inc()
	return respond(f)(lease.EncodeGrant(c.leaderTasks.renewLease(renewal)))
}

// decodeClaimRequest decodes a request to acquire a claim, to mark it as sent or to
// end its attempt, and checks the fields that these requests have in common.
func decodeClaimRequest(f fiber.Ctx) (wireClaimRequest, claim.Attempt, error) {
	var request wireClaimRequest
	if err := json.Unmarshal(f.Body(), &request); err != nil {
		return request, claim.Attempt{}, invalidError(fiber.StatusBadRequest, err)
	}
	if !class.ValidName(request.Entry) || request.Attempt == "" {
		return request, claim.Attempt{}, invalidError(fiber.StatusBadRequest,
			errors.Errorf("a claim call needs entry and attempt, got %q and %q", request.Entry, request.Attempt))
	}
	return request, claim.Attempt{Owner: claim.Owner{Entry: request.Entry, Incarnation: request.Incarnation}, ID: request.Attempt}, nil
}

func (c *Control) postAcquire(f fiber.Ctx) error {
	request, attempt, err := decodeClaimRequest(f)
	if err != nil {
		return err
	}
	cmd := claim.Acquire{Key: request.Key, BodyHash: request.BodyHash, Attempt: attempt}
	if claimOwner, ok := c.machine.claimOwner(request.Key); ok && c.leaderTasks.leaseExpired(claimOwner) {
		cmd.ExpiredOwner = claimOwner
	}
	return c.proposeClaim(f, cmd)
}

func (c *Control) postMarkSent(f fiber.Ctx) error {
	request, attempt, err := decodeClaimRequest(f)
	if err != nil {
		return err
	}
	return c.proposeClaim(f, claim.MarkSent{Key: request.Key, Attempt: attempt})
}

func (c *Control) postEndAttempt(f fiber.Ctx) error {
	request, attempt, err := decodeClaimRequest(f)
	if err != nil {
		return err
	}
	if request.State != claim.Answered && request.State != claim.NotRun && request.State != claim.Unknown {
		return invalidError(fiber.StatusBadRequest, errors.Errorf("a claim cannot be settled as %q", request.State))
	}
	cmd := claim.EndAttempt{Key: request.Key, Attempt: attempt, State: request.State}
	if request.Answer != nil {
		cmd.Answer = claim.Answer{Status: request.Answer.Status, Headers: request.Answer.Headers, Body: request.Answer.Body}
	}
	return c.proposeClaim(f, cmd)
}

func (c *Control) proposeClaim(f fiber.Ctx, cmd claim.Command) error {
	data, err := c.propose(f.Context(), command{claim: cmd})
	if err != nil {
		return err
	}
	return sendJSON(f, fiber.StatusOK, data)
}

func (c *Control) postLookup(f fiber.Ctx) error {
	var request wireClaimRequest
	if err := json.Unmarshal(f.Body(), &request); err != nil {
		return invalidError(fiber.StatusBadRequest, err)
	}
	if err := c.barrier(f); err != nil {
		return err
	}
	return respond(f)(claim.EncodeResult(c.machine.lookupClaim(request.Key)))
}

func (c *Control) postReplication(f fiber.Ctx) error {
	message, err := replica.DecodeMessage(f.Body())
	if err != nil {
		c.options.Logger.Log(event.MessageMalformed, zap.String("from", f.IP()), zap.Error(err))
		return invalidError(fiber.StatusBadRequest, err)
	}
	c.log.Load().Receive(message)
	return f.SendStatus(fiber.StatusNoContent)
}

// getMembers answers with the leader's view, because only the leader knows the
// progress of every member. Without a leader it answers with this member's own
// view.
func (c *Control) getMembers(f fiber.Ctx) error {
	ownView := func(f fiber.Ctx) error { return respondValue(f, c.members()) }
	if c.log.Load().Status().Leader == "" {
		return ownView(f)
	}
	return c.atLeader(ownView)(f)
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
				SilentFor: status.Progress[m.Identity].SilentFor, DiskFailingFor: status.Progress[m.Identity].DiskFailingFor,
				MissingEntries: missingEntries(status, m.Identity),
			}
		}),
	}
}

// missingEntries returns the number of committed log entries that a member
// lacks, as far as this member knows.
func missingEntries(status replica.Status, identity string) uint64 {
	progress, ok := status.Progress[identity]
	if !ok || progress.MatchIndex >= status.Commit {
		return 0
	}
	return status.Commit - progress.MatchIndex
}

func (c *Control) postJoin(f fiber.Ctx) error {
	joining, err := decodeMember(f.Body())
	if err != nil {
		return invalidError(fiber.StatusBadRequest, err)
	}
	if joining.Identity == "" || !class.ValidName(joining.Name) || joining.Address == "" {
		return invalidError(fiber.StatusBadRequest, errors.Errorf("a member needs identity, name and address, got %q, %q and %q",
			joining.Identity, joining.Name, joining.Address))
	}
	if err := c.barrier(f); err != nil {
		return err
	}
	if c.isMember(joining.Identity) {
		return respondValue(f, c.members())
	}
	added := replica.Member{Identity: joining.Identity, Name: joining.Name, Address: joining.Address, AvailabilityZone: joining.AvailabilityZone}
	if err := c.leaderTasks.change(f.Context(), replica.MemberChange{Kind: replica.AddLearner, Member: added}); err != nil {
		return joinError(err)
	}
	c.options.Logger.Log(event.MemberJoined, zap.String("member", joining.Identity))
	return respondValue(f, c.members())
}

// joinError returns the answer to a failed join. Only an identity that was
// removed keeps the status 409 (conflict), on which the joining process takes a
// new identity. Other conflicts, such as a membership change in progress, are
// temporary. They are reported as not run with status 503, and the joining
// process tries again.
func joinError(err error) error {
	var conflict apiError
	if errors.As(err, &conflict) && conflict.status == fiber.StatusConflict && !strings.Contains(conflict.message, "was removed") {
		return notRunError(conflict.message)
	}
	return err
}

func (c *Control) isMember(identity string) bool {
	return lo.ContainsBy(c.log.Load().Status().Members, func(m replica.Member) bool { return m.Identity == identity })
}

func (c *Control) postRemove(f fiber.Ctx) error {
	request, err := decodeMember(f.Body())
	if err != nil {
		return invalidError(fiber.StatusBadRequest, err)
	}
	if !c.isMember(request.Identity) {
		return invalidError(fiber.StatusNotFound, errors.Errorf("unknown member %q", request.Identity))
	}
	change := replica.MemberChange{Kind: replica.Remove, Member: replica.Member{Identity: request.Identity}}
	if err := c.leaderTasks.change(f.Context(), change); err != nil {
		return err
	}
	return respondValue(f, c.members())
}

// wireState is the response of /debug/state. Commit and Applied are indexes in the
// replicated log. Founded reports whether the group has been formed, and Excluded
// whether the other members no longer accept this member. DiskFailure is the error
// with which the disk refuses writes. MessagesSent and MessagesFailed count
// replication messages.
type wireState struct {
	Name           string            `json:"name"`
	Identity       string            `json:"identity"`
	Epoch          uint64            `json:"epoch"`
	Address        string            `json:"address"`
	Role           string            `json:"role"`
	Commit         uint64            `json:"commit"`
	Applied        uint64            `json:"applied"`
	LeaderLease    clock.Millis      `json:"leader_lease_ms"`
	Founded        bool              `json:"founded"`
	Excluded       bool              `json:"outside"`
	DiskFailure    string            `json:"disk_failure,omitempty"`
	DiskFailures   uint64            `json:"disk_failures"`
	Group          wireMembers       `json:"group"`
	State          summary           `json:"state"`
	Entries        []wireLeasedEntry `json:"entries"`
	MessagesSent   uint64            `json:"messages_sent"`
	MessagesFailed uint64            `json:"messages_failed"`
	Placement      wirePlacement     `json:"placement"`
	Capacity       []wireCapacity    `json:"capacity,omitempty"`
	Duties         *duty.State       `json:"duties,omitempty"`
	Usage          *wireUsage        `json:"usage,omitempty"`
}

// wireLeasedEntry is an entry that holds a configuration lease. Claims is the
// number of claims that the entry holds.
type wireLeasedEntry struct {
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Revision    uint64 `json:"revision"`
	Leaving     bool   `json:"leaving"`
	Claims      int    `json:"claims"`
}

// errorText returns the message of an error, or nothing without one.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (c *Control) debugState(f fiber.Ctx) error {
	status := c.log.Load().Status()
	return respondValue(f, wireState{
		Name: c.options.Name, Identity: status.Identity, Epoch: status.Epoch, Address: c.options.Advertise,
		Role: status.Role.String(), Commit: status.Commit, Applied: status.Applied,
		LeaderLease: status.LeaseRemaining, Founded: status.Founded, Excluded: status.Excluded,
		DiskFailure: errorText(status.DiskFailure), DiskFailures: status.DiskFailures,
		Group: c.members(), State: c.machine.summary(),
		MessagesSent: c.peerClient.messagesSent.Load(), MessagesFailed: c.peerClient.messagesFailed.Load(),
		Placement: toWirePlacement(*c.placementController.view.Load()), Duties: c.duties.state(), Usage: c.usage.state(),
		Capacity: c.capacityController.state(),
		Entries: lo.Map(c.leaderTasks.renewals(), func(r lease.Renewal, _ int) wireLeasedEntry {
			return wireLeasedEntry{r.Entry, r.Incarnation, r.Address, r.Revision, r.Leaving, r.Claims}
		}),
	})
}
