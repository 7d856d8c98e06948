// Package peers coordinates how the instances distribute requests among the servers.
//
// A few instances act as hubs: those that rank first among the live instances. Every
// instance reports its load, the requests that it has in flight on each server, to the
// first two hubs, and asks the first one which server to use. The hub counts the slots
// that it grants, so that instances do not send their requests to the same free slot. A
// hub reports the changes of the list of live instances, and the first hub the total load, to
// all instances that report to it.
//
// Any instance can be a hub, because a hub keeps no state that its peers do not report
// again. Without a response within a few milliseconds an instance decides on an online
// request by its own view; a batch request waits for a hub. While the role passes from one
// instance to another, both may grant slots; each of them hears of the other's grants
// with the next load reports, within standbyReportInterval, so that at most the slots that
// are granted in that time are granted twice. Instances discover each other through a topic
// of the platform's store.
package peers
