package review

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run is one request that a back end began to work on.
type Run struct {
	At      time.Time
	Backend string
	ID      string
	Unsafe  bool
}

// Answer is what a client received for a request, status 0 for none.
type Answer struct {
	SentAt time.Time
	At     time.Time
	Status int
	Seal   string
	Unsafe bool
	Body   string
}

// Record holds what clients sent and received and what back ends ran. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	begun   time.Time
	lines   []string
	runs    []Run
	answers map[string]Answer
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{begun: time.Now(), answers: map[string]Answer{}} }

// Note adds a line with the time since the start.
func (r *Record) Note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(time.Now(), format, values...)
}

func (r *Record) note(at time.Time, format string, values ...any) {
	line := fmt.Sprintf("%9.3f  ", at.Sub(r.begun).Seconds()) + fmt.Sprintf(format, values...)
	r.lines = append(r.lines, line)
}

func (r *Record) addRun(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	r.note(run.At, "run       %s by back end %s", run.ID, run.Backend)
}

func (r *Record) addAnswer(id string, a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = a
	r.note(a.At, "answered  %s status %d seal %q", id, a.Status, a.Seal)
}

// Runs returns all runs so far.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}

// RunsOf returns the runs of one request.
func (r *Record) RunsOf(id string) []Run {
	return slices.DeleteFunc(r.Runs(), func(run Run) bool { return run.ID != id })
}

// Answers returns all answers so far by the requests' ids.
func (r *Record) Answers() map[string]Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := make(map[string]Answer, len(r.answers))
	for id, a := range r.answers {
		copied[id] = a
	}
	return copied
}

// Twice returns a line for each request that isn't idempotent and ran more than once, and for each that got a promise
// that it had not run although it did.
func (r *Record) Twice() []string {
	var broken []string
	counts := map[string]int{}
	for _, run := range r.Runs() {
		if run.Unsafe {
			counts[run.ID]++
		}
	}
	answers := r.Answers()
	for _, id := range sortedKeys(counts) {
		if counts[id] > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s, not idempotent, ran %d times", id, counts[id]))
		}
		switch answers[id].Status {
		case 408, 421, 429, 503:
			broken = append(broken, fmt.Sprintf("REFUSED: %s, not idempotent, was answered %d and had run", id, answers[id].Status))
		}
	}
	return broken
}

func sortedKeys[V any](table map[string]V) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Write writes the record to a file.
func (r *Record) Write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(file)
	for _, line := range r.lines {
		fmt.Fprintln(w, line)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return file.Close()
}

// Contains reports whether a line of the record contains the text.
func (r *Record) Contains(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.lines, func(line string) bool { return strings.Contains(line, text) })
}
