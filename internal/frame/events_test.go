package frame

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// pieces returns its pieces one a read, and then err.
type pieces struct {
	list []string
	err  error
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.list) == 0 {
		return 0, p.err
	}
	n := copy(b, p.list[0])
	if p.list[0] = p.list[0][n:]; p.list[0] == "" {
		p.list = p.list[1:]
	}
	return n, nil
}

// drawPieces splits text at random places.
func drawPieces(t *rapid.T, text string) []string {
	var list []string
	for text != "" {
		n := rapid.IntRange(1, len(text)).Draw(t, "piece")
		list = append(list, text[:n])
		text = text[n:]
	}
	return list
}

// readAll returns everything that a stream of events yields, and its error.
func readAll(e *Events) (string, error) {
	var b strings.Builder
	for {
		part, err := e.Next()
		b.Write(part)
		if err != nil {
			return b.String(), err
		}
	}
}

// splitAtEmptyLine returns text up to and with its last empty line, found line by line,
// and what follows.
func splitAtEmptyLine(text string) (complete, rest string) {
	length, end := 0, 0
	for line := range strings.Lines(text) {
		length += len(line)
		isEnded := strings.HasSuffix(line, "\n")
		if isEnded && strings.TrimRight(line, "\r\n") == "" {
			end = length
		}
	}
	return text[:end], text[end:]
}

// Guards against inc1: for any stream, framing, cut and splitting into reads, whoever
// reads the events holds the whole stream or is told that it broke off.
func TestCutStreamIsNeverWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		event := rapid.Custom(func(t *rapid.T) string {
			lines := rapid.SliceOfN(rapid.StringMatching(`(id: \d+|data: [a-z]{0,20}|: c|version: 1)`), 1, 3).Draw(t, "lines")
			return strings.Join(lines, lineEnd) + lineEnd + lineEnd
		})
		whole := strings.Join(rapid.SliceOfN(event, 0, 6).Draw(t, "events"), "")
		sent := whole[:rapid.IntRange(0, len(whole)).Draw(t, "cut")]
		framing := rapid.SampledFrom([]Framing{Length, Chunks, Close}).Draw(t, "framing")
		end := rapid.SampledFrom([]error{io.EOF, io.ErrUnexpectedEOF, iotest.ErrTimeout}).Draw(t, "end")

		got, err := readAll(NewEvents(&pieces{list: drawPieces(t, sent), err: end}, framing))

		complete, rest := splitAtEmptyLine(sent)
		if got != complete {
			t.Fatalf("read %q, want the complete events %q", got, complete)
		}
		isWhole := errors.Is(end, io.EOF) && strings.Trim(rest, "\r\n") == "" && (framing != Close || complete != "")
		if errors.Is(err, io.EOF) != isWhole {
			t.Fatalf("after %q with framing %v and end %v the error is %v, want whole %v", sent, framing, end, err, isWhole)
		}
	})
}

func TestEndsOfStreams(t *testing.T) {
	tests := map[string]struct {
		text    string
		framing Framing
		want    error
	}{
		"whole":                              {"data: a\n\n", Close, io.EOF},
		"whole, further line end":            {"data: a\n\n\n", Close, io.EOF},
		"whole, CRLF":                        {"data: a\r\n\r\n", Close, io.EOF},
		"inside a line":                      {"data: a\n\ndata", Close, ErrInsideEvent},
		"inside the separator":               {"data: a\n", Close, ErrInsideEvent},
		"inside the separator, CRLF":         {"data: a\r\n\r", Close, ErrInsideEvent},
		"inside an event of a framed stream": {"data: a\n\ndata: b\n", Chunks, ErrInsideEvent},
		"no event":                           {"", Close, ErrNoEvent},
		"no event, framed":                   {"", Chunks, io.EOF},
		"event without end":                  {strings.Repeat("x", maxEventBytes+1), Close, ErrEventTooLong},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := readAll(NewEvents(strings.NewReader(tt.text), tt.framing)); !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
		})
	}
}

func TestFramingOfAnswers(t *testing.T) {
	tests := map[string]struct {
		head, method string
		want         Framing
	}{
		"length":         {"200 OK\r\nContent-Length: 3", http.MethodGet, Length},
		"chunks":         {"200 OK\r\nTransfer-Encoding: chunked", http.MethodGet, Chunks},
		"connection":     {"200 OK", http.MethodPost, Close},
		"answer to HEAD": {"200 OK", http.MethodHead, Length},
		"no content":     {"204 No Content", http.MethodPost, Length},
		"not modified":   {"304 Not Modified", http.MethodGet, Length},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+tt.head+"\r\n\r\n")), &http.Request{Method: tt.method})
			if err != nil {
				t.Fatal(err)
			}
			if got := Of(resp); got != tt.want {
				t.Errorf("framing %v, want %v", got, tt.want)
			}
		})
	}
}

// countingReader yields bytes without end and counts them.
type countingReader struct{ read int }

func (r *countingReader) Read(p []byte) (int, error) {
	r.read += len(p)
	return len(p), nil
}

// A body without end is read to its bound and not further.
func TestWholeBodyIsBounded(t *testing.T) {
	const limit = 100_000
	for name, read := range map[string]func(io.Reader) error{
		"ReadAll": func(r io.Reader) error { _, err := ReadAll(r, limit); return err },
		"Discard": func(r io.Reader) error { return Discard(r, limit) },
	} {
		r := &countingReader{}
		if err := read(r); !errors.Is(err, ErrTooLong) || r.read > limit+1 {
			t.Errorf("%s: error %v after %d bytes, want ErrTooLong after %d", name, err, r.read, limit+1)
		}
	}
	if body, err := ReadAll(strings.NewReader("whole"), 5); err != nil || string(body) != "whole" {
		t.Errorf("a body of just the bound: %q, %v", body, err)
	}
	if _, err := ReadAll(&pieces{list: []string{"part"}, err: io.ErrUnexpectedEOF}, 5); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a body that breaks off: %v, want its error", err)
	}
}
