package gateway

import (
	"errors"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"kumquatyard/internal/contract"
)

// Headers of requests and answers.
const (
	headerVerdict        = "Kumquat-Verdict"
	headerRequestID      = "X-Request-Id"
	headerAttempt        = "X-Request-Attempt"
	headerPriority       = "X-Request-Priority"
	headerContinueOffset = "X-Continue-Offset"
	headerNotRun         = "X-Not-Run"
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotent-Replayed"
	headerLastEventID    = "Last-Event-ID"
	headerTimeout        = "X-Request-Timeout-Ms"
)

type refusalBody struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Type         string `json:"type"`
	Message      string `json:"message"`
	Verdict      string `json:"verdict"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// refuse writes err as a JSON refusal with its status, verdict and Retry-After.
func refuse(c fiber.Ctx, err error) error {
	e := asRefusal(err)
	countRefusal(e)
	c.Set(headerVerdict, e.Verdict.String())
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(wholeSeconds(e.RetryAfter)))
	}
	return c.Status(e.Kind.Status()).JSON(refusalOf(e))
}

func refusalOf(e *contract.Error) refusalBody {
	return refusalBody{Error: refusalDetail{
		Type:         e.Kind.String(),
		Message:      e.Message,
		Verdict:      e.Verdict.String(),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

// wholeSeconds returns d in seconds, rounded up because Retry-After has no
// fractions.
func wholeSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

// asRefusal returns the *contract.Error in err, or makes one. The HTTP library's
// own errors occur before a handler runs and so get NotRun.
func asRefusal(err error) *contract.Error {
	var e *contract.Error
	if errors.As(err, &e) {
		return e
	}
	var fe *fiber.Error
	if errors.As(err, &fe) {
		return &contract.Error{Kind: kindOfStatus(fe.Code), Verdict: contract.NotRun, Message: fe.Message}
	}
	return mayHaveRun("internal error", err)
}

func kindOfStatus(status int) contract.ErrorKind {
	switch status {
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		return contract.KindNotFound
	case fiber.StatusRequestEntityTooLarge, fiber.StatusRequestHeaderFieldsTooLarge:
		return contract.KindTooLarge
	case fiber.StatusServiceUnavailable:
		return contract.KindUnavailable
	default:
		return contract.KindInvalid
	}
}

// mayHaveRun returns an unavailable error with the verdict MayHaveRun.
func mayHaveRun(message string, err error) *contract.Error {
	return contract.Unavailable(contract.MayHaveRun, message, err)
}
