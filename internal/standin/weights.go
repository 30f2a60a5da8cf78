package standin

import (
	"bufio"
	"context"
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

const (
	weightsPath      = "/v1/weights/"
	weightChunkBytes = 64 << 10
)

// WeightsOptions configure a Weights.
type WeightsOptions struct {
	Seed uint64
	// Bytes is the size of each model's weights.
	Bytes int
	// BytesPerSecond is shared by all downloads; 0 means no limit.
	BytesPerSecond float64
}

// Weights is a stand-in for the rate-limited weight store.
type Weights struct {
	*Endpoint
	options WeightsOptions
	limit   *rate.Limiter
}

// NewWeights returns a Weights.
func NewWeights(o WeightsOptions) *Weights {
	w := &Weights{options: o, limit: rate.NewLimiter(rate.Inf, weightChunkBytes)}
	if o.BytesPerSecond > 0 {
		w.limit = rate.NewLimiter(rate.Limit(o.BytesPerSecond), weightChunkBytes)
	}
	w.Endpoint = newEndpoint(o.Seed, w.handle)
	return w
}

func (w *Weights) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if !strings.HasPrefix(path, weightsPath) || !ctx.IsGet() {
		fail(ctx, http.StatusNotFound, "unknown path %s", path)
		return
	}
	ctx.SetBodyStreamWriter(w.send)
}

func (w *Weights) send(out *bufio.Writer) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-w.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	chunk := make([]byte, weightChunkBytes)
	for left := w.options.Bytes; left > 0; left -= len(chunk) {
		chunk = chunk[:min(left, weightChunkBytes)]
		if w.limit.WaitN(ctx, len(chunk)) != nil {
			return
		}
		if _, err := out.Write(chunk); err != nil || out.Flush() != nil {
			return
		}
	}
}
