package main

import (
	"sync"
	"time"
)

// runLog is what the servers have seen of items.
type runLog struct {
	mu   sync.Mutex
	runs []*itemRun
}

// itemRun is one run of an item at a server.
type itemRun struct {
	item       string
	begun, end time.Time // end is zero while it runs
	finished   bool
}

func (l *runLog) begin(item string) *itemRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &itemRun{item: item, begun: time.Now()}
	l.runs = append(l.runs, r)
	return r
}

func (l *runLog) done(r *itemRun, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.end, r.finished = time.Now(), finished
}

// hadSince reports whether a server had one of the items after a time.
func (l *runLog) hadSince(items map[string]bool, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if items[r.item] && (r.end.IsZero() || r.end.After(since)) {
			return true
		}
	}
	return false
}

// finishedSince returns the number of items that were finished after a time.
func (l *runLog) finishedSince(since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if r.finished && r.end.After(since) {
			n++
		}
	}
	return n
}
