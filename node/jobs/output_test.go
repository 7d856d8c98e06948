package jobs

import "testing"

// Guards against memory that is lost for outputs whenever an output is dropped.
func TestDroppedOutputsAreFree(t *testing.T) {
	r := testRunner("a")
	js := &jobState{items: map[int]*itemRun{0: {}, 1: {}}}
	for _, run := range js.items {
		for range 10 {
			if err := r.appendOutput(run, []byte("text")); err != nil {
				t.Fatal(err)
			}
		}
	}
	if used, want := r.outputs.Used(), 2*(10*len("text")+9); used != want {
		t.Fatalf("%d bytes used, want %d", used, want)
	}
	r.restart(js.items[0], nil)
	r.dropOutputs(js)
	if r.outputs.Used() != 0 || len(js.items[1].output) != 0 {
		t.Fatalf("%d bytes used after all outputs were dropped", r.outputs.Used())
	}
}
