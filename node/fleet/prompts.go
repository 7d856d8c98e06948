package fleet

import (
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// trackPrompts tracks the prompt caches of the services whose servers have a KV cache.
func (v *View) trackPrompts(revision *serving.Revision) {
	capacities := map[string]int64{}
	for name, s := range revision.Services {
		if s.Engine != nil && s.Engine.KVCacheTokens > 0 {
			capacities[name] = s.Engine.KVCacheTokens
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.table.PromptStats()
	for name, capacity := range capacities {
		if _, ok := known[name]; !ok {
			klog.InfoS("prompt caches tracked", "service", name, "tokens", capacity)
		}
	}
	v.table.SetKVCaches(capacities)
}

// PromptStats returns the counters of the prompt caches by service. Only hubs count.
func (v *View) PromptStats() map[string]balance.PromptStats {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.PromptStats()
}

// logByteBounds logs the changes of the numbers of bytes above which servers crash. The lock must
// be held.
func (v *View) logByteBounds() {
	for service, stats := range v.table.PromptStats() {
		if stats.MaxBytes != v.byteBounds[service] {
			v.byteBounds[service] = stats.MaxBytes
			klog.InfoS("bytes that a server can hold", "service", service, "bytes", stats.MaxBytes)
		}
	}
}
