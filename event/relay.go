package event

// Events of the relay, 420 to 449.
var (
	RequestAnswered       = define(420, "request_answered", Info, "A backend server's whole answer was passed on.")
	RequestRefused        = define(421, "request_refused", Info, "The relay answered a request itself; the fields sends and runs give how often it was sent and how many servers may have run it.")
	AttemptFailed         = define(422, "attempt_failed", Info, "A backend server did not give a complete answer to a request that was sent to it.")
	StreamResumed         = define(423, "stream_resumed", Info, "A stream broke off and goes on at another server.")
	StreamCut             = define(424, "stream_cut", Warn, "A stream could not be completed; its connection was closed.")
	CatalogLoaded         = define(425, "catalog_loaded", Info, "A newer catalog is in force at this relay.")
	CatalogUnreadable     = define(426, "catalog_unreadable", Error, "A catalog document cannot be decoded; the former one stays in force without a lease.")
	AcceptFailed          = define(427, "accept_failed", Warn, "A connection could not be accepted.")
	SettingsReloaded      = define(428, "settings_reloaded", Info, "The settings file was read again.")
	SettingsUnusable      = define(429, "settings_unusable", Warn, "The settings file has changed and cannot be used; the former settings stay in force.")
	LogLinesDropped       = define(430, "lines_dropped", Warn, "Log lines were dropped because standard output did not take them.")
	ControlCallRefused    = define(431, "input_refused", Info, "A call to the control interface was refused as invalid.")
	ControlCallUnanswered = define(432, "input_unanswered", Warn, "A call to the control interface could not be answered with certainty.")
	CatalogAcknowledged   = define(433, "input_acknowledged", Info, "A catalog document of an operator was acknowledged at this member.")
	CallerDisconnected    = define(434, "caller_left", Info, "The caller has left before its answer was complete; the request was given up.")
	RequestPanicked       = define(435, "request_panicked", Error, "Handling a connection failed unexpectedly; that connection was closed.")
	HandlerPanicked       = define(436, "handler_panicked", Error, "Handling a call failed unexpectedly; it was answered with status 500.")
)
