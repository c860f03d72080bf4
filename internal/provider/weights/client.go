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
	"jaywind/internal/backend/answer"
)

const (
	callTimeout  = time.Second
	maxErrorText = 200 // bytes of an error response that go into the error
)

// Client implements jaywind.WeightStore over HTTP.
type Client struct {
	URL       jaywind.Address
	Transport http.RoundTripper // one like http.DefaultTransport when nil
}

var _ jaywind.WeightStore = (*Client)(nil)

type reservation struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Reserve reserves one load of a version; errors wrap jaywind.ErrBusy or jaywind.ErrStoreUnavailable.
func (c *Client) Reserve(ctx context.Context, m jaywind.Model, v jaywind.Version) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(reservation{Model: string(m), Version: string(v)})
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
		return fmt.Errorf("%w: the weight store's rate limit is exceeded", jaywind.ErrBusy)
	}
	note, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
	return fmt.Errorf("%w: weight store responded with status %d: %s", jaywind.ErrStoreUnavailable, response.StatusCode, note)
}

var defaultTransport = answer.Default()

func (c *Client) transport() http.RoundTripper {
	if c.Transport == nil {
		return defaultTransport
	}
	return c.Transport
}
