package rule

import "fmt"

// Finding is one fault in a file with its place; lines and columns count from 1.
type Finding struct {
	File   string
	Line   int
	Column int
	What   string
}

// String returns the finding as file:line:column: what.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.What)
}
