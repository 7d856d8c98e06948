package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, with the seconds since the start of the script.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

var rec record

func (r *record) open() {
	f, err := os.Create("record.txt")
	check(err)
	r.file, r.start = f, time.Now()
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// cannotRun ends the script because the case could not be brought about.
type cannotRun string

func check(err error) {
	if err != nil {
		panic(cannotRun(err.Error()))
	}
}
