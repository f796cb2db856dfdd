package event

// Events of all kinds of processes, 100 to 199.
var (
	ProcessStarted      = define(100, "process_started", Info, "The process serves its address.")
	ProcessStopping     = define(101, "process_stopping", Info, "The process was asked to stop and finishes its work.")
	ProcessStopped      = define(102, "process_stopped", Info, "The process has finished its work and ends.")
	SettingsRefused     = define(103, "settings_refused", Error, "The settings file is wrong; the process does not start.")
	UnauthorizedRefused = define(104, "stranger_refused", Warn, "A request without a valid token was refused.")
	MessageMalformed    = define(105, "request_malformed", Warn, "A peer or server sent a message that cannot be decoded.")
)
