package upstream

import (
	"bufio"
	"bytes"
	"net/textproto"

	"kumquatyard/internal/frame"
)

// legacyVersion begins the answers of servers that speak HTTP/1.0.
const legacyVersion = "HTTP/1.0 "

// isLegacy reports whether the head that is about to be read is of HTTP/1.0.
func (c *conn) isLegacy() bool {
	start, err := c.reader.Peek(len(legacyVersion))
	return err == nil && string(start) == legacyVersion
}

// keepHead makes the connection keep the bytes of the head that is about to be read.
func (c *conn) keepHead() {
	// Bytes that are buffered can be peeked at.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head.kept = bytes.Clone(buffered)
}

// takeHead returns the bytes of the head that was read since keepHead.
func (c *conn) takeHead() []byte {
	head := c.head.kept[:len(c.head.kept)-c.reader.Buffered()]
	c.head.kept = nil
	return head
}

// checkLegacyHead returns a *frame.HeadError if a head of HTTP/1.0 names a transfer coding. That
// version has none, and http.ReadResponse drops the field, so that the frame of the body is not known.
func checkLegacyHead(head []byte) error {
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := r.ReadLine(); err != nil {
		return err
	}
	fields, err := r.ReadMIMEHeader()
	if err != nil {
		return err
	}
	if len(fields.Values("Transfer-Encoding")) > 0 {
		return &frame.HeadError{Problem: "HTTP/1.0 has no transfer codings"}
	}
	return nil
}
