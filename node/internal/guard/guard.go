// Package guard keeps a panic in one piece of work from ending the process.
package guard

import (
	"expvar"
	"fmt"
	"runtime/debug"

	"k8s.io/klog/v2"
)

// panics counts the recovered panics by work.
var panics = new(expvar.Map).Init()

// Metrics returns the numbers of recovered panics by work.
func Metrics() *expvar.Map { return panics }

// Run calls f. It recovers a panic, which it counts and logs with its stack under the name
// of the work, and reports whether f returned.
func Run(work string, f func()) (returned bool) {
	defer func() {
		if returned {
			return
		}
		// A nil cause means that f called runtime.Goexit, which ends the goroutine.
		if cause := recover(); cause != nil {
			Report(work, cause)
		}
	}()
	f()
	return true
}

// Report counts and logs a panic that the caller has recovered.
func Report(work string, cause any) {
	panics.Add(work, 1)
	klog.ErrorS(nil, "panic recovered", "work", work, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
}
