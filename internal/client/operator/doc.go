// Package operator is a client for a router's operator port.
//
//	c := &operator.Client{URL: "http://127.0.0.1:8201", Secret: secret}
//	status, err := c.Status(ctx)
//	fmt.Println(status.Live, "of", status.Known, "routers live")
package operator
