package storage_test

import (
	"bytes"
	"testing"

	"github.com/galenaslip/galenaslip/storage"
)

// Guards against a frame decoder that panics, or accepts bytes that the encoder would not
// write.
func FuzzDecodeFrame(f *testing.F) {
	f.Add(storage.EncodeFrame(7, 0, []byte("payload")))
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, ok := storage.DecodeFrame(7, data, 0)
		if ok && !bytes.HasPrefix(data, storage.EncodeFrame(7, 0, payload)) {
			t.Errorf("%x is not what the encoder writes for %x", data, payload)
		}
	})
}

// Guards against a record decoder that panics, or loses entries in a round trip.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(storage.EncodeEntries(entries(1, 3, 2)))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := storage.DecodeRecord(data)
		if err != nil || len(r.Entries()) == 0 {
			return
		}
		again, err := storage.DecodeRecord(storage.EncodeEntries(r.Entries()))
		if err != nil || len(again.Entries()) != len(r.Entries()) {
			t.Errorf("got %d entries (%v), want %d", len(again.Entries()), err, len(r.Entries()))
		}
	})
}

// Guards against a vote decoder that panics, or changes a vote in a round trip. The fuzzed
// bytes are put into a valid frame, because the CRC check would reject nearly all of them.
func FuzzDecodeVote(f *testing.F) {
	f.Add([]byte(`{"term":3,"voted":"b","identity":"a","epoch":1,"life":"x","segment":1,"snapshot":0}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		v, files, err := storage.DecodeVote(storage.EncodeFrame(storage.VoteSalt, 0, data))
		if err != nil {
			return
		}
		encoded, err := storage.EncodeVote(v, files)
		checkNoError(t, err)
		again, _, err := storage.DecodeVote(encoded)
		if err != nil || again.Term != v.Term || again.VotedFor != v.VotedFor || again.Identity != v.Identity {
			t.Errorf("got %+v (%v), want %+v", again, err, v)
		}
	})
}

// Guards against a snapshot decoder that panics, or changes a snapshot in a round trip.
func FuzzDecodeSnapshot(f *testing.F) {
	f.Add(storage.EncodeSnapshot(storage.Snapshot{Index: 3, Term: 2, Data: []byte("d")})[12:])
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := storage.DecodeSnapshot(storage.EncodeFrame(storage.SnapshotSalt, 0, data))
		if err != nil {
			return
		}
		again, err := storage.DecodeSnapshot(storage.EncodeSnapshot(s))
		if err != nil || again.Index != s.Index || !bytes.Equal(again.Data, s.Data) {
			t.Errorf("got %+v (%v), want %+v", again, err, s)
		}
	})
}
