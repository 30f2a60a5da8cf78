package rescue

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// Guards against a panic in the work for one request that ends the process, and against one that
// nobody learns of.
func TestPanicIsReported(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	before := panics.Get()
	err := Do("work", logrus.Fields{"request": "r-1"}, logrus.NewEntry(logger), func() error { panic("broken") })
	var p *PanicError
	if !errors.As(err, &p) || p.Value != "broken" {
		t.Errorf("error %v, want a PanicError", err)
	}
	if panics.Get() != before+1 {
		t.Error("the panic was not counted")
	}
	if text := out.String(); !strings.Contains(text, "request=r-1") || !strings.Contains(text, "TestPanicIsReported") {
		t.Errorf("the log does not name the request and the place: %s", text)
	}
	if err := Do("work", nil, logrus.NewEntry(logger), func() error { return nil }); err != nil {
		t.Errorf("error %v of work that did not panic", err)
	}
}
