package load

import (
	"fmt"

	"kumquatyard/internal/standin"
)

// Violation describes one violation of a guarantee.
type Violation struct {
	Guarantee string
	Detail    string
}

// Guarantees that every run is checked for.
const (
	guaranteeAtMostOnce  = "a keyed request runs at most once"
	guaranteeNotRun      = "a request refused as not_run did not run"
	guaranteeWholeAnswer = "each caller gets the complete answer to its own request"
	guaranteeRan         = "an answered request ran"
	guaranteeVerdict     = "a refusal carries a verdict"
)

// verify returns the violations found by checking outcomes, and if checkRuns is
// set, by comparing them with the runs that the stand-ins counted. An answer
// truncated without an error event violates guaranteeWholeAnswer; one that ends
// with an error event does not.
func verify(outcomes []*Outcome, services, engines standin.Runs, checkRuns bool) []Violation {
	var found []Violation
	for _, o := range outcomes {
		found = append(found, verifyAnswer(o)...)
		if checkRuns {
			found = append(found, verifyRuns(o, services, engines)...)
		}
	}
	return found
}

func verifyAnswer(o *Outcome) []Violation {
	switch {
	case o.Result == Wrong, o.Result == Lost && o.Tokens > 0:
		return []Violation{{Guarantee: guaranteeWholeAnswer, Detail: o.describe()}}
	case o.Result == Refused && o.Verdict == "":
		return []Violation{{Guarantee: guaranteeVerdict, Detail: o.describe()}}
	default:
		return nil
	}
}

func verifyRuns(o *Outcome, services, engines standin.Runs) []Violation {
	var found []Violation
	if key := o.Request.Key; key != "" {
		runs := services.ByKey[key]
		if runs > 1 {
			found = append(found, Violation{Guarantee: guaranteeAtMostOnce, Detail: fmt.Sprintf("%s: %d runs", o.describe(), runs)})
		}
		if o.notRun() && runs > 0 {
			found = append(found, Violation{Guarantee: guaranteeNotRun, Detail: fmt.Sprintf("%s: %d runs", o.describe(), runs)})
		}
		if o.Result == OK && runs == 0 {
			found = append(found, Violation{Guarantee: guaranteeRan, Detail: o.describe()})
		}
	}
	if runs := engines.ByRequest[o.RequestID]; o.RequestID != "" && o.notRun() && runs > 0 {
		found = append(found, Violation{Guarantee: guaranteeNotRun, Detail: fmt.Sprintf("%s: %d runs", o.describe(), runs)})
	}
	return found
}

func (o *Outcome) describe() string {
	return fmt.Sprintf("request %d %s key=%q status=%d result=%s verdict=%q tokens=%d resumes=%d %s",
		o.Request.Number, o.Request.Class.Name, o.Request.Key, o.Status, o.Result, o.Verdict, o.Tokens, o.Resumes, o.Detail)
}
