package weights

import (
	"bytes"
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
	noteLimit = 200 // bytes of an error's text
)

// Client is the jaywind.Weights that speaks to the service over HTTP.
type Client struct {
	URL       jaywind.Address
	Transport http.RoundTripper // the default one when nil
}

var _ jaywind.WeightStore = (*Client)(nil)

type turn struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Reserve asks for the turn to load a version; errors wrap jaywind.ErrBusy or jaywind.ErrUnavailable.
func (c *Client) Reserve(ctx context.Context, m jaywind.Model, v jaywind.Version) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	body, err := json.Marshal(turn{Model: string(m), Version: string(v)})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, string(c.URL)+"/turns", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.transport().RoundTrip(request)
	if err != nil {
		return fmt.Errorf("%w: weight store: %w", jaywind.ErrStoreUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: the weight store's rate is spent", jaywind.ErrBusy)
	}
	note, _ := io.ReadAll(io.LimitReader(response.Body, noteLimit))
	return fmt.Errorf("%w: weight store answered %d %s", jaywind.ErrStoreUnavailable, response.StatusCode, note)
}

func (c *Client) transport() http.RoundTripper {
	if c.Transport == nil {
		return http.DefaultTransport
	}
	return c.Transport
}
