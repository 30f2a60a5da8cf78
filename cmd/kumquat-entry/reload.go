package main

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/entry"
	"kumquatyard/platform"
)

// settingsPollInterval is the interval at which the settings file is read, since it may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// reloadableSettings returns the settings that can change while an instance runs.
func reloadableSettings(s platform.Settings) entry.ReloadableSettings {
	return entry.ReloadableSettings{
		GracePeriod: s.GracePeriod, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, QuotaTolerance: s.QuotaTolerance,
	}
}

// watchSettings applies changed settings until ctx is done: after a signal, and when the file
// has changed. It ignores an invalid file. While the instance stops, they apply as well, but for
// the grace period, which counts from the stop signal as it was then.
func watchSettings(ctx context.Context, signals <-chan os.Signal, current platform.Settings, instance *entry.Instance, log *logrus.Entry) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastError := ""
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
			if signaled || err.Error() != lastError {
				log.WithError(err).WithField("event", "reload").Error("settings cannot be read or are invalid; keeping the previous ones")
			}
			lastError = err.Error()
			continue
		}
		lastError = ""
		if signaled || read != current {
			reload(current, read, instance, log)
		}
		current = read
	}
}

// reload applies the reloadable settings. Other changes apply at the next start.
func reload(before, now platform.Settings, instance *entry.Instance, log *logrus.Entry) {
	reloadable := reloadableSettings(now)
	instance.Reload(reloadable)
	fields := logrus.Fields{
		"event": "reload", "bounds_changed": reloadable != reloadableSettings(before),
		"grace_ms": reloadable.GracePeriod.Milliseconds(), "retry_ratio": reloadable.RetryRatio, "retry_slack": reloadable.RetrySlack,
		"quota_slack": reloadable.QuotaTolerance.Slack, "quota_overrun": reloadable.QuotaTolerance.Overrun,
	}
	if rest := startupSettings(now); rest != startupSettings(before) {
		log.WithFields(fields).Warn("settings reloaded; changes of names, addresses and duties apply at the next start")
		return
	}
	log.WithFields(fields).Info("settings reloaded")
}

// startupSettings returns the settings that apply only at the start: s without the
// reloadable ones.
func startupSettings(s platform.Settings) platform.Settings {
	s.GracePeriod, s.RetryRatio, s.RetrySlack = 0, 0, 0
	s.QuotaTolerance = platform.Settings{}.QuotaTolerance
	return s
}
