package rules

import (
	"strings"
	"sync"

	"jaywind/internal/core/rule"
)

// Parser parses a text chunk by chunk and caches the chunks of the last text, so that only changed chunks are parsed.
//
// The zero value is ready to use; a nil Parser caches nothing.
type Parser struct {
	mu     sync.Mutex
	chunks map[string]parsedChunk // by text
}

// Parse returns the same as rule.Parse.
func (p *Parser) Parse(file, text string) (*rule.Set, []rule.Finding) {
	if p == nil || len(text) <= maxInlineBytes {
		return rule.Parse(file, text)
	}
	set, ok := rule.Merge(p.parseChunks(text))
	if !ok {
		return rule.Parse(file, text)
	}
	return set, nil
}

// parseChunks returns the parsed chunks of a text in order and drops those of the previous text.
func (p *Parser) parseChunks(text string) []*rule.Chunk {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*rule.Chunk, 0, len(p.chunks))
	parts := map[string]parsedChunk{}
	for _, chunk := range SplitChunks(text) {
		c, known := p.chunks[chunk]
		if !known {
			c = parseChunk(chunk)
		}
		list = append(list, c.rules)
		parts[c.text] = c
	}
	p.chunks = parts
	return list
}

// parsedChunk is a chunk with its rules.
type parsedChunk struct {
	text  string
	rules *rule.Chunk
}

// parseChunk parses a copy of a chunk, since a substring would keep the whole text in memory.
func parseChunk(chunk string) parsedChunk {
	text := strings.Clone(chunk)
	return parsedChunk{text: text, rules: rule.ParseChunk(text)}
}
