package main

import (
	"context"
	"runtime/debug"
)

func version(_ context.Context, c *console) int {
	if code, more := c.parse(c.flags()); !more {
		return code
	}
	c.printf("jaywind %s\n", buildVersion())
	return exitOK
}

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
