package segment_test

import (
	"bytes"
	"testing"

	"hickoryhook.example/pkg/segment"
)

// FuzzDecodeFlow checks that no bytes make the decoder panic, and that a decoded flow is
// encoded as it was.
func FuzzDecodeFlow(f *testing.F) {
	f.Add([]byte("100 198 1 443"))
	f.Add([]byte("short"))
	f.Fuzz(func(t *testing.T, b []byte) {
		flow, err := segment.DecodeFlow(b)
		if err != nil {
			return
		}
		if again := flow.Append(nil); !bytes.Equal(again, b[:len(again)]) {
			t.Fatalf("%x became %x", b, again)
		}
		if segment.NewFlow(flow.Caller(), flow.VIP()) != flow {
			t.Fatalf("%s changed", flow)
		}
	})
}
