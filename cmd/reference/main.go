// Command reference generates the reference pages of docs/operations from the key
// tables in the code. A test compares the committed pages with its output.
//
//	go run ./cmd/reference settings      > docs/operations/settings.md
//	go run ./cmd/reference configuration > docs/operations/configuration.md
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/node/settings"
)

const generatedNote = "<!-- Written by cmd/reference; do not edit. -->\n"

// pages maps the name of each page to the function that generates it.
var pages = map[string]func() string{"settings": settingsPage, "configuration": configurationPage}

func main() {
	if len(os.Args) == 2 {
		if page := pages[os.Args[1]]; page != nil {
			fmt.Print(page())
			return
		}
	}
	fmt.Fprintln(os.Stderr, "usage: reference settings|configuration")
	os.Exit(2)
}

func settingsPage() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n" + generatedNote + `
Each instance reads one TOML file at its start: ` + "`jacinthnotchd run --settings FILE`" + `. A change takes effect at the next
start. ` + "`jacinthnotchd check --settings FILE`" + ` reports every problem with its line. A key with a dot stands in the table before
the dot, such as ` + "`[listen]`" + `.

`)
	writeHeader(&b)
	for _, k := range settings.Keys() {
		writeRow(&b, k.Name, k.Unit, k.Default, k.Range, k.Help)
	}
	return b.String()
}

// keysWithoutEffect lists the keys that are validated but have no effect yet.
var keysWithoutEffect = []string{
	"fleet: item_attempts (4 attempts), retry_budget_share (0.1), drain_lag_ms and drain_limit_ms (the settings decide)",
	"services: data_centres, connect_timeout_ms, total_timeout_ms, max_deadline_ms, connection_max_age_ms, " +
		"eject_failure_share, eject_min_requests, eject_latency_factor, probe_interval_ms, return_steps, return_step_ms",
	"models and adapters: context_tokens",
	"capacity: online_headroom_share, batch_kv_share",
	"workspaces: requests_per_s, burst_requests, batch_jobs, batch_items_open",
}

// kinds lists the section kinds in the order of the page.
var kinds = []struct {
	kind  config.Kind
	table string
}{
	{config.KindFleet, "[fleet]"}, {config.KindService, "[services.NAME]"}, {config.KindModel, "[models.NAME]"},
	{config.KindAdapter, "[adapters.NAME]"}, {config.KindCapacity, "[capacity.NAME]"}, {config.KindWorkspace, "[workspaces.NAME]"},
}

func configurationPage() string {
	var b strings.Builder
	b.WriteString("# Configuration\n\n" + generatedNote + `
The configuration is one TOML document for the whole fleet. Each table is a section with an owning team and is the unit of
editing: ` + "`jnctl config edit FILE`" + `. An accepted edit is in force on every instance within 2 s at 12 instances. The times
` + "`result_retention_hours`, `call_retention_minutes`, `job_key_retention_hours`, `log_retention_hours` and" + `
` + "`item_lease_ms`" + ` are read by an instance at its start.
`)
	for _, k := range kinds {
		b.WriteString("\n## " + k.table + "\n\n")
		writeHeader(&b)
		for _, key := range config.Keys {
			if key.Section == k.kind {
				writeRow(&b, key.Name, key.Unit, formatDefault(key), formatRange(key), key.Doc)
			}
		}
	}
	b.WriteString("\n## Keys without effect\n\nThese keys are validated, but no part of the system acts on them yet.\n\n")
	for _, text := range keysWithoutEffect {
		b.WriteString("- " + text + "\n")
	}
	return b.String()
}

func writeHeader(b *strings.Builder) {
	b.WriteString("| key | unit | default | range | meaning |\n|---|---|---|---|---|\n")
}

func writeRow(b *strings.Builder, cells ...string) {
	for _, c := range cells {
		if c == "" {
			c = "-"
		}
		b.WriteString("| " + strings.ReplaceAll(c, "|", "\\|") + " ")
	}
	b.WriteString("|\n")
}

func formatDefault(k config.Key) string {
	if k.Default == nil {
		return "required"
	}
	switch v := k.Default.(type) {
	case string:
		return v
	case []string, map[string]float64:
		return "empty"
	default:
		return fmt.Sprint(v)
	}
}

func formatRange(k config.Key) string {
	switch {
	case len(k.Values) > 0:
		return strings.Join(k.Values, ", ")
	case k.Type == "strings":
		return fmt.Sprintf("%v to %v entries", formatNumber(k.Min), formatNumber(k.Max))
	case k.Type == "int" || k.Type == "float" || k.Type == "shares":
		return fmt.Sprintf("%v to %v", formatNumber(k.Min), formatNumber(k.Max))
	case k.Type == "bool":
		return "true, false"
	case k.Pattern != nil:
		return "`" + k.Pattern.String() + "`"
	}
	return ""
}

func formatNumber(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprint(int64(v))
	}
	return fmt.Sprint(v)
}
