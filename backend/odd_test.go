package backend_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
)

// announcementText returns the JSON form of a usable server.
func announcementText(server string) string {
	return fmt.Sprintf(`{"server":%q,"incarnation":1,"sequence":1,"state":"serving","kind":"engine","address":"10.0.0.1:80","models":["m"],"slots":4,"load":{}}`, server)
}

// oddAnnouncements replaces one part of an announcement by a value that describes no usable
// server.
var oddAnnouncements = []struct{ name, old, replacement string }{
	{"port 0", ":80", ":0"},
	{"port above 65535", ":80", ":65536"},
	{"unspecified address", "10.0.0.1:80", "0.0.0.0:80"},
	{"address with a network interface", "10.0.0.1:80", "[fe80::1%eth0]:80"},
	{"host name", "10.0.0.1:80", "localhost:80"},
	{"unknown state", "serving", "resting"},
	{"unknown kind", `"engine"`, `"desk"`},
	{"slots above float64", `"slots":4`, `"slots":1e400`},
	{"slots as text", `"slots":4`, `"slots":"4"`},
	{"absurd slots", `"slots":4`, `"slots":9223372036854775807`},
	{"negative slots", `"slots":4`, `"slots":-4`},
	{"sequence above uint64", `"sequence":1`, `"sequence":18446744073709551616`},
	{"name with a line break", `"odd"`, `"odd\r\nX: y"`},
	{"name of another type", `"odd"`, `{}`},
	{"models of another type", `["m"]`, `{"m":1}`},
	{"deeply nested", `["m"]`, strings.Repeat("[", 9000) + strings.Repeat("]", 9000)},
}

// Guards against an announcement of another writer that becomes a server.
func TestOddAnnouncementIsRefused(t *testing.T) {
	for _, tt := range oddAnnouncements {
		text := strings.Replace(announcementText("odd"), tt.old, tt.replacement, 1)
		if got, err := backend.DecodeAnnouncement([]byte(text)); err == nil {
			t.Errorf("%s: got %+v, want a refusal", tt.name, got)
		}
	}
}

// Guards against an entry that no longer follows another one, because one record of its digest
// describes no usable server.
func TestOddRecordCostsOnlyItself(t *testing.T) {
	full := func(server string) string {
		return fmt.Sprintf(`{"origin":"p/1","counter":1,"age_ms":3,"announcement":%s}`, announcementText(server))
	}
	type oddRecord struct{ name, full, refresh string }
	tests := []oddRecord{
		{"record of another type", `7`, ``},
		{"record null", `null`, ``},
		{"absurd age", strings.Replace(full("odd"), `"age_ms":3`, `"age_ms":1e400`, 1), ``},
		{"refresh of another type", ``, `{}`},
		{"refresh that is too short", ``, `["odd",4]`},
		{"refresh with an absurd number", ``, `["odd",4,99,7,1e400,500,3,0,10,800]`},
		{"refresh with a negative age", ``, `["odd",4,99,7,-1,500,3,0,10,800]`},
		{"refresh with an odd event", ``, `["odd",4,99,7,100,500,3,0,10,800,[{"kind":"stored","hash":"x"}]]`},
	}
	for _, tt := range oddAnnouncements {
		tests = append(tests, oddRecord{tt.name, strings.Replace(full("odd"), tt.old, tt.replacement, 1), ``})
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			records, refreshes := []string{full("s1"), full("s2")}, []string{`["s1",2,0,9,100,500,3,0,10,800]`}
			if tt.full != "" {
				records = []string{full("s1"), tt.full, full("s2")}
			} else {
				refreshes = append([]string{tt.refresh}, refreshes...)
			}
			text := fmt.Sprintf(`{"entry":"p","version":{"p/1":5},"full":[%s],"refresh":{"p/1":[%s]},"load":{}}`, strings.Join(records, ","), strings.Join(refreshes, ","))
			d, err := backend.DecodeDigest([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			if got, want := d.RecordCount(), 3; got != want {
				t.Errorf("records: got %d, want %d", got, want)
			}
			if got, cause := d.Refused(); got != 1 || cause == nil {
				t.Errorf("refused: got %d and %v, want 1 and a cause", got, cause)
			}
			r := backend.New(backend.Options{Entry: "e", Epoch: 1})
			r.Merge(clock.Minute, d, 0)
			if got, want := len(r.Servers(clock.Minute)), 2; got != want {
				t.Errorf("servers: got %d, want %d", got, want)
			}
		})
	}
}
