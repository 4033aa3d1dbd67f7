package review

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Main runs a case, writes record.txt into the folder in the first argument and exits. run returns a line for each break of
// the rule; trouble is false if the disruption is to be left out.
func Main(run func(record *Record, trouble bool) (broken []string, err error)) {
	record := NewRecord()
	code := exitHeld
	broken, err := run(record, os.Getenv("TROUBLE") != "0")
	for _, line := range broken {
		code = exitBroken
		record.Note("BROKEN    %s", line)
		fmt.Println(line)
	}
	if err != nil {
		code = exitNotRun
		record.Note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
	}
	record.Note("exit %d", code)
	if err := record.Write(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Println(err)
		code = exitNotRun
	}
	os.Exit(code)
}
