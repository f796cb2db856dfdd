package event

// Events of the replicated log, 200 to 299.
var (
	RoleChanged       = define(200, "role_changed", Info, "The member's role in the replicated log changed.")
	JournalTruncated  = define(201, "journal_truncated", Warn, "The log ended in a record that a crash had cut short; it was dropped.")
	JournalDamaged    = define(202, "journal_damaged", Error, "The data folder is damaged; its files were set aside and the member starts under a new identity.")
	ReplicaFailed     = define(203, "replica_failed", Error, "The state machine failed; the member takes no part until it is restarted.")
	MemberNotAccepted = define(204, "member_outside", Warn, "The other members do not accept this member; it must join under a new identity.")
	DiskRefusesWrites = define(206, "disk_refuses_writes", Error, "A write to the data folder failed. The member repeats it until it succeeds; meanwhile it casts no votes and confirms nothing.")
	DiskTakesWrites   = define(207, "disk_takes_writes", Info, "The data folder takes writes again, and the write that had failed is stored. The field cut_bytes counts the bytes of failed writes that were cut off.")
	LeaderChanged     = define(208, "replica_leader_changed", Info, "The member knows another leader of the replicated log, or none any more (leader is empty). For this and for memberships at most ten lines a second are written.")
	MembershipAdopted = define(209, "membership_adopted", Info, "The member uses another membership of the replicated log, or the newest one is committed now. During a change of the voters a majority of the former voters (previous) is needed too.")
	NoLeader          = define(210, "no_leader", Warn, "No leader of the replicated log is known. Written every three seconds until one is; cause is what this member can tell by itself, see docs/OPERATIONS.md.")
	MemberRecovered   = define(205, "member_recovered", Warn, "The member became the only voter under a new membership epoch.")
)
