package event

// Events of the control process, 300 to 399.
var (
	LeadershipGained       = define(300, "control_leads", Info, "This member leads the control group and grants leases.")
	LeadershipLost         = define(301, "control_resigned", Info, "This member no longer leads the control group.")
	MembersChanged         = define(302, "members_changed", Warn, "The leader changed the members of the group.")
	MemberChangeFailed     = define(303, "member_change_failed", Warn, "A membership change did not commit; it is tried again.")
	MemberJoined           = define(304, "member_joined", Info, "A new member joined as a learner.")
	MemberRejoining        = define(305, "member_joining", Warn, "This member is outside the group and starts again under a new identity.")
	OwnerLeaseExpired      = define(306, "owner_lease_expired", Warn, "An entry with sent calls lost its lease; the calls become unknown.")
	ControlStartFailed     = define(307, "control_start_failed", Error, "The replicated log cannot be opened.")
	ConfigurationChanged   = define(308, "configuration_changed", Info, "A configuration change was answered.")
	LeadershipTransferred  = define(309, "leadership_handed_over", Info, "A stopping leader asked another voter to lead.")
	CatalogCommitted       = define(310, "catalog_put", Info, "A catalog document was committed.")
	ServerChanged          = define(311, "server_changed", Info, "A backend server's announcement changed what entries must know about it.")
	LeaderUnreachable      = define(312, "leader_lost", Warn, "The control leader does not answer; the other members are asked.")
	LeaderReachable        = define(313, "leader_found", Info, "The control leader answers again.")
	AcknowledgementDelayed = define(316, "acknowledgement_delayed", Warn, "A change is not acknowledged yet, because these entries may still act on the former state.")
	HeartbeatsDropped      = define(314, "heartbeats_dropped", Warn, "Heartbeats that another member acknowledged came to a member that does not lead.")
	ServerRefused          = define(317, "server_refused", Warn, "Announcements or records of backend servers describe no usable server and were left out; at most one line in ten seconds.")
	VersionsChanged        = define(318, "versions_changed", Info, "A software version of a service's backend servers is in service for the first time, or its streams can no longer be taken up.")
	DelegateChanged        = define(315, "delegate_changed", Info, "An entry watches another control member.")
)
