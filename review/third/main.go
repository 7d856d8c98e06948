// Command review3 plays the cases of the third review against the project's own program.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	noOutcome = 2
)

// cases are the cases by their names; trouble is false for the same without the disruption.
var cases = map[string]func(trouble bool) int{"leak": leak, "bound": bound}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review3 CASE")
		os.Exit(noOutcome)
	}
	os.Exit(run(cases[os.Args[1]], os.Getenv("TROUBLE") != "0"))
}

// closers end what a case has started.
var closers []func()

func run(f func(bool) int, trouble bool) (code int) {
	defer func() {
		if cause, ok := recover().(cannotRun); ok {
			fmt.Println("cannot run:", string(cause))
			code = noOutcome
		}
		for _, c := range closers {
			c()
		}
		closers = nil
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		for _, c := range closers {
			c()
		}
		os.Exit(noOutcome)
	}()
	rec.open()
	return f(trouble)
}

// sleepUntil waits until a time after the start of the script.
func sleepUntil(d time.Duration) { time.Sleep(time.Until(rec.start.Add(d))) }
