package connlimit

const (
	// fieldBytes is what a field takes once it is parsed: its name, its value, their place in
	// a table, and the copy that is forwarded.
	fieldBytes = 256
	// freeHeadBytes is the cost of a head up to which it is part of its connection's cost.
	freeHeadBytes = 12 << 10
)

// headScanner counts the bytes and the lines of a head until the empty line that ends it.
type headScanner struct {
	bytes, lines int
	// lineBytes is the number of bytes of the present line, without carriage returns.
	lineBytes int
	ended     bool
}

// scan counts the next bytes.
func (h *headScanner) scan(p []byte) {
	for _, b := range p {
		if h.ended {
			return
		}
		h.bytes++
		switch b {
		case '\n':
			// Empty lines before a request are ignored.
			h.ended = h.lineBytes == 0 && h.lines > 0
			h.lines++
			h.lineBytes = 0
		case '\r':
		default:
			h.lineBytes++
		}
	}
}

// cost returns the memory that the head takes when it is parsed, beyond its connection's.
func (h *headScanner) cost() int64 {
	return max(int64(h.bytes+h.lines*fieldBytes-freeHeadBytes), 0)
}
