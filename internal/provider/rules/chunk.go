package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"jaywind"
)

// ChunkLimit is the size after which a chunk ends in any case, in bytes; its last line may go beyond.
const ChunkLimit = 64 << 10

const (
	chunkLines = 512 // lines of a chunk on average
	hashBytes  = 16
)

// Split cuts a text at lines chosen by their content, so that an edit of a line changes one chunk or two.
func Split(text string) []string {
	var chunks []string
	start := 0
	for end := 0; end < len(text); {
		line := lineAt(text, end)
		end += len(line)
		if xxhash.Sum64String(line)%chunkLines == 0 || end-start >= ChunkLimit {
			chunks = append(chunks, text[start:end])
			start = end
		}
	}
	if start < len(text) {
		chunks = append(chunks, text[start:])
	}
	return chunks
}

// lineAt returns the line that begins at a place, with its end.
func lineAt(text string, at int) string {
	if n := strings.IndexByte(text[at:], '\n'); n >= 0 {
		return text[at : at+n+1]
	}
	return text[at:]
}

// IDOf returns the content hash of a chunk.
func IDOf(chunk string) jaywind.ChunkID {
	sum := sha256.Sum256([]byte(chunk))
	return jaywind.ChunkID(hex.EncodeToString(sum[:hashBytes]))
}

// IDsOf returns the content hashes of chunks in order.
func IDsOf(chunks []string) []jaywind.ChunkID {
	ids := make([]jaywind.ChunkID, 0, len(chunks))
	for _, c := range chunks {
		ids = append(ids, IDOf(c))
	}
	return ids
}

// Join puts chunks together after it has checked each against its id.
func Join(ids []jaywind.ChunkID, chunks map[jaywind.ChunkID]string) (string, error) {
	var text strings.Builder
	for _, id := range ids {
		c, found := chunks[id]
		if !found || IDOf(c) != id {
			return "", fmt.Errorf("%w: %s", ErrChunk, id)
		}
		text.WriteString(c)
	}
	return text.String(), nil
}
