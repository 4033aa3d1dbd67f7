package bundle

import (
	"bytes"
	"errors"
	"fmt"
)

// sourceSeparator is the last byte of each piece of a source document. Source documents are lists of
// JSON objects, of which a change affects few.
const sourceSeparator = '{'

// ErrSourcePatch: a patch refers to pieces that its base does not have.
var ErrSourcePatch = errors.New("source patch does not fit")

// SourcePatch is the difference between two source documents. Source documents are replicated as
// patches, because consecutive ones differ little.
type SourcePatch struct {
	Pieces []SourcePiece `json:"pieces,omitempty"`
}

// SourcePiece is either new text, if Count is zero, or a range of Count pieces of the base from index
// First on.
type SourcePiece struct {
	Text  []byte `json:"text,omitempty"`
	First int    `json:"first,omitempty"`
	Count int    `json:"count,omitempty"`
}

// DiffSource returns the patch from base to next.
func DiffSource(base, next []byte) SourcePatch {
	positions := map[string][]int{}
	for i, piece := range splitSource(base) {
		positions[string(piece)] = append(positions[string(piece)], i)
	}
	var patch SourcePatch
	expected := 0
	for _, piece := range splitSource(next) {
		index, found := nearest(positions[string(piece)], expected)
		if !found {
			patch.addText(piece)
			continue
		}
		patch.addBasePiece(index)
		expected = index + 1
	}
	return patch
}

// nearest returns the first position at or after expected. If there is none it returns the first
// position, and false if positions is empty.
func nearest(positions []int, expected int) (int, bool) {
	for _, position := range positions {
		if position >= expected {
			return position, true
		}
	}
	if len(positions) > 0 {
		return positions[0], true
	}
	return 0, false
}

// addText appends new text, to the last piece if that is text.
func (p *SourcePatch) addText(text []byte) {
	if last := len(p.Pieces) - 1; last >= 0 && p.Pieces[last].Count == 0 {
		p.Pieces[last].Text = append(p.Pieces[last].Text, text...)
		return
	}
	p.Pieces = append(p.Pieces, SourcePiece{Text: bytes.Clone(text)})
}

// addBasePiece appends a piece of the base, to the last range if that ends there.
func (p *SourcePatch) addBasePiece(index int) {
	if last := len(p.Pieces) - 1; last >= 0 && p.Pieces[last].Count > 0 && p.Pieces[last].First+p.Pieces[last].Count == index {
		p.Pieces[last].Count++
		return
	}
	p.Pieces = append(p.Pieces, SourcePiece{First: index, Count: 1})
}

// Apply returns the document that results from the patch. The error wraps ErrSourcePatch if base lacks
// pieces that the patch refers to.
func (p SourcePatch) Apply(base []byte) ([]byte, error) {
	pieces := splitSource(base)
	var next []byte
	for _, piece := range p.Pieces {
		if piece.Count == 0 {
			next = append(next, piece.Text...)
			continue
		}
		end := piece.First + piece.Count
		if piece.First < 0 || piece.Count < 0 || end > len(pieces) {
			return nil, fmt.Errorf("pieces %d to %d of %d: %w", piece.First, end, len(pieces), ErrSourcePatch)
		}
		for _, text := range pieces[piece.First:end] {
			next = append(next, text...)
		}
	}
	return next, nil
}

// splitSource splits a document after each separator.
func splitSource(text []byte) [][]byte {
	var pieces [][]byte
	for len(text) > 0 {
		end := bytes.IndexByte(text, sourceSeparator) + 1
		if end == 0 {
			end = len(text)
		}
		pieces = append(pieces, text[:end])
		text = text[end:]
	}
	return pieces
}
