package setting

import (
	"net/netip"
	"strconv"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/propagation"
)

// The roles of the processes that run on the hosting platform to which package
// platform adapts galenaslip.
const (
	// RoleRelay is the data path for HTTP routes.
	RoleRelay Role = "relay"
	// RoleMember is a member of the control group. Backend servers and operators call
	// its HTTP API (package platform).
	RoleMember Role = "member"
)

// Node holds the settings that relays and members share.
type Node struct {
	Name             string
	AvailabilityZone string
	// Address is the VM's IP number.
	Address string
	// PeerPort is the port on which members listen for other members and relays.
	PeerPort int
	// Seeds are addresses (IP:port) of some members, used to find the control group. The
	// port is replaced by PeerPort.
	Seeds             []string
	LogLevel          string
	MemoryMB          int
	StopTimeout       clock.Millis // longest time of a planned stop
	HeartbeatInterval clock.Millis // interval of the announcements of a backend server
	// Bounds are the times within which changes must be acknowledged and be in force. The
	// duration of the relays' leases follows from them, so relays and members need the same.
	Bounds propagation.Bounds
}

// PeerAddress returns the address at which the member on this VM listens for other
// members and relays.
func (n Node) PeerAddress() string { return n.Address + ":" + strconv.Itoa(n.PeerPort) }

// PeerSeeds returns the addresses at which the members in Seeds listen for other
// members and relays. It leaves out invalid seeds.
func (n Node) PeerSeeds() []string {
	return lo.FilterMap(n.Seeds, func(seed string, _ int) (string, bool) {
		a, err := netip.ParseAddrPort(seed)
		return a.Addr().String() + ":" + strconv.Itoa(n.PeerPort), err == nil
	})
}

// Relay holds the settings of a relay.
type Relay struct {
	Node
	Listen      string // for callers
	ReadyListen string // for readiness checks
	StateListen string // for metrics and the state dump; not served when empty
	// The next three fields are the retry budget of a service: in each RetryWindow, all
	// relays together send at most RetryRatio times the number of requests as retries, and
	// in addition a fixed number of them.
	RetryRatio      float64
	RetryWindow     clock.Millis
	MaxExtraRetries int
	// UsageWindow is the length of the windows in which the relay counts the requests of workspaces; it
	// counts none when 0.
	UsageWindow clock.Millis
}

// GroupMember holds the settings of a member of the control group.
type GroupMember struct {
	Node
	Listen     string // for backend servers and operators
	DataFolder string
	// CreateGroup makes the member found a new group with the other seeds. It is true when
	// the whole system starts for the first time.
	CreateGroup bool
	Duties      Duties
}

type wireNode struct {
	Role             string   `yaml:"role"`
	Name             string   `yaml:"name"`
	AvailabilityZone string   `yaml:"availability_zone"`
	Address          string   `yaml:"address"`
	PeerPort         int      `yaml:"peer_port"`
	Seeds            []string `yaml:"seeds"`
	LogLevel         string   `yaml:"log_level"`
	MemoryMB         int      `yaml:"memory_mb"`
	StopS            float64  `yaml:"stop_s"`
	HeartbeatMS      int64    `yaml:"heartbeat_ms"`
	RevokeMS         int64    `yaml:"revoke_ms"`
	ApplyMS          int64    `yaml:"apply_ms"`
	DrainMS          int64    `yaml:"drain_ms"`
	AckMS            int64    `yaml:"ack_ms"`
}

type wireRelay struct {
	Node            wireNode `yaml:",inline"`
	Listen          string   `yaml:"listen"`
	ReadyListen     string   `yaml:"ready_listen"`
	StateListen     string   `yaml:"state_listen"`
	RetryRatio      float64  `yaml:"retry_ratio"`
	RetryWindowS    float64  `yaml:"retry_window_s"`
	MaxExtraRetries int      `yaml:"retry_slack"`
	UsageWindowS    float64  `yaml:"usage_window_s"`
}

// wireGroupMember is GroupMember in YAML.
type wireGroupMember struct {
	Node        wireNode   `yaml:",inline"`
	Listen      string     `yaml:"listen"`
	DataFolder  string     `yaml:"data_folder"`
	CreateGroup bool       `yaml:"found"` // the key means: found a new group
	Duties      wireDuties `yaml:",inline"`
}

// defaultNode returns the values of keys that a settings file leaves out.
func defaultNode() wireNode {
	return wireNode{
		LogLevel: "info", MemoryMB: 256, StopS: 8, HeartbeatMS: 1000, RevokeMS: 5000, ApplyMS: 2000, DrainMS: 2000, AckMS: 4000,
	}
}

// secondsToMillis converts seconds to milliseconds.
func secondsToMillis(s float64) clock.Millis { return clock.Millis(s * float64(clock.Second)) }

func (w wireNode) toSettings() Node {
	return Node{
		Name: w.Name, AvailabilityZone: w.AvailabilityZone, Address: w.Address, PeerPort: w.PeerPort, Seeds: w.Seeds,
		LogLevel: w.LogLevel, MemoryMB: w.MemoryMB, StopTimeout: secondsToMillis(w.StopS),
		HeartbeatInterval: clock.Millis(w.HeartbeatMS),
		Bounds: propagation.Bounds{
			Revoke: clock.Millis(w.RevokeMS), Apply: clock.Millis(w.ApplyMS), Drain: clock.Millis(w.DrainMS), Ack: clock.Millis(w.AckMS),
		},
	}
}

// LoadRelay reads and checks the settings of a relay.
func LoadRelay(path string) (Relay, error) {
	d, err := readDocument(path)
	if err != nil {
		return Relay{}, err
	}
	w := wireRelay{Node: defaultNode(), RetryRatio: 0.1, RetryWindowS: 10, MaxExtraRetries: 20}
	if err := d.decode(&w); err != nil {
		return Relay{}, err
	}
	r := Relay{
		Node: w.Node.toSettings(), Listen: w.Listen, ReadyListen: w.ReadyListen, StateListen: w.StateListen,
		RetryRatio: w.RetryRatio, RetryWindow: secondsToMillis(w.RetryWindowS), MaxExtraRetries: w.MaxExtraRetries,
		UsageWindow: secondsToMillis(w.UsageWindowS),
	}
	return r, d.checkRelay(w)
}

// LoadGroupMember reads and checks the settings of a member.
func LoadGroupMember(path string) (GroupMember, error) {
	d, err := readDocument(path)
	if err != nil {
		return GroupMember{}, err
	}
	w := wireGroupMember{Node: defaultNode(), Duties: defaultDuties()}
	if err := d.decode(&w); err != nil {
		return GroupMember{}, err
	}
	m := GroupMember{Node: w.Node.toSettings(), Listen: w.Listen, DataFolder: w.DataFolder, CreateGroup: w.CreateGroup, Duties: w.Duties.toSettings()}
	return m, d.checkGroupMember(w)
}

func (d document) checkNode(w wireNode, role Role) error {
	if Role(w.Role) != role {
		return d.errorAt("$.role", "role is %q, want %q", w.Role, role)
	}
	if w.Name == "" || w.AvailabilityZone == "" {
		return d.errorAt("$.name", "name %q and availability_zone %q must not be empty", w.Name, w.AvailabilityZone)
	}
	if _, err := netip.ParseAddr(w.Address); err != nil {
		return d.errorAt("$.address", "address %q is not an IP number", w.Address)
	}
	for i, seed := range w.Seeds {
		if err := CheckAddress(seed); err != nil {
			return d.errorAt("$.seeds["+strconv.Itoa(i)+"]", "seeds %s", err)
		}
	}
	return d.checkRanges([]numberRange{
		{"peer_port", int64(w.PeerPort), 1, 65535},
		{"memory_mb", int64(w.MemoryMB), 32, 1 << 20},
		{"stop_s", int64(w.StopS), 1, 3600},
		{"heartbeat_ms", w.HeartbeatMS, 50, 60_000},
		{"revoke_ms", w.RevokeMS, int64(MinRevokeTime), 600_000},
		{"apply_ms", w.ApplyMS, int64(MinApplyTime), 600_000},
		{"drain_ms", w.DrainMS, int64(MinApplyTime), 600_000},
		{"ack_ms", w.AckMS, int64(MinApplyTime), 600_000},
	})
}

// checkListen checks the addresses at which a process listens, by key.
func (d document) checkListen(addresses map[string]string) error {
	for key, address := range addresses {
		if err := CheckAddress(address); err != nil {
			return d.errorAt("$."+key, "%s %s", key, err)
		}
	}
	return nil
}

func (d document) checkRelay(w wireRelay) error {
	if err := d.checkNode(w.Node, RoleRelay); err != nil {
		return err
	}
	if err := d.checkListen(map[string]string{"listen": w.Listen, "ready_listen": w.ReadyListen}); err != nil {
		return err
	}
	if w.StateListen != "" {
		if err := CheckAddress(w.StateListen); err != nil {
			return d.errorAt("$.state_listen", "state_listen %s", err)
		}
	}
	if w.RetryRatio < 0 || w.RetryWindowS <= 0 {
		return d.errorAt("$.retry_ratio", "retry_ratio %g or retry_window_s %g is out of range", w.RetryRatio, w.RetryWindowS)
	}
	if w.UsageWindowS != 0 {
		if err := d.checkUsageWindow(w.UsageWindowS); err != nil {
			return err
		}
	}
	return d.checkRanges([]numberRange{
		{"retry_slack", int64(w.MaxExtraRetries), 0, 1_000_000},
	})
}

// The lowest allowed values of the bounds of Node.Bounds. The duration of a relay's lease is
// derived from them and must outlast an election of the control group.
const (
	MinRevokeTime = 3 * clock.Second
	MinApplyTime  = 1 * clock.Second
)

func (d document) checkGroupMember(w wireGroupMember) error {
	if err := d.checkNode(w.Node, RoleMember); err != nil {
		return err
	}
	if w.DataFolder == "" {
		return d.errorAt("$.data_folder", "data_folder is missing")
	}
	if w.CreateGroup && len(w.Node.Seeds) == 0 {
		return d.errorAt("$.seeds", "a group cannot be founded without seeds")
	}
	if err := d.checkDuties(w.Duties); err != nil {
		return err
	}
	return d.checkListen(map[string]string{"listen": w.Listen})
}
