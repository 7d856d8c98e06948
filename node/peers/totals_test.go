package peers

import (
	"fmt"
	"testing"
)

// serversWithOneHash returns two ids of servers with the same hash.
func serversWithOneHash() (a, b string) {
	seen := map[uint32]string{}
	for i := 0; ; i++ {
		id := fmt.Sprint("server-", i)
		if other, known := seen[hash(id)]; known {
			return other, id
		}
		seen[hash(id)] = id
	}
}

// Guards against a request that goes to another server than the hub picked, or a server that counts as
// leaving because another one does, since their ids have the same hash.
func TestServersWithOneHashAreNotNamed(t *testing.T) {
	a, b := serversWithOneHash()
	list := newServerList(1, []string{a, b, "c"})
	if id, known := list.byHash[hash(a)]; known {
		t.Errorf("the hash of %s and %s stands for %s", a, b, id)
	}
	if list.byHash[hash("c")] != "c" || len(list.ambiguous) != 2 || len(list.order) != 3 {
		t.Errorf("list %+v", list)
	}
}
