package backend_test

import (
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/backend"
)

// Guards against a message that crashes the decoder, or that is accepted but changes
// when it is encoded and decoded again.
func fuzz[T any](f *testing.F, decode func([]byte) (T, error), encode func(T) ([]byte, error), seeds ...string) {
	f.Helper()
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := decode(data)
		if err != nil {
			return
		}
		encoded, err := encode(value)
		if err != nil {
			t.Fatal(err)
		}
		redecoded, err := decode(encoded)
		if err != nil {
			t.Fatalf("decode %s: %v", encoded, err)
		}
		if reencoded, _ := encode(redecoded); string(reencoded) != string(encoded) {
			t.Errorf("got %s, want %s", reencoded, encoded)
		}
	})
}

func FuzzAnnouncement(f *testing.F) {
	for _, tt := range oddAnnouncements {
		f.Add([]byte(strings.Replace(announcementText("odd"), tt.old, tt.replacement, 1)))
	}
	fuzz(f, backend.DecodeAnnouncement, backend.EncodeAnnouncement,
		`{"server":"engine-7","incarnation":1,"sequence":12,"state":"serving","kind":"engine","address":"10.0.0.7:9000","models":["m"],"slots":16,"load":{"age_ms":400,"running":5,"tokens_per_second":800},"cache_events":[{"sequence":9,"kind":"stored","hash":"ff"}]}`)
}

func FuzzAnnouncementResponse(f *testing.F) {
	fuzz(f, backend.DecodeAnnouncementResponse, backend.EncodeAnnouncementResponse, `{"accepted":true,"challenge":"e/1/2/3","interval_ms":1000,"reason":""}`)
}

func FuzzDigestRequest(f *testing.F) {
	fuzz(f, backend.DecodeDigestRequest, backend.EncodeDigestRequest, `{"entry":"e","since":{"e/1":5}}`,
		`{"entry":"e","since":{},"quarantine_known":{"instance":3,"number":4}}`)
}

func FuzzDigest(f *testing.F) {
	f.Add([]byte(`{"entry":"e","full":[null,7,{"announcement":{"slots":1e400}}],"refresh":{"e/1":[{},["s",4],["s",4,99,7,1e400,500,3,0,10,800]]},"load":{}}`))
	fuzz(f, backend.DecodeDigest, backend.EncodeDigest,
		`{"entry":"e","version":{"e/1":5},"refresh":{"e/1":[["s",4,99,7,100,500,3,0,10,800,[{"sequence":9,"kind":"cleared"}]]]},"in_flight":{"s":3},"waiting":[{"pool":"model:m","tier":1,"waiting":2,"oldest_ms":5}],"load":{"origin":"e/1","from":3,"to":9,"started":{"s":[[8,"id",4]]},"ended":[2]}}`,
		`{"entry":"e","version":{},"full":[{"origin":"e/1","counter":1,"age_ms":3,"announcement":{"server":"s","state":"leaving","kind":"service","address":"[::1]:1","services":["ledger"],"slots":1,"load":{}}}]}`,
		`{"entry":"e","load":{},"quarantine":{"position":{"instance":3,"number":4},"report":{"ends":[{"s":"model:m","p":"00ff","whole":true,"server":"s","started_ms":5,"waiting":true,"age_ms":9}],"trials":[{"s":"model:m","p":"00ff","whole":true,"n":1,"age_ms":8}]}}}`)
}
