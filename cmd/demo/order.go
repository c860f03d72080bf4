package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"jaywind/internal/standin/fleet"
)

const maxReplyBytes = 1 << 16 // bytes

// demoIdempotency sends one order to two routers with the same idempotency key, and checks that the replies are equal.
func demoIdempotency(ctx context.Context, f *fleet.Fleet) error {
	var replies []string
	for _, n := range f.RouterNodes[:2] {
		reply, err := placeOrder(ctx, n)
		if err != nil {
			return err
		}
		fmt.Printf("order placed at %s: %s\n", n.Name, strings.TrimSpace(reply))
		replies = append(replies, reply)
	}
	if replies[0] != replies[1] {
		return fmt.Errorf("different replies to one order: %q and %q", replies[0], replies[1])
	}
	return nil
}

func placeOrder(ctx context.Context, n *fleet.RouterNode) (string, error) {
	target := fmt.Sprintf("%s/services/%s/place", n.Address, fleet.Service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader("steel 4"))
	if err != nil {
		return "", err
	}
	request.Header.Set("OpenAI-Organization", "puebla")
	request.Header.Set("Idempotency-Key", "po-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("order: %s: %s", response.Status, reply)
	}
	return string(reply), err
}
