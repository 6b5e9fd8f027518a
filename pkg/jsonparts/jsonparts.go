// Package jsonparts splits a JSON list or object into its parts without decoding them.
//
// encoding/json rejects a whole value if one part of it has a wrong type, is a number out of
// range, or is nested too deeply. A reader of a list whose entries may come from another writer
// splits such a value, and decodes each part by itself.
//
// # Usage
//
//	if err := json.Unmarshal(b, &all); err != nil {
//		parts, err := jsonparts.List(b)
//		for _, part := range parts {
//			if json.Unmarshal(part, &one) != nil { ... } // this part only
//		}
//	}
package jsonparts

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// Member is a member of an object, with its value still encoded.
type Member struct {
	Name  string
	Value json.RawMessage
}

// List returns the elements of a list. It returns an error if b is not one list; the elements
// before the place of the error are returned, too.
func List(b []byte) ([]json.RawMessage, error) {
	members, err := split(b, '[', ']')
	parts := make([]json.RawMessage, len(members))
	for i, m := range members {
		parts[i] = m.Value
	}
	return parts, err
}

// Object returns the members of an object in their order, also several of the same name. It
// returns an error if b is not one object; the members before the place of the error are
// returned, too.
func Object(b []byte) ([]Member, error) { return split(b, '{', '}') }

// split returns the parts between the delimiters first and last. It does not recurse, and so
// bears any nesting.
func split(b []byte, first, last json.Delim) ([]Member, error) {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.UseNumber() // numbers out of range are not rejected
	token, err := dec.Token()
	if err != nil {
		return nil, errors.Wrap(err, "split JSON")
	}
	if token != first {
		return nil, errors.Errorf("split JSON: %v instead of %v", token, first)
	}
	var members []Member
	for {
		var m Member
		begin := dec.InputOffset()
		if token, err = dec.Token(); err == nil && token == last {
			break
		}
		if name, isText := token.(string); err == nil && isText && first == '{' {
			m.Name, begin = name, dec.InputOffset()
			token, err = dec.Token()
		}
		if err == nil {
			err = skip(dec, token)
		}
		if err != nil {
			return members, errors.Wrap(err, "split JSON")
		}
		m.Value = bytes.TrimLeft(b[begin:dec.InputOffset()], ",: \t\r\n")
		members = append(members, m)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return members, errors.New("split JSON: more than one value")
	}
	return members, nil
}

// skip reads the rest of the value that begins with a token.
func skip(dec *json.Decoder, token json.Token) error {
	for depth := 0; ; {
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		var err error
		if token, err = dec.Token(); err != nil {
			return err
		}
	}
}
