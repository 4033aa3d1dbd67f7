// Package explain leads from a request's ID to its cause: it finds the lines of one request in
// the logs of several processes, with what these processes believed around it.
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

// Field is one key=value pair.
type Field struct {
	Key, Value string
}

// Line is one event of one process.
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

// String returns the line without what every line has.
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

// Read returns the events of a log. Lines of anything else, and what a collector puts before an
// event, are passed over.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// timeKey begins each event.
const timeKey = "ts="

func parse(text []byte) (Line, bool) {
	start := bytes.Index(text, []byte(timeKey))
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

// Report is what the logs say of one request.
type Report struct {
	// Lines are the request's own, in the order of time.
	Lines []Line
	// Around are what the same processes and back ends did shortly before and after.
	Around []Line
	// Cause is the last refusal in a sentence; empty if there is none.
	Cause string
}

// around is how long before and after a request other events may have to do with it.
const around = 3 * time.Second

// beliefs are the events that change what a process believes.
var beliefs = []string{
	"started", "stopping", "stopped", "settings_reload", "backend", "version_in_force",
	"request_suspected", "subscribed", "subscription_ended", "subscription_moves", "subscription_stays", "lines_left_out", "lines_dropped",
}

// Find returns what the lines say of a request.
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
	report.Around = related(lines, report.Lines)
	slices.SortStableFunc(report.Around, byTime)
	for _, l := range report.Lines {
		if l.Event == "call_refused" {
			report.Cause = cause(l)
		}
	}
	return report
}

// related returns the events of the request's processes and back ends around it.
func related(lines, own []Line) []Line {
	processes, instances := map[string]bool{}, map[string]bool{"": false}
	for _, l := range own {
		processes[l.Process] = true
		if instance := l.Get("instance"); instance != "" {
			instances[instance] = true
		}
	}
	from, to := own[0].At.Add(-around), own[len(own)-1].At.Add(around)
	var found []Line
	for _, l := range lines {
		near := !l.At.Before(from) && !l.At.After(to)
		if near && slices.Contains(beliefs, l.Event) && (processes[l.Process] || instances[l.Get("instance")]) {
			found = append(found, l)
		}
	}
	return found
}

// causes say what each step of a refusal means.
var causes = map[string]string{
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

func cause(l Line) string {
	meaning, known := causes[l.Get("step")]
	if !known {
		meaning = "step " + l.Get("step")
	}
	ran := "it has not run"
	if l.Get("outcome") != "not-run" {
		ran = "it may have run"
	}
	return fmt.Sprintf("%s answered %s after %s and %s attempts at back ends: %s (%s); %s",
		l.Process, l.Get("status"), l.Get("took"), l.Get("attempts"), meaning, l.Get("reason"), ran)
}
