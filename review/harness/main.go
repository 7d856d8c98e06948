// Command harness plays a case of the review: it starts stand-ins of the platform and of the
// servers, and the instances of the system as processes. It ends with status 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) bool{}

// The instances end with the thread that started them, which is the main one.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	if _, err := os.Stat("target/jacinthnotchd"); err != nil {
		cannotRun("%v", err)
	}
	w := newWorld(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-signals; cannotRun("interrupted") }()
	trouble := os.Getenv("TROUBLE") != "0"
	w.logf("case %s, trouble %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](w, trouble)
	w.logf("the rule is broken: %v", broken)
	w.close()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
