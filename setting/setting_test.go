package setting_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/setting"
)

const validEntry = `role: entry
name: entry-1
availability_zone: az-1
listen: 127.0.0.1:8080
control: [127.0.0.1:8081]
`

const validControl = `role: control
name: control-1
availability_zone: az-1
listen: 127.0.0.1:8081
data_folder: /var/lib/galenaslip
members:
  - {name: control-1, address: "127.0.0.1:8081", availability_zone: az-1}
`

const validRelay = `role: relay
name: relay-1
availability_zone: az-1
address: 10.0.0.4
listen: 10.0.0.4:8080
ready_listen: 10.0.0.4:8081
peer_port: 8082
seeds: ["10.0.0.1:8083"]
`

const validMember = `role: member
name: member-1
availability_zone: az-1
address: 10.0.0.1
listen: 10.0.0.1:8083
peer_port: 8082
seeds: ["10.0.0.1:8083"]
data_folder: /var/lib/galenaslip
found: true
`

const memberWithDuties = validMember + `duties: [metering, other]
duty_address: 10.0.0.9:8000
duty_calls_per_s: 50
duty_lease_ms: 3000
usage_window_s: 5
usage_late_s: 10
`

// Guards against an invalid setting that is accepted, and against an error message
// that does not name the line and the key.
func TestCheck(t *testing.T) {
	tests := []struct {
		name, content, want string
	}{
		{name: "entry", content: validEntry},
		{name: "control", content: validControl},
		{name: "unknown role", content: "role: other\n", want: ":1: role"},
		{name: "unknown key", content: validEntry + "que_capacity: 3\n", want: "que_capacity"},
		{name: "duplicate key", content: validEntry + "name: entry-2\n", want: "name"},
		{name: "host name", content: strings.Replace(validEntry, "127.0.0.1:8080", "localhost:8080", 1), want: ":4: listen \"localhost:8080\" is a host name"},
		{name: "host name of control", content: strings.Replace(validEntry, "[127.0.0.1:8081]", "[db.example:80]", 1), want: ":5: control"},
		{name: "no port", content: strings.Replace(validEntry, "127.0.0.1:8080", "127.0.0.1", 1), want: ":4: listen"},
		{name: "wrong unit", content: validEntry + "stop_wait_ms: 5s\n", want: "6:"},
		{name: "out of range", content: validEntry + "silence_timeout_ms: 10\n", want: ":6: silence_timeout_ms 10"},
		{name: "policy", content: validEntry + "policy: fast\n", want: ":6: policy"},
		{name: "tokens missing", content: strings.Replace(validEntry, "127.0.0.1:8080", "10.0.0.1:8080", 1), want: "is missing"},
		{name: "advertise any address", content: validEntry + "advertise: 0.0.0.0:80\n", want: ":6: advertise"},
		{name: "relative folder", content: strings.Replace(validControl, "/var/lib", "var", 1), want: ":5: data_folder"},
		{name: "two members", content: validControl + `  - {name: control-2, address: "127.0.0.1:8082"}` + "\n", want: "2 processes"},
		{name: "relay", content: validRelay},
		{name: "member", content: validMember},
		{name: "relay at a host name", content: strings.Replace(validRelay, "listen: 10.0.0.4", "listen: here", 1), want: ":5: listen"},
		{name: "relay without readiness", content: strings.Replace(validRelay, "ready_listen: 10.0.0.4:8081\n", "", 1), want: "ready_listen"},
		{name: "address with a port", content: strings.Replace(validRelay, "address: 10.0.0.4", "address: 10.0.0.4:1", 1), want: ":4: address"},
		{name: "seed without a port", content: strings.Replace(validRelay, "10.0.0.1:8083", "10.0.0.1", 1), want: ":8: seeds"},
		{name: "lease that no election fits in", content: validRelay + "revoke_ms: 2000\n", want: ":9: revoke_ms 2000"},
		{name: "wrong type", content: validRelay + "retry_slack: many\n", want: "9:"},
		{name: "foundation without seeds", content: strings.Replace(validMember, `["10.0.0.1:8083"]`, "[]", 1), want: ":7: a group"},
		{name: "member without a folder", content: strings.Replace(validMember, "data_folder: /var/lib/galenaslip\n", "", 1), want: "data_folder"},
		{name: "duties", content: memberWithDuties},
		{name: "duties that are not known", content: validMember + "duties: [other]\nduty_address: 10.0.0.9:8000\n"},
		{name: "relay that counts usage", content: validRelay + "usage_window_s: 5\n"},
		{name: "relay with a negative window", content: validRelay + "usage_window_s: -5\n", want: ":9: usage_window_s -5"},
		{name: "window of a part of a millisecond", content: strings.Replace(memberWithDuties, "usage_window_s: 5", "usage_window_s: 5.0005", 1), want: ":14: usage_window_s 5.0005"},
		{name: "duties without a receiver", content: strings.Replace(memberWithDuties, "duty_address: 10.0.0.9:8000\n", "", 1), want: "duty_address is missing"},
		{name: "receiver with a host name", content: strings.Replace(memberWithDuties, "10.0.0.9:8000", "platform:8000", 1), want: ":11: duties are listed, but duty_address \"platform:8000\""},
		{name: "no duty calls", content: strings.Replace(memberWithDuties, "duty_calls_per_s: 50", "duty_calls_per_s: 0", 1), want: ":12: duty_calls_per_s 0"},
		{name: "usage without a window", content: strings.Replace(memberWithDuties, "usage_window_s: 5\n", "", 1), want: "usage_window_s 0"},
		{name: "usage that is never due", content: strings.Replace(memberWithDuties, "usage_late_s: 10", "usage_late_s: 0", 1), want: ":15: usage_late_s 0"},
		{name: "usage that a successor cannot report in time", content: strings.Replace(memberWithDuties, "usage_late_s: 10", "usage_late_s: 3", 1), want: ":15: usage_late_s 3 is not longer than duty_lease_ms 3000"},
		{name: "not YAML", content: "role: [", want: "s.yaml"},
		{name: "empty", content: "", want: "role"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s.yaml")
			if err := os.WriteFile(path, []byte(tt.content), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := setting.Check(path)
			got := ""
			if err != nil {
				got = err.Error()
			}
			if tt.want == "" && got != "" || !strings.Contains(got, tt.want) {
				t.Errorf("error: got %q, want one with %q", got, tt.want)
			}
		})
	}
}

// Guards against accepting a token that other users can read or that can be guessed.
func TestReadToken(t *testing.T) {
	tests := []struct {
		name, content string
		mode          os.FileMode
		ok            bool
	}{
		{name: "valid", content: "0123456789abcdef\n", mode: 0o600, ok: true},
		{name: "readable by others", content: "0123456789abcdef\n", mode: 0o644},
		{name: "short", content: "secret", mode: 0o600},
		{name: "two lines", content: "0123456789abcdef\n0123456789abcdef", mode: 0o600},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "token")
			if err := os.WriteFile(path, []byte(tt.content), tt.mode); err != nil {
				t.Fatal(err)
			}
			_, err := setting.ReadToken(path)
			if got, want := err == nil, tt.ok; got != want {
				t.Errorf("accepted: got %v (%v), want %v", got, err, want)
			}
		})
	}
}
