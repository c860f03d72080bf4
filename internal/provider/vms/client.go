package vms

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"jaywind"
)

const (
	callLimit = time.Second
	bodyLimit = 4 << 20 // bytes of a reply
)

// Client is the jaywind.Directory that speaks to the list over HTTP.
type Client struct {
	URL       jaywind.Address
	Transport http.RoundTripper // the default one when nil
}

var _ jaywind.VMList = (*Client)(nil)

type machine struct {
	VM      string `json:"vm"`
	Domain  string `json:"domain"`
	Fleet   string `json:"fleet"`
	Entry   string `json:"entry"`
	Leaving bool   `json:"leaving"`
}

// List returns the VMs as the platform last saw them.
func (c *Client) List(ctx context.Context) ([]jaywind.ListedVM, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
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
	var list []machine
	if err := json.NewDecoder(io.LimitReader(response.Body, bodyLimit)).Decode(&list); err != nil {
		return nil, fmt.Errorf("vm list: %w", err)
	}
	return machinesOf(list)
}

func machinesOf(list []machine) ([]jaywind.ListedVM, error) {
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

func (c *Client) transport() http.RoundTripper {
	if c.Transport != nil {
		return c.Transport
	}
	return http.DefaultTransport
}
