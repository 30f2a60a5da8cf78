package frame

import (
	"bytes"
	"errors"
	"io"
)

// ErrTooLong means that a body has more bytes than its reader takes.
var ErrTooLong = errors.New("the body of the answer is too long")

// ReadAll reads a whole body of at most limit bytes. It fails if the body breaks off or is
// longer.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	var b bytes.Buffer
	err := copyAll(&b, body, limit)
	return b.Bytes(), err
}

// Discard reads a whole body of at most limit bytes and drops it. It fails like ReadAll.
func Discard(body io.Reader, limit int64) error { return copyAll(io.Discard, body, limit) }

func copyAll(to io.Writer, body io.Reader, limit int64) error {
	n, err := io.Copy(to, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		return ErrTooLong
	}
	return err
}
