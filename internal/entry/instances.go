package entry

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/handover"
	pb "kumquatyard/proto/kumquat/v1"
)

// otherInstances returns the other instances, which may serve requests of this one.
func (i *Instance) otherInstances() []handover.Helper {
	others := i.exchange.Others()
	list := make([]handover.Helper, len(others))
	for n, m := range others {
		list[n] = handover.Helper{Name: m.GetName(), Zone: m.GetZone(), Address: m.GetAddress()}
	}
	return list
}

// setMembers applies the store's list of instances.
func (i *Instance) setMembers(members []*pb.Instance) {
	i.exchange.SetMembers(members)
	names := make([]string, len(members))
	for n, m := range members {
		names[n] = m.GetName()
	}
	now := time.Now()
	i.limits.SetInstances(names, now)
	i.brittle.SetInstances(names, now)
	i.helpers.Retain(func(name string) bool { return slices.Contains(names, name) })
	i.setInstances(i.exchange.InstanceCount(now))
}

// setInstances divides the quotas and the retry budget among n instances.
func (i *Instance) setInstances(n int) {
	before := i.instances.Swap(int64(n))
	if int64(n) == before {
		return
	}
	i.Log.WithFields(logrus.Fields{"event": "instances_changed", "before": before, "now": n}).Info("number of instances changed; dividing the quotas and the retry budget among them again")
	i.ledger.SetInstances(n, i.exchange.MaxAge())
	i.levels.SetInstances(n)
	i.quarantine.SetInstances(n, i.exchange.MaxAge()*3/2)
	i.updateRetryBudget()
}

// updateRetryBudget sets this instance's share of the retry budget.
func (i *Instance) updateRetryBudget() {
	b := i.reloadable.Load()
	i.budget.Set(budgetShare*b.RetryRatio, budgetShare*b.RetrySlack/float64(max(i.count(), 1)))
}

// Reload applies changed settings.
func (i *Instance) Reload(b ReloadableSettings) {
	i.reloadable.Store(&b)
	i.ledger.SetTolerance(b.QuotaTolerance)
	i.levels.SetTolerance(b.QuotaTolerance)
	i.updateRetryBudget()
}
