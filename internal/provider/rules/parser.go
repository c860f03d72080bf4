package rules

import (
	"strings"
	"sync"

	"jaywind/internal/core/rule"
)

// Parser parses texts by chunks, and keeps the chunks of the last text so that only changed ones are parsed again.
//
// Its zero value is ready, and a nil one keeps nothing.
type Parser struct {
	mu    sync.Mutex
	parts map[string]parsed // by text
}

// Parse returns what rule.Parse returns.
func (p *Parser) Parse(file, text string) (*rule.Set, []rule.Finding) {
	if p == nil || len(text) <= inlineSize {
		return rule.Parse(file, text)
	}
	set, sound := rule.Merge(p.partsOf(text))
	if !sound {
		return rule.Parse(file, text)
	}
	return set, nil
}

// partsOf returns the parts of a text in order and forgets those of the text before.
func (p *Parser) partsOf(text string) []*rule.Chunk {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*rule.Chunk, 0, len(p.parts))
	parts := map[string]parsed{}
	for _, chunk := range Split(text) {
		c, known := p.parts[chunk]
		if !known {
			c = parse(chunk)
		}
		list = append(list, c.part)
		parts[c.text] = c
	}
	p.parts = parts
	return list
}

// parsed is a chunk with its rules.
type parsed struct {
	text string
	part *rule.Chunk
}

// parse parses a copy of a chunk, since a part of it would keep the whole text in memory.
func parse(chunk string) parsed {
	text := strings.Clone(chunk)
	return parsed{text: text, part: rule.ParseChunk(text)}
}
