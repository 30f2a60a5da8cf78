package processes

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

// Load keeps callers streaming answers, each of which has to be whole.
type Load struct {
	stopped atomic.Bool
	answers atomic.Int64
	breaks  atomic.Int64
	wg      conc.WaitGroup
}

// StartLoad starts callers that ask for answers of up to tokens tokens, one
// after another, until Stop.
func (f *Fleet) StartLoad(callers, tokens int) *Load { return f.StartLongLoad(callers, tokens, 0) }

// StartLongLoad is StartLoad with at least promptBytes of prompt, which no two
// requests share.
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
				l.breaks.Add(int64(c.BrokenConnections))
				c.BrokenConnections = 0
			}
		})
	}
	return l
}

// Stop lets the callers finish their last answers.
func (l *Load) Stop() {
	l.stopped.Store(true)
	l.wg.Wait()
}

// Answers returns the number of answers so far.
func (l *Load) Answers() int64 { return l.answers.Load() }

// BrokenConnections returns the number of connections that broke in the middle of an answer.
func (l *Load) BrokenConnections() int64 { return l.breaks.Load() }
