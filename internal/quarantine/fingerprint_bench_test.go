package quarantine

import "testing"

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []struct {
		name  string
		bytes int
	}{{"1KB", 1 << 10}, {"64KB", 64 << 10}} {
		b.Run(size.name, func(b *testing.B) {
			body := make([]byte, size.bytes)
			b.SetBytes(int64(size.bytes))
			b.ReportAllocs()
			for b.Loop() {
				FingerprintOf("account", "POST", "h.example", "/chat/x", body)
			}
		})
	}
}
