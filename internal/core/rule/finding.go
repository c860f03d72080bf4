package rule

import "fmt"

// Finding is an error in a file with its position. Lines and columns are counted from 1.
type Finding struct {
	File   string
	Line   int
	Column int
	What   string
}

// String returns the finding in the form "file:line:column: what".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.What)
}
