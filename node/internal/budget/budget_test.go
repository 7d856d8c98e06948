package budget

import "testing"

// Guards against buffers that together take more memory than is set aside for them, and
// against short ones that cannot grow because of long ones.
func TestBudget(t *testing.T) {
	const share, buffers = 1000, 96
	b := New(share*buffers, share)
	if !b.Resize(0, b.limit) || b.Resize(share, share+1) {
		t.Fatal("a long buffer may grow although the budget is used up")
	}
	for range buffers {
		if !b.Resize(0, share) {
			t.Fatal("a short buffer cannot grow")
		}
	}
	if b.Used() > 2*b.limit {
		t.Fatalf("%d bytes used of %d", b.Used(), b.limit)
	}
	if !b.Resize(b.limit, 0) || !b.Resize(share, 0) || !b.Resize(share, 0) || !b.Resize(0, 2*share) {
		t.Fatal("the memory of released buffers is not free")
	}
}
