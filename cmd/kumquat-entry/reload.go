package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/entry"
	"kumquatyard/platform"
)

// settingsInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// boundsOf are the settings that a running instance takes anew.
func boundsOf(s platform.Settings) entry.ReloadableSettings {
	return entry.ReloadableSettings{
		GracePeriod: s.GracePeriod, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, QuotaTolerance: s.QuotaTolerance,
	}
}

// followSettings puts changed settings in force until ctx is done: after a hang-up
// signal, and when the file is found changed. A file that is not valid changes nothing.
func followSettings(ctx context.Context, current platform.Settings, instance *entry.Instance, log *logrus.Entry) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	failed := ""
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signaled = true
		case <-ticker.C:
		}
		read, err := platform.LoadSettings()
		if err != nil {
			if signaled || err.Error() != failed {
				log.WithError(err).WithField("event", "reload").Error("changed settings are not valid; the former ones stay in force")
			}
			failed = err.Error()
			continue
		}
		failed = ""
		if signaled || read != current {
			reload(current, read, instance, log)
		}
		current = read
	}
}

// reload puts the bounds in force; anything else waits for the next start.
func reload(before, now platform.Settings, instance *entry.Instance, log *logrus.Entry) {
	bounds := boundsOf(now)
	instance.Reload(bounds)
	fields := logrus.Fields{
		"event": "reload", "bounds_changed": bounds != boundsOf(before),
		"grace_ms": bounds.GracePeriod.Milliseconds(), "retry_ratio": bounds.RetryRatio, "retry_slack": bounds.RetrySlack,
		"quota_slack": bounds.QuotaTolerance.Slack, "quota_overrun": bounds.QuotaTolerance.Overrun,
	}
	if rest := withoutBounds(now); rest != withoutBounds(before) {
		log.WithFields(fields).Warn("settings in force, but for names, addresses and duties, which apply from the next start")
		return
	}
	log.WithFields(fields).Info("settings in force")
}

// withoutBounds are the settings that apply from a start on.
func withoutBounds(s platform.Settings) platform.Settings {
	s.GracePeriod, s.RetryRatio, s.RetrySlack = 0, 0, 0
	s.QuotaTolerance = platform.Settings{}.QuotaTolerance
	return s
}
