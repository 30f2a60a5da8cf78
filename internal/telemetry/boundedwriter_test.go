package telemetry

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestBoundedWriterNeverBlocks writes to a pipe without a reader. Write and Flush
// must return, and the dropped lines must be counted.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	defer writer.Close()
	before := droppedLines.Get()
	w := NewBoundedWriter(writer)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * maxPendingLines {
			if n, err := w.Write(line); n != len(line) || err != nil {
				t.Errorf("Write = %d, %v; want the length of the line, nil", n, err)
			}
		}
		w.Flush()
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write or Flush blocked for 10 s")
	}
	if droppedLines.Get() == before {
		t.Error("no dropped line was counted")
	}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func TestBoundedWriterPreservesOrder(t *testing.T) {
	var out lockedBuffer
	w := NewBoundedWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	w.Flush()
	if got := out.b.String(); got != "a\nb\nc\n" {
		t.Errorf(`written %q, want "a\nb\nc\n"`, got)
	}
}
