// Package settings loads a process's YAML settings and reports errors in them by
// file, line and key.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/sourcegraph/conc/panics"
)

// ExitInvalid is the exit code of a process whose settings are invalid.
const ExitInvalid = 2

// Problem is one error in a settings file.
type Problem struct {
	File string
	// Line is 0 if the line is unknown, as for a missing key.
	Line int
	Key  string
	// Fix describes the error and what to write instead.
	Fix string
}

// Error implements error.
func (p Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", p.File, p.Key, p.Fix)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Fix)
}

// Load decodes file into out, whose initial value holds the defaults, and
// validates the result. Unknown keys are errors. The returned error joins all
// problems found.
func Load(file string, out any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Decode(file, data, out)
}

// Decode is Load for data that is already in memory. file is used in errors only.
func Decode(file string, data []byte, out any) error {
	if err := decode(data, out); err != nil && len(bytes.TrimSpace(data)) > 0 {
		return syntaxProblem(file, err)
	}
	return validate(file, data, out)
}

// decode decodes data into out. It returns an error when the YAML library panics,
// as it does on some malformed documents.
func decode(data []byte, out any) (err error) {
	var catcher panics.Catcher
	catcher.Try(func() { err = yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(out) })
	if recovered := catcher.Recovered(); recovered != nil {
		return fmt.Errorf("is not valid YAML: %v", recovered.Value)
	}
	return err
}

// syntaxProblem returns an error of the YAML decoder as a Problem.
func syntaxProblem(file string, err error) error {
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		return fmt.Errorf("%s: %w", file, err)
	}
	problem := Problem{File: file, Key: "yaml", Fix: syntax.GetMessage()}
	if tok := syntax.GetToken(); tok != nil {
		problem.Line = tok.Position.Line
		problem.Key = tok.Value
	}
	if strings.HasPrefix(problem.Fix, "unknown field") {
		problem.Fix += "; remove it or correct its spelling"
	}
	return problem
}

// newValidator returns a validator that reports fields by their YAML keys.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	return v
}

func validate(file string, data []byte, out any) error {
	err := newValidator().Struct(out)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	var all []error
	for _, f := range fields {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		all = append(all, Problem{File: file, Line: lineOf(data, key), Key: key, Fix: fixFor(f)})
	}
	return errors.Join(all...)
}

// lineOf returns the line of key's value, or 0 if the key is absent.
func lineOf(data []byte, key string) (line int) {
	var catcher panics.Catcher
	catcher.Try(func() { line = findLine(data, key) })
	return line
}

func findLine(data []byte, key string) int {
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 0
	}
	node, err := path.ReadNode(bytes.NewReader(data))
	if err != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// fixFor returns the Fix of a Problem for a failed validation.
func fixFor(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is missing; set it"
	case "oneof":
		return fmt.Sprintf("is %q; use one of %s", f.Value(), f.Param())
	case "min", "gte":
		return fmt.Sprintf("is %v; use at least %s", f.Value(), f.Param())
	case "max", "lte":
		return fmt.Sprintf("is %v; use at most %s", f.Value(), f.Param())
	case "hostname_port":
		return fmt.Sprintf("is %q; use IP:port, such as 127.0.0.1:8080", f.Value())
	default:
		return fmt.Sprintf("is %v; must satisfy %s %s", f.Value(), f.Tag(), f.Param())
	}
}
