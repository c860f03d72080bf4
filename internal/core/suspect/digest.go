package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"jaywind"
)

const (
	digestBytes  = 16
	digestPrefix = "request-" // of the part that stands for a whole request; parts of prompts have other names
)

// RequestPart returns the part that stands for a whole request: two requests have the same one if all the given fields are the same,
// such as the caller's organisation, the path and the body.
func RequestPart(fields ...[]byte) jaywind.PromptPart {
	h := sha256.New()
	var length [8]byte
	for _, f := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(f)))
		_, _ = h.Write(length[:]) // a hash never fails
		_, _ = h.Write(f)
	}
	return jaywind.PromptPart(digestPrefix + hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}
