package main

import (
	"context"
	"os"

	"jaywind/internal/edge/ports"
	"jaywind/internal/operator/logs"
	"jaywind/internal/operator/settings"
	"jaywind/platform"
)

// bootVariable names the settings file where the command line does not.
const bootVariable = "JAYWIND_BOOT"

func route(ctx context.Context, c *console) int {
	f := c.flags()
	file := f.String("settings", os.Getenv(bootVariable), "settings `file` of this router; "+bootVariable+" names it otherwise")
	if code, more := c.parse(f); !more {
		return code
	}
	s, err := loadSettings(*file)
	if err != nil {
		return c.fail(err)
	}
	log, err := logs.New(s.Log.Level, c.out)
	if err != nil {
		return c.fail(err)
	}
	defer log.Close()
	if s.Platform != (settings.Platform{}) {
		err = (&platform.Daemon{Settings: s, Log: log.Logger}).Run(ctx)
	} else {
		err = routeAlone(ctx, s, log)
	}
	if err != nil {
		return c.fail(err)
	}
	return exitOK
}

// routeAlone serves with the product's own interfaces.
func routeAlone(ctx context.Context, s settings.Settings, log *logs.Log) error {
	d := &ports.Daemon{Settings: s, Log: log.Logger}
	if err := d.Listen(); err != nil {
		return err
	}
	return d.Run(ctx)
}
