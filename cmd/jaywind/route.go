package main

import (
	"context"

	"go.uber.org/zap"

	"jaywind/internal/edge/ports"
)

func route(ctx context.Context, c *console) int {
	f := c.flags()
	file := f.String("settings", "", "settings `file` of this router")
	if code, more := c.parse(f); !more {
		return code
	}
	s, err := loadSettings(*file)
	if err != nil {
		return c.fail(err)
	}
	log, err := newLog(s.Log.Level)
	if err != nil {
		return c.fail(err)
	}
	defer func() { _ = log.Sync() }()
	d := &ports.Daemon{Settings: s, Log: log}
	if err := d.Listen(); err != nil {
		return c.fail(err)
	}
	if err := d.Run(ctx); err != nil {
		return c.fail(err)
	}
	return exitOK
}

func newLog(level string) (*zap.Logger, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionConfig()
	config.Level = l
	return config.Build()
}
