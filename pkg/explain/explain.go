// Package explain finds why a request failed: it collects the lines of one request from the logs
// of several processes, together with the state changes of these processes around it.
package explain

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLineBytes bounds one line of a log; a longer one is an error.
const maxLineBytes = 1 << 20

// Field is one key=value pair of a log line.
type Field struct {
	Key, Value string
}

// Line is one log line: an event of one process.
type Line struct {
	At      time.Time
	Process string
	Event   string
	Fields  []Field
}

// Get returns the value of a key, empty if the line has none.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// String formats the line with a short time and without role, as bramblectl prints it.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.At.Format("15:04:05.000000"), l.Process, l.Event)
	for _, f := range l.Fields {
		value := f.Value
		if value == "" || strings.ContainsAny(value, " \"=") {
			value = fmt.Sprintf("%q", value)
		}
		fmt.Fprintf(&b, " %s=%s", f.Key, value)
	}
	return b.String()
}

// Read parses the events of a log. It skips lines without an event, and any prefix that a log
// collector adds to a line. A line longer than 1 MiB is an error.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// timestampPrefix is the start of each event.
const timestampPrefix = "ts="

func parseLine(text []byte) (Line, bool) {
	start := bytes.Index(text, []byte(timestampPrefix))
	if start < 0 || (start > 0 && text[start-1] != ' ') {
		return Line{}, false
	}
	decoder := logfmt.NewDecoder(bytes.NewReader(text[start:]))
	var line Line
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case "ts":
			line.At, _ = time.Parse(time.RFC3339Nano, value)
		case "name":
			line.Process = value
		case "event":
			line.Event = value
		case "role":
		default:
			line.Fields = append(line.Fields, Field{Key: key, Value: value})
		}
	}
	return line, decoder.Err() == nil && !line.At.IsZero() && line.Event != ""
}

// Report holds the log lines of one request and their context.
type Report struct {
	// Lines are the request's own lines, sorted by time.
	Lines []Line
	// Around are state changes of the same processes and back ends, up to 3 s before and after, sorted by time.
	Around []Line
	// Cause describes the last rejection of the request in a sentence; empty if there is none.
	Cause string
}

// contextWindow is the time before and after a request for which other events are shown.
const contextWindow = 3 * time.Second

// contextEvents are the events that report a change of a process's state.
var contextEvents = []string{
	"started", "stopping", "stopped", "settings_reload", "backend", "version_in_force",
	"request_suspected", "subscribed", "subscription_ended", "subscription_moves", "subscription_stays", "lines_left_out", "lines_dropped",
}

// Find returns the report on the request with the given ID; it is empty if no line has the ID.
func Find(lines []Line, id string) Report {
	var report Report
	for _, l := range lines {
		if l.Get("request") == id {
			report.Lines = append(report.Lines, l)
		}
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(report.Lines, byTime)
	if len(report.Lines) == 0 {
		return report
	}
	report.Around = linesAround(lines, report.Lines)
	slices.SortStableFunc(report.Around, byTime)
	for _, l := range report.Lines {
		if l.Event == "call_refused" {
			report.Cause = describeCause(l)
		}
	}
	return report
}

// linesAround returns the state changes of the request's processes and back ends within contextWindow of it.
func linesAround(lines, requestLines []Line) []Line {
	processes, instances := map[string]bool{}, map[string]bool{"": false}
	for _, l := range requestLines {
		processes[l.Process] = true
		if instance := l.Get("instance"); instance != "" {
			instances[instance] = true
		}
	}
	from, to := requestLines[0].At.Add(-contextWindow), requestLines[len(requestLines)-1].At.Add(contextWindow)
	var found []Line
	for _, l := range lines {
		inWindow := !l.At.Before(from) && !l.At.After(to)
		if inWindow && slices.Contains(contextEvents, l.Event) && (processes[l.Process] || instances[l.Get("instance")]) {
			found = append(found, l)
		}
	}
	return found
}

// stepMeanings explains values of step= of a rejection to operators; other steps are shown by name.
var stepMeanings = map[string]string{
	"configuration":          "the node held no configuration yet: see its subscribed and version_in_force",
	"route":                  "the version on the line has no such route",
	"deadline":               "the caller's time was up before an answer came",
	"request body":           "the body was too large or did not come whole",
	"stop":                   "the node was told to stop, and the call might have outlasted it",
	"choose back end":        "the node knew no back end that could take the call",
	"gate":                   "no back end was reached: the gates that were asked refused the call, the reason is the last one's",
	"throttle":               "no gate was asked (once more): nearly all had refused calls of the route, and the node's link was busy",
	"quarantine":             "back ends ended while they had the same request, so it is kept from them: look for its fingerprint in the lines of control, backend_ended and quarantine, and in bramblectl suspects",
	"exchange with back end": "a back end was reached and brought no whole answer of its own",
}

func describeCause(l Line) string {
	meaning, known := stepMeanings[l.Get("step")]
	if !known {
		meaning = "step " + l.Get("step")
	}
	execution := "it has not run"
	if l.Get("outcome") != "not-run" {
		execution = "it may have run"
	}
	return fmt.Sprintf("%s answered %s after %s and %s attempts at back ends: %s (%s); %s",
		l.Process, l.Get("status"), l.Get("took"), l.Get("attempts"), meaning, l.Get("reason"), execution)
}
