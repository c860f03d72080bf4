package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"jaywind"
)

// ChunkLimit is the size in bytes at which a chunk ends at the latest; its last line may exceed it.
const ChunkLimit = 64 << 10

const (
	meanChunkLines = 512 // average number of lines in a chunk
	chunkIDBytes   = 16
)

// SplitChunks splits a text after lines chosen by their hash, so that an edit of a line changes one or two chunks.
func SplitChunks(text string) []string {
	var chunks []string
	start := 0
	for end := 0; end < len(text); {
		line := lineAt(text, end)
		end += len(line)
		if xxhash.Sum64String(line)%meanChunkLines == 0 || end-start >= ChunkLimit {
			chunks = append(chunks, text[start:end])
			start = end
		}
	}
	if start < len(text) {
		chunks = append(chunks, text[start:])
	}
	return chunks
}

// lineAt returns the line that begins at offset at, including its newline.
func lineAt(text string, at int) string {
	if n := strings.IndexByte(text[at:], '\n'); n >= 0 {
		return text[at : at+n+1]
	}
	return text[at:]
}

// ChunkIDOf returns the content hash of a chunk.
func ChunkIDOf(chunk string) jaywind.ChunkID {
	sum := sha256.Sum256([]byte(chunk))
	return jaywind.ChunkID(hex.EncodeToString(sum[:chunkIDBytes]))
}

// ChunkIDsOf returns the content hashes of chunks in order.
func ChunkIDsOf(chunks []string) []jaywind.ChunkID {
	ids := make([]jaywind.ChunkID, 0, len(chunks))
	for _, c := range chunks {
		ids = append(ids, ChunkIDOf(c))
	}
	return ids
}

// JoinChunks concatenates chunks after checking each against its id.
func JoinChunks(ids []jaywind.ChunkID, chunks map[jaywind.ChunkID]string) (string, error) {
	var text strings.Builder
	for _, id := range ids {
		c, found := chunks[id]
		if !found || ChunkIDOf(c) != id {
			return "", fmt.Errorf("%w: %s", ErrBadChunk, id)
		}
		text.WriteString(c)
	}
	return text.String(), nil
}
