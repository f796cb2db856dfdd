package event

// Events of entries, 400 to 499.
var (
	LeaseGained            = define(400, "lease_gained", Info, "The entry holds a configuration lease again.")
	LeaseLost              = define(401, "lease_lost", Error, "The configuration lease has ended; new work is refused.")
	ConfigurationLoaded    = define(402, "configuration_loaded", Info, "A newer configuration is in force.")
	RequestContinued       = define(403, "request_continued", Warn, "A backend server was lost; the request goes on elsewhere.")
	RequestIncomplete      = define(404, "request_incomplete", Error, "An answer could not be completed.")
	CancelFailed           = define(405, "cancel_failed", Warn, "A request could not be cancelled at its engine.")
	EndAttemptFailed       = define(406, "settle_failed", Error, "The outcome of an at-most-once call could not be recorded.")
	PeerUnreachable        = define(407, "peer_unreachable", Warn, "No digest was received from another entry.")
	RequestQuarantined     = define(409, "request_quarantined", Warn, "Requests with this digest are refused, because these servers ended when they ran such requests.")
	RequestQuarantineEnded = define(410, "request_quarantine_ended", Info, "Requests with this digest are sent again.")
	QuarantinedRequestSent = define(411, "quarantined_request_sent", Info, "A quarantined request was sent, to find out whether servers still end under it.")
	SuspectRequestSent     = define(412, "suspect_request_sent", Info, "A suspect request was sent, to find out whether it ends servers; others with the same digest wait for the outcome.")
	BackendServerEnded     = define(413, "backend_server_ended", Warn, "A backend server has ended while requests of this entry ran on it: nothing listens at its address, or a later run announces itself there.")
	RequestWithoutVersion  = define(414, "request_without_version", Warn, "An answer ends incomplete, because no backend server of the software version that began it is left.")
	AnnouncementRefused    = define(408, "announcement_refused", Warn, "Announcements or records of backend servers describe no usable server and were left out; at most one line in ten seconds.")
)
