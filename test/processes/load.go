package processes

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

// Load is a set of callers that stream answers. An incomplete or wrong answer
// fails the test.
type Load struct {
	stopped           atomic.Bool
	answers           atomic.Int64
	brokenConnections atomic.Int64
	wg                conc.WaitGroup
}

// StartLoad starts callers, each of which requests answers of at most tokens
// tokens, one after another, until Stop.
func (f *Fleet) StartLoad(callers, tokens int) *Load { return f.StartLongLoad(callers, tokens, 0) }

// StartLongLoad is StartLoad with unique prompts of at least promptBytes bytes.
func (f *Fleet) StartLongLoad(callers, tokens, promptBytes int) *Load {
	l := &Load{}
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	for i := range callers {
		l.wg.Go(func() {
			c := f.NewCaller(i)
			for n := 0; !l.stopped.Load() && ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("caller %d request %d", i, n)
				long := strings.Repeat(prompt+" ", promptBytes/len(prompt)+1)
				if err := c.Chat(ctx, long, tokens); err != nil && ctx.Err() == nil {
					f.t.Errorf("%s: %v", prompt, err)
				}
				l.answers.Add(1)
				l.brokenConnections.Add(int64(c.BrokenConnections))
				c.BrokenConnections = 0
			}
		})
	}
	return l
}

// Stop waits until the callers have finished the answers in flight.
func (l *Load) Stop() {
	l.stopped.Store(true)
	l.wg.Wait()
}

// Answers returns the number of completed requests so far.
func (l *Load) Answers() int64 { return l.answers.Load() }

// BrokenConnections returns the number of connections that broke before the end
// of an answer.
func (l *Load) BrokenConnections() int64 { return l.brokenConnections.Load() }
