package vms

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"jaywind"
	"jaywind/internal/backend/answer"
)

const (
	callTimeout  = time.Second
	maxBodyBytes = 4 << 20 // largest response body
)

// Client implements jaywind.VMList over HTTP.
type Client struct {
	URL       jaywind.Address
	Transport http.RoundTripper // one like http.DefaultTransport when nil
}

var _ jaywind.VMList = (*Client)(nil)

type listedVM struct {
	VM      string `json:"vm"`
	Domain  string `json:"domain"`
	Fleet   string `json:"fleet"`
	Entry   string `json:"entry"`
	Leaving bool   `json:"leaving"`
}

// List returns the VMs that the platform's list holds; the list may lag behind.
func (c *Client) List(ctx context.Context) ([]jaywind.ListedVM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, string(c.URL)+"/vms", nil)
	if err != nil {
		return nil, err
	}
	response, err := c.transport().RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("vm list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("vm list: status %d", response.StatusCode)
	}
	var list []listedVM
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&list); err != nil {
		return nil, fmt.Errorf("vm list: %w", err)
	}
	return convertList(list)
}

func convertList(list []listedVM) ([]jaywind.ListedVM, error) {
	var out []jaywind.ListedVM
	for i, m := range list {
		if m.VM == "" {
			return nil, fmt.Errorf("vm list: row %d: vm is missing", i)
		}
		out = append(out, jaywind.ListedVM{
			VM:      jaywind.VM(m.VM),
			Domain:  jaywind.Domain(m.Domain),
			Fleet:   jaywind.Address(m.Fleet),
			Entry:   jaywind.Address(m.Entry),
			Leaving: m.Leaving,
		})
	}
	return out, nil
}

var defaultTransport = answer.Default()

func (c *Client) transport() http.RoundTripper {
	if c.Transport != nil {
		return c.Transport
	}
	return defaultTransport
}
