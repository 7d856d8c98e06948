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
	// contextWindow is the time before the first and after the last matching line within
	// which state changes of the instance are shown as well.
	contextWindow = 3 * time.Second
	// maxLogLineBytes is the maximum length of a log line, in bytes.
	maxLogLineBytes = 1 << 20
)

// klogTime matches the time of a klog line: month, day and time of day.
var klogTime = regexp.MustCompile(`[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6})`)

// stateMessages are the log messages, some of them prefixes, that report a change in what
// an instance knows: its own state, its dependencies, the configuration and the servers.
var stateMessages = []string{
	`"start"`, `"stop"`, `"drain begins"`, `"drain ends"`, `"reload`, `"dependency lost"`, `"dependency regained"`,
	`"configuration in force"`, `"server gone"`, `"server entry"`, `"hub suspended"`, `"acting as a hub"`, `"feed expired`,
}

type explainCmd struct {
	ID   string   `arg:"" help:"Id of a request, item or job."`
	Logs []string `arg:"" optional:"" help:"Log files of instances; standard input by default." type:"existingfile"`
}

// Run prints the log lines that mention the id and, from the same logs, the state changes
// around that time.
func (c *explainCmd) Run(e *env) error {
	found := 0
	for _, path := range c.Logs {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		n, err := explain(e.out, path, file, c.ID)
		_ = file.Close() // opened for reading only
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
	// mentionsID is set if the line mentions the id.
	mentionsID bool
}

// explain prints the lines of one log that mention the id, marked with an asterisk, and
// the state changes around them. It returns the number of lines that mention the id.
func explain(out io.Writer, name string, log io.Reader, id string) (int, error) {
	lines, err := readLog(log, id)
	if err != nil {
		return 0, err
	}
	var first, last time.Time
	found := 0
	for _, l := range lines {
		if !l.mentionsID {
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
		if l.mentionsID || l.at.After(first.Add(-contextWindow)) && l.at.Before(last.Add(contextWindow)) {
			mark := " "
			if l.mentionsID {
				mark = "*"
			}
			fmt.Fprintf(out, "%s %s\n", mark, l.text)
		}
	}
	return found, nil
}

// readLog returns the lines that mention the id and those that report a state change.
func readLog(log io.Reader, id string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		mentionsID := strings.Contains(text, `"`+id+`"`)
		if !mentionsID && !reportsStateChange(text) {
			continue
		}
		var at time.Time
		if m := klogTime.FindStringSubmatch(text); m != nil {
			// A line whose time cannot be parsed counts as earlier than all others.
			at, _ = time.Parse("0102 15:04:05.000000", m[1])
		}
		lines = append(lines, logLine{at, text, mentionsID})
	}
	return lines, scanner.Err()
}

func reportsStateChange(text string) bool {
	for _, message := range stateMessages {
		if strings.Contains(text, message) {
			return true
		}
	}
	return false
}
