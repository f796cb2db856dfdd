package event

// Events of placement and of orders for servers, 550 to 599.
var (
	OrderSent             = define(550, "order_sent", Info, "The leader sent an order to an engine, or sent it again because no report shows its effect.")
	OrderRefused          = define(551, "order_refused", Warn, "An engine refused an order for a stale fencing token; the leader verifies its lease.")
	OrderUndelivered      = define(552, "order_undelivered", Warn, "An order did not reach its engine or was not accepted; it is sent again.")
	OrderWithheld         = define(553, "order_withheld", Warn, "An order was not sent because this member no longer holds the leader lease of its term.")
	OrderCompleted        = define(554, "order_done", Info, "An engine's report shows the effect of an order.")
	OrderAbandoned        = define(555, "order_dropped", Warn, "An order is no longer pursued: its engine is gone or restarted, the term ended, or its effect never showed.")
	LeaderVerified        = define(556, "leader_verified", Warn, "After a refused order the group was asked whether this member still leads.")
	ServersOrdered        = define(560, "servers_ordered", Info, "The leader has ordered a number of backend servers of a service, zone and kind; the fields say why, what was there, and with which outcome.")
	ServersPlanHeld       = define(561, "server_orders_held", Warn, "No servers of a service are ordered, because what is known of them cannot be trusted; written when that begins.")
	ServerListUnavailable = define(557, "servers_unknown", Warn, "No entry answered with the list of servers; no orders are planned.")
)
