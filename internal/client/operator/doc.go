// Package operator is the operators' side of a router's port for them.
//
//	c := &operator.Client{URL: "http://127.0.0.1:8201", Secret: secret}
//	status, err := c.Status(ctx)
//	fmt.Println(status.Live, "of", status.Known, "routers live")
package operator
