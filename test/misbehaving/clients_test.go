package misbehaving

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"kumquatyard/platform/standin"
)

// door is an address of an instance, and a path there.
type door struct {
	address func(i *instance) string
	path    string
}

var (
	route     = door{func(i *instance) string { return i.callers }, "/" + service + "/x"}
	noRoute   = door{func(i *instance) string { return i.callers }, "/none/x"}
	readiness = door{func(i *instance) string { return i.readiness }, "/readyz"}
	metrics   = door{func(i *instance) string { return i.metrics }, "/metrics"}
	peers     = door{func(i *instance) string { return i.peers }, "/" + service + "/x"}
)

// client is a kind of client that does not behave.
type client struct {
	// crowd is the number of clients.
	crowd int
	// send sends on a new connection until an error, which means that the instance has closed
	// it. Client number n does so at path; it calls sent when it has done most of its harm.
	send func(ctx context.Context, conn net.Conn, path string, n int, sent func())
	// reads is set if the client reads what it gets.
	reads bool
}

// Numbers of clients. Each exceeds the sockets that the process may have.
const (
	bodyCrowd  = 320
	headCrowd  = 320
	aheadCrowd = 320
	openCrowd  = 400
)

var (
	bodiesInOnePiece    = client{bodyCrowd, sendBody(maxBodyBytes), true}
	bodiesInSmallPieces = client{bodyCrowd, sendBody(1 << 10), true}
	bodiesInChunks      = client{bodyCrowd, sendChunks, true}
	bodiesOverTheLimit  = client{bodyCrowd, sendOverLimit, true}
	headsOfManyFields   = client{headCrowd, sendManyFields, true}
	requestsAhead       = client{aheadCrowd, sendAhead, false}
	oneByteASecond      = client{openCrowd, sendSlowly, false}
	stopHalfWay         = client{openCrowd, stopHalf, true}
)

const (
	dialTimeout = 5 * time.Second
	// sendLimit bounds the wait for the crowd to have sent, and settleTime is added to it.
	sendLimit    = 3 * time.Second
	settleTime   = 300 * time.Millisecond
	redialPause  = 300 * time.Millisecond
	bytePause    = time.Second
	chunkBytes   = 64
	aheadCount   = 500
	overLimit    = 64 << 20
	wholeOneIn   = 10
	slowReadOnes = 2
)

// play lets crowds of clients loose on an instance, and checks it while they stay.
func play(t *testing.T, crowds ...crowd) {
	t.Helper()
	i := startInstance(t)
	ctx, cancel := context.WithCancel(t.Context())
	var running, sending sync.WaitGroup
	for _, c := range crowds {
		for n := range c.client.crowd {
			sending.Add(1)
			sent := sync.OnceFunc(sending.Done)
			running.Go(func() { c.run(ctx, c.door.address(i), n, sent) })
		}
	}
	defer running.Wait()
	defer cancel()
	all := make(chan struct{})
	go func() { sending.Wait(); close(all) }()
	select {
	case <-all:
	case <-time.After(sendLimit):
	}
	time.Sleep(settleTime)
	i.check()
}

// crowd is many clients of a kind at a door.
type crowd struct {
	client client
	door   door
}

// run connects again and again until ctx is done.
func (c crowd) run(ctx context.Context, address string, n int, sent func()) {
	defer sent()
	for ctx.Err() == nil {
		c.connect(ctx, address, n, sent)
		sent()
		pause(ctx, redialPause)
	}
}

func (c crowd) connect(ctx context.Context, address string, n int, sent func()) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if c.client.reads {
		go func() {
			// The end of the connection ends the sending as well.
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}()
	}
	c.client.send(ctx, conn, c.door.path, n, sent)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// head returns the head of a request of client n; fields are whole lines.
func head(path string, n int, fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\n%s: %s\r\n%s: r%d\r\n%s\r\n",
		path, standin.Host, apiKey, standin.HeaderTenant, workspace, standin.HeaderID, n, fields)
}

// write writes pieces of a text, and reports whether all were taken.
func write(conn net.Conn, text []byte, piece int) bool {
	for len(text) > 0 {
		n, err := conn.Write(text[:min(piece, len(text))])
		if err != nil {
			return false
		}
		text = text[n:]
	}
	return true
}

// hold keeps a connection open until the instance closes it.
func hold(ctx context.Context, conn net.Conn) {
	for ctx.Err() == nil {
		pause(ctx, redialPause)
		// Nothing is sent: it only shows whether the connection was closed on this side.
		if conn.SetWriteDeadline(time.Time{}) != nil {
			return
		}
	}
}

// isWhole reports whether client n sends the whole of its request.
func isWhole(n int) bool { return n%wholeOneIn == 0 }

// sendBody returns a function that sends a body of the largest size in pieces, mostly but for
// its last byte.
func sendBody(piece int) func(context.Context, net.Conn, string, int, func()) {
	return func(ctx context.Context, conn net.Conn, path string, n int, sent func()) {
		body := bytes.Repeat([]byte("x"), maxBodyBytes)
		if !isWhole(n) {
			body = body[:maxBodyBytes-1]
		}
		if write(conn, []byte(head(path, n, fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes))), maxHeaderBytes) && write(conn, body, piece) {
			sent()
			hold(ctx, conn)
		}
	}
}

// sendChunks sends a body of the largest size in small chunks, mostly but for its end.
func sendChunks(ctx context.Context, conn net.Conn, path string, n int, sent func()) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	body := strings.Repeat(chunk, maxBodyBytes/chunkBytes)
	if isWhole(n) {
		body += "0\r\n\r\n"
	}
	if write(conn, []byte(head(path, n, "Transfer-Encoding: chunked\r\n")), maxHeaderBytes) && write(conn, []byte(body), 16<<10) {
		sent()
		hold(ctx, conn)
	}
}

// sendOverLimit sends a body far over the limit, half of them in chunks without end.
func sendOverLimit(ctx context.Context, conn net.Conn, path string, n int, sent func()) {
	text := bytes.Repeat([]byte("x"), 64<<10)
	fields, piece := fmt.Sprintf("Content-Length: %d\r\n", overLimit), text
	if n%2 == 0 {
		fields, piece = "Transfer-Encoding: chunked\r\n", fmt.Appendf(nil, "%x\r\n%s\r\n", len(text), text)
	}
	if !write(conn, []byte(head(path, n, fields)), maxHeaderBytes) {
		return
	}
	for written := 0; written < overLimit; written += len(text) {
		if written > 2*maxBodyBytes {
			sent()
		}
		if !write(conn, piece, len(piece)) {
			return
		}
	}
	hold(ctx, conn)
}

// sendManyFields sends a head that is legal in size and has very many fields: without its last
// byte, or with a body that lacks one.
func sendManyFields(ctx context.Context, conn net.Conn, path string, n int, sent func()) {
	var fields strings.Builder
	for f := 0; fields.Len() < maxHeaderBytes-1024; f++ {
		fmt.Fprintf(&fields, "%s:\r\n", fieldName(f))
	}
	fields.WriteString("Content-Length: 2\r\n")
	text := head(path, n, fields.String()) + "x"
	if n%2 == 0 {
		text = text[:len(text)-2]
	}
	if write(conn, []byte(text), len(text)) {
		sent()
		hold(ctx, conn)
	}
}

// fieldName returns the n-th of the shortest names of fields.
func fieldName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := []byte{letters[n%26]}
	for n /= 26; n > 0; n /= len(letters) {
		name = append(name, letters[n%len(letters)])
	}
	return string(name)
}

// sendAhead sends many requests and reads no answer.
func sendAhead(ctx context.Context, conn net.Conn, path string, n int, sent func()) {
	one := []byte(head(path, n, "Content-Length: 1\r\n") + "x")
	for ahead := range aheadCount {
		if ahead > aheadCount/10 {
			sent()
		}
		if !write(conn, one, len(one)) {
			return
		}
	}
	hold(ctx, conn)
}

// sendSlowly sends one byte a second, or sends many requests and reads one byte a second.
func sendSlowly(ctx context.Context, conn net.Conn, path string, n int, sent func()) {
	text := []byte(head(path, n, "Content-Length: 1000\r\n") + strings.Repeat("x", 1000))
	if n%slowReadOnes == 0 {
		go sendAhead(ctx, conn, path, n, func() {})
		text = nil
	}
	sent()
	one := make([]byte, 1)
	for ctx.Err() == nil {
		var err error
		if len(text) > 0 {
			_, err = conn.Write(text[:1])
			text = text[1:]
		} else {
			_, err = conn.Read(one)
		}
		if err != nil {
			return
		}
		pause(ctx, bytePause)
	}
}

// stopHalf stops before the first byte, in the middle of the head, at its end or in the middle
// of the body.
func stopHalf(ctx context.Context, conn net.Conn, path string, n int, sent func()) {
	text := head(path, n, "Content-Length: 8000\r\n")
	end := []int{0, len(text) / 2, len(text), len(text) + 4000}[n%4]
	text += strings.Repeat("x", 8000)
	if write(conn, []byte(text[:end]), len(text)) {
		sent()
		hold(ctx, conn)
	}
}
