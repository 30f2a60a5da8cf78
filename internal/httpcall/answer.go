package httpcall

import (
	"bufio"
	"errors"
	"io"
	"net/http"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/frame"
)

const (
	// maxInterim bounds the interim answers that precede an answer.
	maxInterim = 16
)

var (
	errManyInterim = errors.New("the service sends interim answers without end")
	errEncoded     = errors.New("the answer has an encoding that was not asked for")
)

// readAnswer reads the answer to a call, after any interim ones, and returns its framing. The body may
// have an encoding that the call accepts; empty for none.
func readAnswer(br *bufio.Reader, resp *fasthttp.Response, maxBody int, accepted string) (frame.Framing, error) {
	for range maxInterim {
		status, err := peekStatus(br)
		if err != nil {
			return frame.Close, err
		}
		if err := resp.Header.Read(br); err != nil {
			return frame.Close, err
		}
		if status >= http.StatusOK {
			if encoding := string(resp.Header.ContentEncoding()); encoding != "" && encoding != accepted {
				return frame.Close, errEncoded
			}
			return readBody(br, resp, maxBody)
		}
	}
	return frame.Close, errManyInterim
}

// readBody reads the body of an answer whose head was read.
func readBody(br *bufio.Reader, resp *fasthttp.Response, maxBody int) (frame.Framing, error) {
	framing := framingOf(resp)
	if hasNoBody(resp.StatusCode()) {
		return framing, nil
	}
	if err := resp.ReadBody(br, maxBody); err != nil {
		return framing, err
	}
	if framing != frame.Chunks {
		return framing, nil
	}
	err := resp.Header.ReadTrailer(br)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return framing, err
}

// framingOf returns the framing of an answer whose head was read.
func framingOf(resp *fasthttp.Response) frame.Framing {
	switch length := resp.Header.ContentLength(); {
	case hasNoBody(resp.StatusCode()) || length >= 0:
		return frame.Length
	case length == -1:
		return frame.Chunks
	default:
		return frame.Close
	}
}

// hasNoBody reports whether an answer with a status has no body, whatever its head says.
func hasNoBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// peekStatus returns the status of the next answer, which may be an interim one.
func peekStatus(br *bufio.Reader) (int, error) {
	line, err := br.Peek(frame.StatusLineBytes)
	if len(line) == 0 && errors.Is(err, io.EOF) {
		return 0, fasthttp.ErrConnectionClosed
	}
	if errors.Is(err, io.EOF) {
		return 0, io.ErrUnexpectedEOF
	}
	if err != nil {
		return 0, err
	}
	return frame.ParseStatusLine(line)
}
