package event

// Events of the stand-ins, 600 to 649.
var (
	StandinFaultSwitched = define(600, "standin_fault", Info, "A fault was switched on or off in a stand-in.")
	StandinOrderRefused  = define(601, "standin_order_refused", Info, "An order with an old fencing token was refused.")
)
