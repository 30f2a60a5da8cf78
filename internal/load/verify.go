package load

import (
	"fmt"

	"kumquatyard/internal/standin"
)

// Violation is a promise that was seen broken.
type Violation struct {
	Guarantee string
	Detail    string
}

// Promises that a run is checked for.
const (
	promiseAtMostOnce  = "a keyed request runs at most once"
	promiseNotRun      = "a refusal that says not run is true"
	promiseWholeAnswer = "each caller gets the whole answer to its own request"
	promiseRan         = "an answered request ran"
	promiseVerdict     = "a refusal carries a verdict"
)

// verify checks outcomes against the runs that the stand-ins counted. An
// answer that was lost without any word breaks the promise of whole answers;
// an honest error after a stream began does not.
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
		return []Violation{{Guarantee: promiseWholeAnswer, Detail: o.describe()}}
	case o.Result == Refused && o.Verdict == "":
		return []Violation{{Guarantee: promiseVerdict, Detail: o.describe()}}
	default:
		return nil
	}
}

func verifyRuns(o *Outcome, services, engines standin.Runs) []Violation {
	var found []Violation
	if key := o.Request.Key; key != "" {
		runs := services.ByKey[key]
		if runs > 1 {
			found = append(found, Violation{Guarantee: promiseAtMostOnce, Detail: fmt.Sprintf("%s: %d runs", o.describe(), runs)})
		}
		if o.notRun() && runs > 0 {
			found = append(found, Violation{Guarantee: promiseNotRun, Detail: fmt.Sprintf("%s: %d runs", o.describe(), runs)})
		}
		if o.Result == OK && runs == 0 {
			found = append(found, Violation{Guarantee: promiseRan, Detail: o.describe()})
		}
	}
	if runs := engines.ByRequest[o.RequestID]; o.RequestID != "" && o.notRun() && runs > 0 {
		found = append(found, Violation{Guarantee: promiseNotRun, Detail: fmt.Sprintf("%s: %d runs", o.describe(), runs)})
	}
	return found
}

func (o *Outcome) describe() string {
	return fmt.Sprintf("request %d %s key=%q status=%d result=%s verdict=%q tokens=%d resumes=%d %s",
		o.Request.Number, o.Request.Class.Name, o.Request.Key, o.Status, o.Result, o.Verdict, o.Tokens, o.Resumes, o.Detail)
}
