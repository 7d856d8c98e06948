package peers

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against figures that differ from run to run at the same seed, because what becomes of a
// datagram depends on which of the instances sends first at the same time.
func TestDeliveryDoesNotDependOnTheOrderOfSenders(t *testing.T) {
	const datagrams = 200
	deliver := func(t *testing.T, order []int) map[string]time.Duration {
		arrived := map[string]time.Duration{}
		synctest.Test(t, func(t *testing.T) {
			net := newNetwork(1)
			net.setQuality(5*time.Millisecond, 0.3)
			senders, receiver := []*fakeConn{net.open(), net.open()}, net.open()
			start := time.Now()
			go func() {
				buffer := make([]byte, maxDatagramBytes)
				for {
					n, from, err := receiver.ReadFromUDPAddrPort(buffer)
					if err != nil {
						return
					}
					arrived[from.String()+string(buffer[:n])] = time.Since(start)
				}
			}()
			for i := range byte(datagrams) {
				for _, sender := range order {
					_, _ = senders[sender].WriteToUDPAddrPort([]byte{byte(kindLoadReport), i}, receiver.address)
				}
			}
			time.Sleep(time.Second)
			_ = receiver.Close()
			synctest.Wait()
		})
		return arrived
	}
	first, second := deliver(t, []int{0, 1}), deliver(t, []int{1, 0})
	if !maps.Equal(first, second) {
		t.Errorf("%d and %d datagrams arrive, or the same at other times", len(first), len(second))
	}
	if n := len(first); n < datagrams || n > 2*datagrams*8/10 {
		t.Errorf("%d of %d datagrams arrive at a loss of 0.3", n, 2*datagrams)
	}
}
