package gateway

import (
	"bufio"
	"net"
	"net/http"

	"kumquatyard/internal/frame"
)

// maxInterimAnswers bounds the interim answers that precede an answer.
const maxInterimAnswers = 8

// statusConn is a connection to a server that checks the status line of each answer, as the HTTP
// library tells a status of 000 as 200. It leaves out interim answers, which nobody asked for.
// Requests and answers take turns on it.
type statusConn struct {
	net.Conn
	reader *bufio.Reader
	// awaitsAnswer is set from a request on until its answer begins.
	awaitsAnswer bool
}

func newStatusConn(c net.Conn) *statusConn {
	return &statusConn{Conn: c, reader: bufio.NewReaderSize(c, serverHeaderBytes)}
}

// Write implements net.Conn.
func (c *statusConn) Write(p []byte) (int, error) {
	c.awaitsAnswer = true
	return c.Conn.Write(p)
}

// Read implements net.Conn. What begins no answer is a *frame.StatusLineError.
func (c *statusConn) Read(p []byte) (int, error) {
	if c.awaitsAnswer {
		if err := c.skipToAnswer(); err != nil {
			return 0, err
		}
		c.awaitsAnswer = false
	}
	return c.reader.Read(p)
}

// skipToAnswer reads up to the status line of an answer that is not interim.
func (c *statusConn) skipToAnswer() error {
	for range maxInterimAnswers + 1 {
		line, err := c.reader.Peek(frame.StatusLineBytes)
		if err != nil {
			return err
		}
		status, err := frame.ParseStatusLine(line)
		if err != nil || status >= http.StatusOK {
			return err
		}
		if err := c.skipHead(); err != nil {
			return err
		}
	}
	return &frame.StatusLineError{Line: "interim answers without end"}
}

// skipHead reads a head, whose lines fit into the reader's buffer.
func (c *statusConn) skipHead() error {
	for length := 0; length < serverHeaderBytes; {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if length += len(line); len(line) <= len("\r\n") {
			return nil
		}
	}
	return &frame.StatusLineError{Line: "an interim answer without end"}
}
