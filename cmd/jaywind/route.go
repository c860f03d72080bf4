package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind/internal/edge/ports"
	"jaywind/internal/operator/logs"
	"jaywind/internal/operator/settings"
	"jaywind/platform"
)

func route(ctx context.Context, c *console) int {
	f := c.flags()
	file := f.String("settings", os.Getenv(platform.SettingsFileVariable), "settings `file` of this router; the value of "+platform.SettingsFileVariable+" when not given")
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
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	var group conc.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() { reload(ctx, sighups, *file, s, log) })
	if s.Platform != (settings.Platform{}) {
		err = (&platform.Daemon{Settings: s, Log: log.Logger, CompleteLog: log.Complete, OmittedLines: log.SuppressedLines}).Run(ctx)
	} else {
		err = serveStandalone(ctx, s, log)
	}
	if err != nil {
		return c.fail(err)
	}
	return exitOK
}

// reload reads the settings again on each SIGHUP. Only a change of the log level takes effect; the log line tells whether
// other settings changed, which needs a restart.
func reload(ctx context.Context, sighups <-chan os.Signal, file string, first settings.Settings, log *logs.Log) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighups:
		}
		s, err := loadSettings(file)
		if err == nil {
			err = log.SetLevel(s.Log.Level)
		}
		if err != nil {
			log.Logger.Error("settings: reload failed, keeping the current ones", zap.Error(err))
			continue
		}
		s.Log, first.Log = settings.Log{}, settings.Log{}
		log.Logger.Info("settings: reloaded", zap.Bool("needs_restart", !reflect.DeepEqual(s, first)))
	}
}

// serveStandalone runs a router without a platform, on the interfaces of package ports.
func serveStandalone(ctx context.Context, s settings.Settings, log *logs.Log) error {
	d := &ports.Daemon{Settings: s, Log: log.Logger}
	if err := d.Listen(); err != nil {
		return err
	}
	return d.Run(ctx)
}
