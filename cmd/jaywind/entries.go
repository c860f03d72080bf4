package main

import (
	"context"

	"jaywind"
	"jaywind/internal/client/router"
)

func entries(ctx context.Context, c *console) int {
	f := c.flags()
	entry := f.String("entry", "", "`URL` of any entry")
	organisation := f.String("organisation", "", "`name` of the organisation")
	if code, more := c.parse(f); !more {
		return code
	}
	if *entry == "" {
		return c.misuse("want -entry")
	}
	list, err := (&router.Client{}).ListEntries(ctx, jaywind.Address(*entry), jaywind.Organisation(*organisation))
	if err != nil {
		return c.fail(err)
	}
	for _, a := range list.Entries {
		c.printf("%s\n", a)
	}
	c.printf("keep for %v\n", list.TTL)
	return exitOK
}
