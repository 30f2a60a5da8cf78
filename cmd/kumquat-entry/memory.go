package main

import (
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/membudget"
)

// Shares of the process's memory, which is ended when it takes more.
const (
	// collectorShare is what the garbage collector keeps the process within. The rest is for what it
	// does not count, such as bytes received and not yet read.
	collectorShare = 0.8
	// answersShare is for answers of the store that are being read. Their buffers are up to three
	// times as large, since they grow by doubling and are decoded.
	answersShare = 0.1
)

// limitMemory tells the garbage collector how much memory the process may take; 0 if it is not known.
func limitMemory(bytes int64, log *logrus.Entry) {
	if bytes <= 0 {
		return
	}
	limit := share(bytes, collectorShare)
	debug.SetMemoryLimit(limit)
	log.WithFields(logrus.Fields{"event": "memory_limited", "memory_bytes": bytes, "collector_limit_bytes": limit}).Info("garbage is collected more often when the process takes nearly all of its memory")
}

// answersBudget returns the budget of answers, nil if the memory is not known.
func answersBudget(bytes int64) *membudget.Budget {
	if bytes <= 0 {
		return nil
	}
	return membudget.New(share(bytes, answersShare))
}

func share(bytes int64, part float64) int64 { return int64(part * float64(bytes)) }
