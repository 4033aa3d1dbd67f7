package bundle

import (
	"bytes"
	"errors"
	"fmt"
)

// sourceSeparator ends a piece of a source document. Operators' documents are lists of
// objects, so that a change touches few pieces.
const sourceSeparator = '{'

// ErrSourcePatch: a patch does not fit its base.
var ErrSourcePatch = errors.New("source patch does not fit")

// SourcePatch turns one source document into another: the document that an operator sent
// goes to every replica, and two in a row are nearly equal.
type SourcePatch struct {
	Pieces []SourcePiece `json:"pieces,omitempty"`
}

// SourcePiece is either text of its own or a run of the base's pieces.
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
		at, found := nearest(positions[string(piece)], expected)
		if !found {
			patch.addText(piece)
			continue
		}
		patch.addRun(at)
		expected = at + 1
	}
	return patch
}

// nearest returns the first position from expected on, or else the first of all.
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

func (p *SourcePatch) addText(text []byte) {
	if last := len(p.Pieces) - 1; last >= 0 && p.Pieces[last].Count == 0 {
		p.Pieces[last].Text = append(p.Pieces[last].Text, text...)
		return
	}
	p.Pieces = append(p.Pieces, SourcePiece{Text: bytes.Clone(text)})
}

func (p *SourcePatch) addRun(at int) {
	if last := len(p.Pieces) - 1; last >= 0 && p.Pieces[last].Count > 0 && p.Pieces[last].First+p.Pieces[last].Count == at {
		p.Pieces[last].Count++
		return
	}
	p.Pieces = append(p.Pieces, SourcePiece{First: at, Count: 1})
}

// Apply returns the document that the patch makes of base.
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

// splitSource cuts a document behind each separator.
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
