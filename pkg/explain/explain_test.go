package explain

import (
	"bytes"
	"strings"
	"testing"

	"bramblelift/pkg/logging"

	"github.com/matryer/is"
)

const nodeLog = `
  23.06 node-1 ts=2026-12-02T10:00:01.5Z role=proxy name=node-1 event=version_in_force version=7 revision=3
ts=2026-12-02T10:00:02.2Z role=proxy name=node-1 event=call_refused request=a1 route=r service=s version=7 status=502 outcome=unknown step="exchange with back end" reason="broken at 10.0.0.2:1" attempts=1 took=3ms
ts=2026-12-02T10:00:02.1Z role=proxy name=node-1 event=attempt_failed request=a1 instance=i-9 try=1 reason=broken
ts=2026-12-02T10:00:02.3Z role=proxy name=node-1 event=call_refused request=a10 status=503 outcome=not-run step=gate reason=full attempts=0 took=1ms
panic: not an event
ts=2026-12-02T10:00:09Z role=proxy name=node-1 event=stopping
`

const gateLog = `
ts=2026-12-02T10:00:02.05Z role=proxy name=node-2 event=gate_refused request=a1 instance=i-9 reason=broken error="read: reset \"x\""
ts=2026-12-02T10:00:02.9Z role=proxy name=node-2 event=backend instance=i-9 state=gone
ts=2026-12-02T10:00:02.9Z role=proxy name=node-3 event=backend instance=i-8 state=gone
`

func readAll(t *testing.T, logs ...string) []Line {
	t.Helper()
	var all []Line
	for _, log := range logs {
		lines, err := Read(strings.NewReader(log))
		is.New(t).NoErr(err)
		all = append(all, lines...)
	}
	return all
}

func TestFindJoinsLinesOfAllProcessesInOrder(t *testing.T) {
	is := is.New(t)
	report := Find(readAll(t, nodeLog, gateLog), "a1")
	var own []string
	for _, l := range report.Lines {
		own = append(own, l.Process+" "+l.Event)
	}
	is.Equal(own, []string{"node-2 gate_refused", "node-1 attempt_failed", "node-1 call_refused"})
	is.Equal(report.Lines[0].Get("error"), `read: reset "x"`)
	is.True(strings.Contains(report.Cause, "node-1 answered 502 after 3ms and 1 attempts"))
	is.True(strings.Contains(report.Cause, "it may have run"))
	var around []string
	for _, l := range report.Around {
		around = append(around, l.Process+" "+l.Event)
	}
	is.Equal(around, []string{"node-1 version_in_force", "node-2 backend"}) // events of other back ends are left out
}

func TestUnknownRequestHasNoLines(t *testing.T) {
	is := is.New(t)
	report := Find(readAll(t, nodeLog), "a")
	is.Equal(len(report.Lines)+len(report.Around), 0)
	is.Equal(report.Cause, "")
}

// An operator must see from the cause whether the call can be repeated safely.
func TestCauseStatesThatTheCallHasNotRun(t *testing.T) {
	is := is.New(t)
	report := Find(readAll(t, nodeLog), "a10")
	is.True(strings.Contains(report.Cause, "the gates that were asked refused the call"))
	is.True(strings.HasSuffix(report.Cause, "it has not run"))
}

// A request ID with quotes and newlines must not split a line or match another request's ID.
func TestHostileIDCannotForgeLinesOrFields(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	logger := logging.New(&buf, "proxy", "node-1")
	hostile := "x\" event=stopped\nts=2026-12-02T10:00:00Z event=call_refused request=a1 "
	is.NoErr(logger.Log("event", "call_refused", "request", hostile, "step", "gate"))
	logger.Close()
	lines := readAll(t, buf.String())
	is.Equal(len(lines), 1)
	is.Equal(lines[0].Get("request"), hostile)
	is.Equal(len(Find(lines, "a1").Lines), 0)
}

func FuzzRead(f *testing.F) {
	f.Add(nodeLog)
	f.Fuzz(func(_ *testing.T, text string) {
		lines, err := Read(strings.NewReader(text))
		if err == nil {
			Find(lines, "a1")
		}
	})
}
