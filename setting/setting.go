package setting

import (
	"github.com/galenaslip/galenaslip/clock"
)

// Role is the kind of process that a settings file is for.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Policy selects the decisions of an entry.
type Policy string

// The policies. Naive is the baseline of experiments.
const (
	PolicyStandard Policy = "real"
	PolicyNaive    Policy = "naive"
)

// Process holds the settings that every process has.
type Process struct {
	Name             string
	AvailabilityZone string
	// Listen is the IP number and port that the process binds.
	Listen string
	// Advertise is the IP number and port that others use; Listen by default.
	Advertise string
	LogLevel  string
	Tokens    Tokens
}

// Tokens holds the paths of the files that bearer tokens are read from. An empty
// path turns the check off, which is allowed on loopback addresses only.
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
	// Peers lists entries that are known before the first lease answer.
	Peers  []string
	Policy Policy
	// SlotLeases lets one entry for each backend server hand out its slots.
	SlotLeases      bool
	QueueCapacity   int
	MaxBodyBytes    int
	MaxHeaderBytes  int
	StopWait        clock.Millis
	SilenceTimeout  clock.Millis
	CallTimeout     clock.Millis
	RetryPercentage int
}

// Control holds the settings of a control process.
type Control struct {
	Process
	DataFolder string
	Members    []Member
	// Join makes a process without a data folder ask the members for admission
	// in place of starting a group of its own.
	Join bool
	// ModelLoadsPerMinute is the rate of model loads that the weight store bears.
	ModelLoadsPerMinute int
}

// Member is a control process of the first membership.
type Member struct {
	Name             string
	Address          string
	AvailabilityZone string
}
