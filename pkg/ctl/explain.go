package ctl

import (
	"fmt"
	"os"

	"bramblelift/pkg/explain"
)

// explainCommand searches log files; it needs no connection to the control plane.
type explainCommand struct {
	Positional struct {
		ID    string   `positional-arg-name:"ID" description:"the request's ID"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"logs of nodes and replicas"`
	} `positional-args:"yes" required:"yes"`
}

func (c *explainCommand) run(s *session) error {
	var lines []explain.Line
	for _, name := range c.Positional.Files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	report := explain.Find(lines, c.Positional.ID)
	if len(report.Lines) == 0 {
		return fmt.Errorf("%w: no line of request %q in these logs (calls that were answered at the first attempt are counted, not logged)",
			errUsage, c.Positional.ID)
	}
	return s.print(report, func() {
		for _, line := range report.Lines {
			fmt.Fprintln(s.stdout, line)
		}
		if len(report.Around) > 0 {
			fmt.Fprintln(s.stdout, "\naround it:")
		}
		for _, line := range report.Around {
			fmt.Fprintln(s.stdout, line)
		}
		if report.Cause != "" {
			fmt.Fprintln(s.stdout, "\ncause:", report.Cause)
		}
	})
}

func readLog(name string) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	defer file.Close()
	lines, err := explain.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error { return nil }
