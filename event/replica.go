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
	MemberRecovered   = define(205, "member_recovered", Warn, "The member became the only voter under a new membership epoch.")
)
