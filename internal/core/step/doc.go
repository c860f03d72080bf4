// Package step runs the systems of the core in a fixed order.
//
// Decisions depend on the order. Rules run first, so that every decision of a
// tick follows the current rules. Placement runs after the systems that detect
// broken streams, so that a stream is resumed in the tick in which it broke:
//
//	c := step.Core{State: table.New(seed)}
//	commands := c.Step(now, false, events)
package step
