package link

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"kumquatyard/internal/contract"
	pb "kumquatyard/proto/kumquat/v1"
)

// notRun returns the error of a call of which no byte was sent.
func notRun(err error, retryAfter time.Duration) *contract.Error {
	return &contract.Error{
		Kind: contract.KindUnavailable, Verdict: contract.NotRun,
		Message: "link: not sent", RetryAfter: retryAfter, Err: err,
	}
}

// mayHaveRun returns the error of a call that was sent but got no response.
func mayHaveRun(ctx context.Context, err error) *contract.Error {
	kind := contract.KindUnavailable
	if ctx.Err() != nil {
		kind = contract.KindDeadline
	}
	return &contract.Error{Kind: kind, Verdict: contract.MayHaveRun, Message: "link: no answer", Err: err}
}

// errorResponse returns a Response that carries a handler's error. The kind is
// encoded as the prefix of the error text.
func errorResponse(err error) *pb.Response {
	var e *contract.Error
	if !errors.As(err, &e) {
		e = &contract.Error{Kind: contract.KindUnavailable, Verdict: contract.VerdictOf(err), Message: err.Error()}
	}
	return &pb.Response{
		Error:        fmt.Sprintf("%s: %s", e.Kind, e.Message),
		Verdict:      pb.Verdict(e.Verdict),
		RetryAfterMs: uint32(e.RetryAfter.Milliseconds()),
	}
}

// responseError decodes the error that resp carries; it returns nil if there is
// none.
func responseError(resp *pb.Response) error {
	if resp.GetError() == "" {
		return nil
	}
	e := &contract.Error{
		Kind:       contract.KindUnavailable,
		Verdict:    contract.Verdict(resp.GetVerdict()),
		Message:    resp.GetError(),
		RetryAfter: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond,
	}
	name, message, found := strings.Cut(resp.GetError(), ": ")
	if kind, known := contract.ParseKind(name); found && known {
		e.Kind, e.Message = kind, message
	}
	return e
}
