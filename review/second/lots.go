package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// lot is a batch job and what its client knows of it.
type lot struct {
	id       string
	items    []string
	body     []byte
	accepted time.Time // the first 202; zero without one
	statuses []int     // the answers to all attempts to submit it

	mu     sync.Mutex
	listed map[string]string // the state by item
	texts  map[string]string
	read   time.Time // the last read that was answered
}

// newLot returns a batch job with items of a body size each.
func newLot(id string, items, bodyBytes int) *lot {
	l := &lot{id: id, listed: map[string]string{}, texts: map[string]string{}}
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var list []item
	raw := make([]byte, bodyBytes)
	for i := range raw {
		raw[i] = byte(i*7 + len(id))
	}
	for i := range items {
		name := fmt.Sprintf("%s-%02d", id, i)
		l.items = append(l.items, name)
		list = append(list, item{name, batchPrefix + "x/" + name, map[string]string{"X-Model": "m", "X-Token-Counts": "200,200", "X-Prompt-Prefix": "aa:100," + fmt.Sprintf("%x", i) + ":100"},
			base64.StdEncoding.EncodeToString(raw), 400})
	}
	l.body, _ = json.Marshal(map[string]any{"items": list})
	return l
}

// submit hands a batch job in, at one instance after the other, as the clients of PROTOCOL.md do.
func (d *deployment) submit(l *lot, first, attempts int) bool {
	for n := range attempts {
		i := d.instances[(first+n)%len(d.instances)]
		a := d.send(i, "POST", host, batchPrefix+l.id, l.id, map[string]string{"Content-Type": "application/json", "X-Deadline-Ms": "4000"}, l.body, 4*time.Second)
		l.statuses = append(l.statuses, a.status)
		d.rec.line("lot %s submitted at %s: %d %v", l.id, i.name, a.status, a.err)
		if a.status == 202 {
			l.accepted = time.Now()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

type results struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// readLot reads all results from the start. It returns the status of the last read.
func (d *deployment) readLot(l *lot, i *instance) int {
	for after := 0; ; {
		a := d.send(i, "GET", host, fmt.Sprintf("/lots/%s?after=%d", l.id, after), "", nil, nil, 3*time.Second)
		if a.status != 200 {
			d.rec.line("lot %s read at %s from %d: %d %v", l.id, i.name, after, a.status, a.err)
			return a.status
		}
		var r results
		if err := json.Unmarshal(a.body, &r); err != nil {
			d.rec.say("lot %s: an answer that is no JSON: %v", l.id, err)
			return -1
		}
		l.mu.Lock()
		for _, x := range r.Results {
			l.listed[x.ID], l.texts[x.ID] = x.State, x.Text
		}
		l.read = time.Now()
		l.mu.Unlock()
		d.rec.line("lot %s read at %s from %d: total %d, %d results", l.id, i.name, after, r.Total, len(r.Results))
		if len(r.Results) == 0 {
			return 200
		}
		after = r.Next
	}
}

func (l *lot) unlisted() (list []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.items {
		if l.listed[id] == "" {
			list = append(list, id)
		}
	}
	return list
}

// wholeText returns the text of an item that a server of this program finishes.
func wholeText(id string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, eventData(id, n))
	}
	return strings.Join(lines, "\n")
}
