package setting

import (
	"github.com/galenaslip/galenaslip/clock"
)

// Role is the kind of process to which a settings file belongs.
type Role string

// The roles of processes that the project itself deploys.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Policy selects how an entry schedules and routes requests.
type Policy string

// The policies. PolicyStandard is the default. Its value "real" distinguishes it from
// PolicyNaive, the baseline of experiments.
const (
	PolicyStandard Policy = "real"
	PolicyNaive    Policy = "naive"
)

// Process holds the settings that entries and control processes share.
type Process struct {
	Name             string
	AvailabilityZone string
	// Listen is the IP number and port on which the process listens.
	Listen string
	// Advertise is the IP number and port at which other processes reach this one;
	// Listen by default.
	Advertise string
	LogLevel  string
	Tokens    Tokens
}

// Tokens holds the paths of the files with the bearer tokens. An empty path turns
// the check of that token off, which is allowed on loopback addresses only.
type Tokens struct {
	OperatorFile string
	ServerFile   string
	PeerFile     string
}

// Entry holds the settings of an entry process.
type Entry struct {
	Process
	// ControlAddresses lists the addresses of the control members.
	ControlAddresses []string
	// Peers lists the addresses of other entries. They are used until the first answer
	// to a lease renewal names the entries.
	Peers  []string
	Policy Policy
	// SlotLeases makes one entry per backend server grant the slots of that server to
	// all entries.
	SlotLeases      bool
	QueueCapacity   int // maximum number of waiting requests
	MaxBodyBytes    int
	MaxHeaderBytes  int
	StopWait        clock.Millis // in a planned stop, from failing readiness checks to refusing new work
	SilenceTimeout  clock.Millis // longest time without a byte from an engine
	CallTimeout     clock.Millis
	RetryPercentage int
}

// Control holds the settings of a control process.
type Control struct {
	Process
	DataFolder string
	Members    []Member
	// Join makes a process without a data folder join the group of Members instead of
	// starting a new group.
	Join bool
	// ModelLoadsPerMinute is the maximum rate of model loads. It protects the store of
	// model weights.
	ModelLoadsPerMinute int
}

// Member is a control process that is a member of the group at its first start.
type Member struct {
	Name             string
	Address          string
	AvailabilityZone string
}
