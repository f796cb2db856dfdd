package event

// Events of the control process, 300 to 399.
var (
	ControlLeads         = define(300, "control_leads", Info, "This member leads the control group and grants leases.")
	ControlResigned      = define(301, "control_resigned", Info, "This member no longer leads the control group.")
	MemberReplaced       = define(302, "member_replaced", Warn, "The leader changed the members of the group.")
	MemberChangeFailed   = define(303, "member_change_failed", Warn, "A membership change did not commit.")
	MemberJoined         = define(304, "member_joined", Info, "A new member joined as a learner.")
	MemberJoining        = define(305, "member_joining", Info, "This process joins an existing group under a new identity.")
	DataFolderDamaged    = define(306, "data_folder_damaged", Error, "The member's log is damaged and was set aside; it joins again under a new identity.")
	GroupWaiting         = define(307, "group_waiting", Info, "The first start waits until every other member answers.")
	OwnerLeaseExpired    = define(308, "owner_lease_expired", Warn, "An entry with sent calls lost its lease; the calls become unknown.")
	ControlStartFailed   = define(309, "control_start_failed", Error, "The replicated log cannot be opened.")
	ConfigurationChanged = define(310, "configuration_changed", Info, "A configuration change was answered.")
)
