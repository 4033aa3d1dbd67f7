package standin

import (
	"fmt"
	"strings"
)

// SoundResponse is a RawResponse that must pass unchanged.
type SoundResponse struct {
	Name string
	RawResponse
	Status int
	// Body is empty for a status that has none.
	Body string
	// Fields are header fields that the response has.
	Fields map[string]string
}

// SoundResponses returns responses of status 200 that carry a body in the ways that HTTP/1 allows.
func SoundResponses(body string) []SoundResponse {
	const hints = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	toEnd := "\r\n" + body
	type fields = map[string]string
	sound := func(name, text string, has fields) SoundResponse {
		return SoundResponse{Name: name, RawResponse: RawResponse{First: text}, Status: 200, Body: body, Fields: has}
	}
	closed := func(name, text string, has fields) SoundResponse {
		response := sound(name, text, has)
		response.Close = true
		return response
	}
	return []SoundResponse{
		sound("with a length", RawOK+length, nil),
		sound("with the same length twice", RawOK+fmt.Sprintf("Content-Length: %d\r\n", len(body))+length, nil),
		sound("after 100", "HTTP/1.1 100 Continue\r\n\r\n"+RawOK+length, nil),
		sound("after several 1xx", strings.Repeat(hints, 20)+"HTTP/1.1 102 x\r\n\r\n"+RawOK+length, nil),
		sound("after 1xx of HTTP/1.0", "HTTP/1.0 100 Continue\r\n\r\n"+RawOK+length, nil),
		sound("after 1xx with odd header names", "HTTP/1.1 103 x\r\n!#$%&'*+-.^_`|~1aZ: b\r\nA:\r\n folded\r\n\r\n"+RawOK+length, nil),
		closed("ends with its connection", RawOK+toEnd, nil),
		sound("in chunks", RawChunked+chunk+"0\r\n\r\n", nil),
		sound("in chunks, with an extension", RawChunked+strings.Replace(chunk, "\r\n", ";a=b\r\n", 1)+"0\r\n\r\n", nil),
		sound("in chunks, with a trailer", RawChunked+chunk+"0\r\nA: b\r\n!#$%&'*+-.^_`|~1aZ:\r\n\r\n", nil),
		sound("in chunks, with an announced trailer", RawOK+"Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk+"0\r\nA: b\r\n\r\n", nil),
		sound("in chunks, announcing what is no list of names", RawOK+"Trailer: A b, C;d\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk+"0\r\nA: b\r\n\r\n", nil),
		sound("in chunks, with a large trailer", RawChunked+chunk+"0\r\nA: "+strings.Repeat("x", 1900)+"\r\n\r\n", nil),
		sound("in chunks, with a length to ignore", RawOK+"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk+"0\r\n\r\n", nil),
		closed("HTTP/1.0", rawOK10+toEnd, nil),
		closed("HTTP/1.0 with a length", rawOK10+length, nil),
		sound("HTTP/1.0, kept alive", rawOK10+"Connection: keep-alive\r\n"+length, nil),
		closed("HTTP/1.0 after 1xx", hints+rawOK10+toEnd, nil),
		closed("HTTP/1.0 with the name of a coding in a value", rawOK10+"Vary: x,\r\n Transfer-Encoding: chunked\r\n"+toEnd, fields{"Vary": "x, Transfer-Encoding: chunked"}),
		closed("HTTP/1.0 without a reason, lines end with LF", "HTTP/1.0 200\n{id}\nA:\n folded\n\n"+body, fields{"A": "folded"}),
		closed("HTTP/1.0, large head", rawOK10+"A: "+strings.Repeat("x", 32<<10)+"\r\n"+length, nil),
		sound("HTTP/1.2", "HTTP/1.2 200 OK\r\n{id}\r\n"+length, nil),
		sound("lines end with LF", "HTTP/1.1 200 OK\n{id}\n"+strings.ReplaceAll(length, "\r\n", "\n"), nil),
		sound("several spaces before the status", "HTTP/1.1  200 OK\r\n{id}\r\n"+length, nil),
		sound("status without a reason", "HTTP/1.1 200\r\n{id}\r\n"+length, nil),
		sound("reason with control bytes", "HTTP/1.1 200 O\rK\x00\r\n{id}\r\n"+length, nil),
		sound("folded value", RawOK+"A: b\r\n\tc\r\n  d\r\n"+length, fields{"A": "b c d"}),
		sound("value with bytes above ASCII", RawOK+"A: \xe9\u00e9\r\n"+length, fields{"A": "\xe9\u00e9"}),
		sound("odd header names", RawOK+"!#$%&'*+-.^_`|~1aZ: b\r\n0: c\r\n"+length, fields{"!#$%&'*+-.^_`|~1aZ": "b", "0": "c"}),
		sound("header without a value", RawOK+"A:\r\n"+length, fields{"A": ""}),
		sound("large head", RawOK+"A: "+strings.Repeat("x", 32<<10)+"\r\n"+length, nil),
	}
}
