package stand2

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	held       = 0
	broken     = 1
	cannotRun  = 2
	troubleOff = "0"
)

// Main runs a case: it opens the record in the folder given as the first argument, and ends the process with the code
// of the result. The second argument is the project's root.
func Main(run func(record *Record, root string, trouble bool) (isBroken bool, err error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER ROOT")
		os.Exit(cannotRun)
	}
	record, err := OpenRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	trouble := os.Getenv("TROUBLE") != troubleOff
	record.Printf("with the disruption: %t", trouble)
	isBroken, err := run(record, os.Args[2], trouble)
	code := held
	switch {
	case err != nil:
		record.Result("the case could not run: %v", err)
		code = cannotRun
	case isBroken:
		record.Result("the rule was broken")
		code = broken
	default:
		record.Result("the rule held")
	}
	record.Close()
	os.Exit(code)
}
