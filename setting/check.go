package setting

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/class"
)

// minSilenceTimeoutMS is the shortest allowed timeout without a byte from an engine.
// Engines send a comment event every second, so a shorter timeout could cut streams
// that are alive.
const minSilenceTimeoutMS = 2000

// LoadEntry reads and checks the settings of an entry.
func LoadEntry(path string) (Entry, error) {
	d, err := readDocument(path)
	if err != nil {
		return Entry{}, err
	}
	w := defaultEntry()
	if err := d.decode(&w); err != nil {
		return Entry{}, err
	}
	e := w.toSettings()
	return e, d.checkEntry(w.Process.Role, e)
}

// LoadControl reads and checks the settings of a control process.
func LoadControl(path string) (Control, error) {
	d, err := readDocument(path)
	if err != nil {
		return Control{}, err
	}
	w := defaultControl()
	if err := d.decode(&w); err != nil {
		return Control{}, err
	}
	c := w.toSettings()
	return c, d.checkControl(w.Process.Role, c)
}

// Check reads and checks a settings file of any role and returns the role.
func Check(path string) (Role, error) {
	d, err := readDocument(path)
	if err != nil {
		return "", err
	}
	role, err := d.role()
	if err != nil {
		return "", err
	}
	switch role {
	case RoleEntry:
		_, err = LoadEntry(path)
	case RoleRelay:
		_, err = LoadRelay(path)
	case RoleMember:
		_, err = LoadGroupMember(path)
	default:
		_, err = LoadControl(path)
	}
	return role, err
}

func (d document) checkEntry(role string, e Entry) error {
	if err := d.checkProcess(role, RoleEntry, e.Process); err != nil {
		return err
	}
	if len(e.ControlAddresses) == 0 {
		return d.errorAt("$.control", "control has no address")
	}
	if err := d.checkAddresses("control", e.ControlAddresses); err != nil {
		return err
	}
	if err := d.checkAddresses("peers", e.Peers); err != nil {
		return err
	}
	if e.Policy != PolicyStandard && e.Policy != PolicyNaive {
		return d.errorAt("$.policy", "policy %q is unknown: want %q or %q", e.Policy, PolicyStandard, PolicyNaive)
	}
	if err := d.checkRanges(entryRanges(e)); err != nil {
		return err
	}
	return d.checkTokens(e.Process, []tokenFile{
		{"operator_file", e.Tokens.OperatorFile}, {"server_file", e.Tokens.ServerFile}, {"peer_file", e.Tokens.PeerFile},
	})
}

func (d document) checkControl(role string, c Control) error {
	if err := d.checkProcess(role, RoleControl, c.Process); err != nil {
		return err
	}
	if !filepath.IsAbs(c.DataFolder) {
		return d.errorAt("$.data_folder", "data_folder %q is not an absolute path", c.DataFolder)
	}
	if err := d.checkMembers(c); err != nil {
		return err
	}
	if err := d.checkRanges([]numberRange{{"orders_per_minute", int64(c.ModelLoadsPerMinute), 1, 6000}}); err != nil {
		return err
	}
	return d.checkTokens(c.Process, []tokenFile{
		{"operator_file", c.Tokens.OperatorFile}, {"peer_file", c.Tokens.PeerFile},
	})
}

func (d document) checkProcess(role string, want Role, p Process) error {
	if Role(role) != want {
		return d.errorAt("$.role", "role is %q, want %q", role, want)
	}
	if !class.ValidName(p.Name) {
		return d.errorAt("$.name", "name %q is not valid: want lower-case letters, digits, - and _", p.Name)
	}
	if !class.ValidName(p.AvailabilityZone) {
		return d.errorAt("$.availability_zone", "availability_zone %q is not valid", p.AvailabilityZone)
	}
	if err := CheckAddress(p.Listen); err != nil {
		return d.errorAt("$.listen", "listen %s", err)
	}
	if err := CheckAddress(p.Advertise); err != nil {
		return d.errorAt("$.advertise", "advertise %s", err)
	}
	if a := netip.MustParseAddrPort(p.Advertise); a.Addr().IsUnspecified() {
		return d.errorAt("$.advertise", "advertise %q does not name one machine: set the VM's own IP number", p.Advertise)
	}
	switch p.LogLevel {
	case "debug", "info", "warn", "error":
		return nil
	}
	return d.errorAt("$.log_level", "log_level %q is unknown: want debug, info, warn or error", p.LogLevel)
}

// CheckAddress returns an error unless address is an IP number with a port. The error
// message continues a sentence that starts with the name of the setting.
func CheckAddress(address string) error {
	if address == "" {
		return errors.New("is missing: want an IP number with a port, such as 127.0.0.1:8080")
	}
	if _, err := netip.ParseAddrPort(address); err == nil {
		return nil
	}
	host, _, found := strings.Cut(address, ":")
	if _, err := netip.ParseAddr(host); found && err != nil && !strings.HasPrefix(address, "[") {
		return errors.Errorf("%q is a host name: want an IP number with a port", address)
	}
	return errors.Errorf("%q is not an IP number with a port", address)
}

func (d document) checkAddresses(key string, addresses []string) error {
	seen := map[string]bool{}
	for i, a := range addresses {
		path := fmt.Sprintf("$.%s[%d]", key, i)
		if err := CheckAddress(a); err != nil {
			return d.errorAt(path, "%s %s", key, err)
		}
		if seen[a] {
			return d.errorAt(path, "%s lists %q twice", key, a)
		}
		seen[a] = true
	}
	return nil
}

func (d document) checkMembers(c Control) error {
	if c.Join {
		if len(c.Members) == 0 {
			return d.errorAt("$.join", "join needs at least one address under members")
		}
	} else if err := d.checkVoters(c.Members); err != nil {
		return err
	}
	for i, m := range c.Members {
		path := fmt.Sprintf("$.members[%d]", i)
		if !class.ValidName(m.Name) {
			return d.errorAt(path, "member name %q is not valid", m.Name)
		}
		if err := CheckAddress(m.Address); err != nil {
			return d.errorAt(path, "member %s: address %s", m.Name, err)
		}
	}
	return nil
}

// checkVoters refuses a membership that does not survive the loss of a member, except
// a group of one for trials. Up to three of the members vote, one in each
// availability zone; the others are standbys.
func (d document) checkVoters(members []Member) error {
	if n := len(members); n != 1 && n < 3 {
		return d.errorAt("$.members", "members lists %d processes: want 3 or more, or 1 for trials", n)
	}
	return nil
}

// numberRange is the value of a key with the smallest and the largest allowed value.
type numberRange struct {
	key      string
	value    int64
	min, max int64
}

// entryRanges returns the allowed ranges of an entry's numbers.
func entryRanges(e Entry) []numberRange {
	return []numberRange{
		{"queue_capacity", int64(e.QueueCapacity), 1, 1_000_000},
		{"max_body_bytes", int64(e.MaxBodyBytes), 1 << 10, 1 << 28},
		{"max_header_bytes", int64(e.MaxHeaderBytes), 1 << 10, 1 << 20},
		{"stop_wait_ms", int64(e.StopWait), 0, 600_000},
		{"silence_timeout_ms", int64(e.SilenceTimeout), minSilenceTimeoutMS, 600_000},
		{"call_timeout_ms", int64(e.CallTimeout), 100, 3_600_000},
		{"retry_percentage", int64(e.RetryPercentage), 1, 100},
	}
}

func (d document) checkRanges(ranges []numberRange) error {
	for _, r := range ranges {
		if r.value < r.min || r.value > r.max {
			return d.errorAt("$."+r.key, "%s %d is out of range: want %d to %d", r.key, r.value, r.min, r.max)
		}
	}
	return nil
}

// tokenFile is the path of a token file and its key under "tokens".
type tokenFile struct {
	key, path string
}

// checkTokens requires valid token files. They may be left out if the process listens
// on a loopback address.
func (d document) checkTokens(p Process, files []tokenFile) error {
	loopback := netip.MustParseAddrPort(p.Listen).Addr().IsLoopback()
	for _, f := range files {
		path := "$.tokens." + f.key
		if f.path == "" && loopback {
			continue
		}
		if f.path == "" {
			return d.errorAt(path, "tokens.%s is missing: it may be left out on a loopback address only, and listen is %q", f.key, p.Listen)
		}
		if _, err := ReadToken(f.path); err != nil {
			return d.errorAt(path, "tokens.%s: %s", f.key, err)
		}
	}
	return nil
}

const (
	// minTokenBytes keeps tokens from being guessed.
	minTokenBytes = 16
	maxTokenBytes = 4096
	// sharedPermissions are the permission bits of users other than the owner.
	sharedPermissions = 0o077
)

// ReadToken returns the bearer token in a file, or "" for an empty path. Only the
// owner may have permissions for the file.
func ReadToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return "", errors.Wrap(err, "cannot read token file")
	}
	if mode := info.Mode().Perm(); mode&sharedPermissions != 0 {
		return "", errors.Errorf("token file %q has mode %04o: want 0600", path, mode)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "cannot read token file")
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenBytes || len(token) > maxTokenBytes || strings.ContainsAny(token, " \t\r\n") {
		return "", errors.Errorf("token file %q holds %d bytes: want %d to %d without white space", path, len(token), minTokenBytes, maxTokenBytes)
	}
	return token, nil
}
