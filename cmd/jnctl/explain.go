package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
	"time"
)

const (
	// aroundRequest is the time before the first and after the last line of a request
	// within which changes of belief are shown with it.
	aroundRequest = 3 * time.Second
	// maxLogLine bounds a line of a log, in bytes.
	maxLogLine = 1 << 20
)

// stamped finds the time of a log line: month, day and time of day.
var stamped = regexp.MustCompile(`[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6})`)

// beliefs are the messages that say what an instance believed.
var beliefs = []string{
	`"start"`, `"stop"`, `"drain begins"`, `"drain ends"`, `"reload`, `"dependency lost"`, `"dependency regained"`,
	`"configuration in force"`, `"server gone"`, `"server entry"`, `"hub suspended"`, `"acting as a hub"`, `"feed expired`,
}

type explainCmd struct {
	ID   string   `arg:"" help:"Id of a request, an item or a job."`
	Logs []string `arg:"" optional:"" help:"Log files of instances; standard input when there are none." type:"existingfile"`
}

// Run prints what the logs say of the id, and what the instances that name it believed
// around that time.
func (c *explainCmd) Run(e *env) error {
	found := 0
	for _, path := range c.Logs {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		n, err := explain(e.out, path, file, c.ID)
		_ = file.Close() // it was only read
		if err != nil {
			return err
		}
		found += n
	}
	if len(c.Logs) == 0 {
		n, err := explain(e.out, "", e.in, c.ID)
		if err != nil {
			return err
		}
		found = n
	}
	if found == 0 {
		return &failure{code: exitNotFound, message: "no line names " + c.ID}
	}
	return nil
}

type logLine struct {
	at   time.Time
	text string
	// names is set when the line names the id.
	names bool
}

// explain prints the lines of one log that belong to the id and returns the number of
// those that name it.
func explain(out io.Writer, name string, log io.Reader, id string) (int, error) {
	lines, err := readLog(log, id)
	if err != nil {
		return 0, err
	}
	var first, last time.Time
	found := 0
	for _, l := range lines {
		if !l.names {
			continue
		}
		if found == 0 {
			first = l.at
		}
		last = l.at
		found++
	}
	if found == 0 {
		return 0, nil
	}
	if name != "" {
		fmt.Fprintf(out, "%s:\n", name)
	}
	for _, l := range lines {
		if l.names || l.at.After(first.Add(-aroundRequest)) && l.at.Before(last.Add(aroundRequest)) {
			mark := " "
			if l.names {
				mark = "*"
			}
			fmt.Fprintf(out, "%s %s\n", mark, l.text)
		}
	}
	return found, nil
}

// readLog returns the lines that name the id and those that state a belief.
func readLog(log io.Reader, id string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		names := strings.Contains(text, `"`+id+`"`)
		if !names && !statesBelief(text) {
			continue
		}
		var at time.Time
		if m := stamped.FindStringSubmatch(text); m != nil {
			// A line without a readable time sorts before all others.
			at, _ = time.Parse("0102 15:04:05.000000", m[1])
		}
		lines = append(lines, logLine{at, text, names})
	}
	return lines, scanner.Err()
}

func statesBelief(text string) bool {
	for _, b := range beliefs {
		if strings.Contains(text, b) {
			return true
		}
	}
	return false
}
