//go:build review

package main

// cases holds the cases by name. trouble is false if the disruption is left out.
var cases = map[string]func(f *Fleet, trouble bool) (Verdict, error){
	"moved-twice":  movedTwice,
	"hup-stop":     hupWhileStopping,
	"plain-stream": plainStream,
	"new-holder":   newHolder,
	"drill":        drill,
}
