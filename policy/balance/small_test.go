package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
)

// Guards against batch requests that never run on servers with one slot, and against online
// requests that find no free slot because batch requests take all of them.
func TestBatchRequestsOnServersOfAnySize(t *testing.T) {
	for name, c := range map[string]struct {
		slots []int
		// batch is the number of batch requests that get a slot at the same time.
		batch int
	}{
		"one server of one slot":   {[]int{1}, 1},
		"two servers of one slot":  {[]int{1, 1}, 1},
		"six servers of one slot":  {[]int{1, 1, 1, 1, 1, 1}, 5},
		"many servers of one slot": {[]int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, 14},
		"servers of two slots":     {[]int{2, 2, 2}, 3},
		"servers of eight slots":   {[]int{8, 8}, 14},
		"servers of mixed sizes":   {[]int{8, 2, 1, 1, 1}, 7 + 1 + 2},
		"one small beside large":   {[]int{8, 1}, 7 + 1},
	} {
		tb := NewTable(rand.New(rand.NewPCG(1, 2)))
		list := map[string]*serving.Server{}
		total := 0
		for i, slots := range c.slots {
			id := fmt.Sprintf("s%02d", i)
			list[id] = &serving.Server{ID: id, Service: "svc", Address: id, Slots: slots}
			total += slots
		}
		tb.SetServers(epoch, list)
		query := Query{Service: "svc", Class: Batch, Headroom: 1, CompleteView: true}
		placed := 0
		for {
			choice, ok := tb.Pick(epoch, query)
			if !ok {
				break
			}
			tb.RequestStarted(choice.Server.ID, Batch)
			placed++
		}
		if placed != c.batch {
			t.Errorf("%s: %d batch requests at once, want %d", name, placed, c.batch)
		}
		choice, ok := tb.Pick(epoch, Query{Service: "svc", CompleteView: true})
		if free := placed < total; !ok || choice.Preempt == free {
			t.Errorf("%s: online request %+v, %v", name, choice, ok)
		}
	}
}
