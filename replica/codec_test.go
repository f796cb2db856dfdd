package replica_test

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/replica"
)

// Guards against message fields that are lost in encoding or decoding.
func TestCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.Make[replica.Message]().Draw(t, "message")
		m.Kind = replica.MessageKind(rapid.IntRange(1, int(replica.MessageExcluded)).Draw(t, "kind"))
		m.Index %= 1 << 40
		for i := range m.Entries {
			m.Entries[i].Index = m.Index + uint64(i) + 1
		}
		data, err := replica.EncodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := replica.DecodeMessage(data)
		if err != nil {
			t.Fatal(err)
		}
		if want := withoutEmpty(m); !reflect.DeepEqual(withoutEmpty(got), want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
}

// withoutEmpty replaces empty slices and maps by nil, because the JSON encoding does not
// distinguish them.
func withoutEmpty(m replica.Message) replica.Message {
	for _, list := range []*[]byte{&m.Members, &m.Data} {
		if len(*list) == 0 {
			*list = nil
		}
	}
	for i := range m.Entries {
		if len(m.Entries[i].Data) == 0 {
			m.Entries[i].Data = nil
		}
	}
	if len(m.Entries) == 0 {
		m.Entries = nil
	}
	if len(m.FounderFolderIDs) == 0 {
		m.FounderFolderIDs = nil
	}
	return m
}

// Guards against a message decoder that panics, or accepts messages that cannot be encoded
// again.
func FuzzDecodeMessage(f *testing.F) {
	f.Add([]byte(`{"kind":"append","from":"a","to":"b","index":3,"entries":[{"index":4,"term":1,"data":"eA=="}]}`))
	f.Add([]byte(`{"kind":"hello_reply","from":"a","to":"b","lives":{"a":"x"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := replica.DecodeMessage(data)
		if err != nil {
			return
		}
		encoded, err := replica.EncodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		again, err := replica.DecodeMessage(encoded)
		if err != nil || again.Kind != m.Kind || again.Index != m.Index || len(again.Entries) != len(m.Entries) {
			t.Errorf("got %+v (%v), want %+v", again, err, m)
		}
	})
}

// Guards against a membership decoder that panics.
func FuzzDecodeMembership(f *testing.F) {
	f.Add(replica.EncodeFounders([]replica.Member{{Identity: "a", Name: "a", Address: "a", Voter: true}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		_ = replica.CheckMembership(data)
		t.Log(len(data))
	})
}
