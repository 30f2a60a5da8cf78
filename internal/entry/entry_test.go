package entry

import (
	"slices"
	"testing"

	"kumquatyard/internal/follow"
)

// A starting instance learns how many share the quotas before it gets a configuration, with
// which it serves: by an assumed number, each of 72 would grant nine times its share.
func TestInstancesAreCountedBeforeRequestsAreServed(t *testing.T) {
	i := &Instance{Options: Options{ConfigKey: "op/config", ServersPrefix: "servers/", Log: quietLog()}}
	list := i.newFollower().Subscriptions
	position := func(prefix string) int {
		return slices.IndexFunc(list, func(s follow.Subscription) bool { return s.Prefix == prefix })
	}
	if members := position(membersPrefix); members < 0 || members > position(i.ConfigKey) {
		t.Errorf("the instances are read at position %d, the configuration at %d", members, position(i.ConfigKey))
	}
}
