package owner

import (
	"context"
	"testing"
	"time"
)

// Guards against a confirmation without a record that was read back, by an owner
// whose log is down or that has not read the claim of its successor yet.
func TestConfirm(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a := c.startOwner("a")
		confirm := func(i *instance) (uint64, bool) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			return i.Confirm(ctx, 0)
		}
		appends := c.log.appends
		epoch, held := confirm(a)
		if now, _ := a.Epoch(shortContext(t), 0); !held || epoch != now || c.log.appends == appends {
			t.Fatalf("epoch %d, held %v, want %d after an append", epoch, held, now)
		}
		c.log.with(func() { c.log.down = true })
		if _, held := confirm(a); held {
			t.Error("confirmed while the log is down")
		}
		c.log.with(func() { c.log.down = false })
		time.Sleep(10 * time.Second)
		a.log.pause()
		b := c.start("b")
		c.members.prefer("b", "a")
		c.waitOwned(b, time.Minute)
		if _, held := confirm(a); held {
			t.Error("a paused owner confirmed after the claim of another")
		}
		if next, held := confirm(b); !held || next <= epoch {
			t.Errorf("the successor has epoch %d, held %v, after %d", next, held, epoch)
		}
		a.log.resume()
	})
}
