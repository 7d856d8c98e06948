package main

import (
	"fmt"
	"os"
)

// cases are the script cases by name. A case gets the path of its record and whether the
// disruption takes place.
var cases = map[string]func(record string, trouble bool) int{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM RECORD")
		os.Exit(unable)
	}
	program = os.Args[2]
	if _, err := os.Stat(program); err != nil {
		cannotRun("%v", err)
	}
	code := cases[os.Args[1]](os.Args[3], os.Getenv("TROUBLE") != "0")
	fmt.Println(map[int]string{held: "the rule held", broken: "the rule is broken", unable: "the case could not run"}[code])
	quit(code)
}
