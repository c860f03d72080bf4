package answer

import (
	"fmt"
	"net/http"

	"jaywind"
)

// CheckStatus returns an error that wraps jaywind.ErrBadAnswer unless a status is that of a final answer.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > 599 {
		return fmt.Errorf("%w: status %03d", jaywind.ErrBadAnswer, status)
	}
	return nil
}
