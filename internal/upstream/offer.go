package upstream

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/frame"
)

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

// offer sends the head of the request, and the body once the receiver has accepted it.
func (x *exchange) offer(ctx context.Context) (*http.Response, error) {
	var head bytes.Buffer
	writeHead(&head, x.call)
	if _, err := x.conn.Write(head.Bytes()); err != nil {
		return nil, failure(contract.NotRun, "the offer of the request broke off", err)
	}
	resp, err := x.awaitAcceptance(ctx)
	if err != nil {
		return nil, failure(contract.NotRun, "the offer of the request was not answered", err)
	}
	if resp.StatusCode != http.StatusContinue {
		return x.answerToOffer(resp)
	}
	if err := x.write(x.offeredBody()); err != nil {
		return nil, failure(contract.MayHaveRun, "the accepted request broke off", err)
	}
	return x.readAfterInterims()
}

// offeredBody returns the bytes that follow the head of an offered request.
func (x *exchange) offeredBody() []byte {
	if len(x.call.Body) == 0 {
		return []byte(lastChunk)
	}
	return x.call.Body
}

// awaitAcceptance returns the first head that the receiver sends.
func (x *exchange) awaitAcceptance(ctx context.Context) (*http.Response, error) {
	timeout := time.NewTimer(x.call.Offer.AcceptTimeout)
	defer timeout.Stop()
	select {
	case err := <-x.conn.ready:
		if err != nil {
			return nil, err
		}
		return x.readHead()
	case <-timeout.C:
		x.pool.closeIdle(x.call.Address)
		return nil, ErrSilent
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// answerToOffer returns an answer that came before the body was sent. The connection is not used
// again: the receiver may still expect the body.
func (x *exchange) answerToOffer(resp *http.Response) (*http.Response, error) {
	if frame.IsInterim(resp) || !x.isOwn(resp) {
		return nil, failure(contract.NotRun, "the offer of the request was answered by something else", nil)
	}
	x.upload.end(nil) // nothing is left to be written
	x.prepare(resp)
	x.reusable = false
	return resp, nil
}

// readAfterInterims reads the answer's header. Once the receiver has sent an interim answer, it
// must not be silent before its answer for longer than the SilenceTimeout.
func (x *exchange) readAfterInterims() (*http.Response, error) {
	for {
		resp, err := x.readHead()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			x.pool.closeIdle(x.call.Address)
			return nil, failure(contract.MayHaveRun, "no sign of the accepted request", errors.Join(ErrSilent, err))
		}
		if err != nil {
			return nil, err
		}
		if !frame.IsInterim(resp) {
			if !x.isOwn(resp) {
				return nil, failure(contract.MayHaveRun, "the receiver answered another request", nil)
			}
			x.prepare(resp)
			return resp, nil
		}
		if err := x.conn.SetReadDeadline(time.Now().Add(x.call.Offer.SilenceTimeout)); err != nil {
			return nil, failure(contract.MayHaveRun, "the connection to the receiver ended", err)
		}
	}
}
