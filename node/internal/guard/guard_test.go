package guard

import "testing"

// Guards against a panic that ends the process, or that is neither counted nor reported to
// the caller.
func TestPanicIsRecoveredAndCounted(t *testing.T) {
	if !Run("sound", func() {}) {
		t.Error("work without a panic is reported as failed")
	}
	for range 2 {
		if Run("broken", func() { var p *int; *p = 1 }) {
			t.Error("a panic is not reported")
		}
	}
	if n := Metrics().Get("broken"); n == nil || n.String() != "2" {
		t.Errorf("count %v, want 2", n)
	}
	if Metrics().Get("sound") != nil {
		t.Error("work without a panic is counted")
	}
}
