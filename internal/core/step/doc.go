// Package step runs the systems of the core in their fixed order.
//
// The order is part of the design: rules come first, so that every decision of
// the tick follows the rules in force, and placement comes last, so that a
// stream which broke in this tick is resumed in it:
//
//	c := step.Core{State: table.New(seed)}
//	commands := c.Step(now, false, events)
package step
