package settings

import (
	"strings"
	"testing"
)

type example struct {
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	Level  string `yaml:"level" validate:"omitempty,oneof=info debug"`
	Link   struct {
		Retries int `yaml:"retries" validate:"min=1,max=5"`
	} `yaml:"link"`
}

func TestDecodeErrorNamesTheFix(t *testing.T) {
	tests := []struct {
		name, data string
		want       []string
	}{
		{"valid", "listen: 127.0.0.1:1\nlink:\n  retries: 2\n", nil},
		{"unknown key", "listen: 127.0.0.1:1\nlisten_on: x\n", []string{"f.yaml:2:", `unknown field "listen_on"`, "correct its spelling"}},
		{"missing key", "link: {retries: 1}\n", []string{"f.yaml: listen: is missing"}},
		{"out of range", "listen: 127.0.0.1:1\nlink:\n  retries: 9\n", []string{"f.yaml:3: link.retries: is 9; use at most 5"}},
		{"not one of", "listen: 127.0.0.1:1\nlevel: loud\nlink: {retries: 1}\n", []string{`f.yaml:2: level: is "loud"; use one of info debug`}},
		{"two mistakes", "level: loud\nlink: {retries: 0}\n", []string{"listen: is missing", "level:", "link.retries: is 0; use at least 1"}},
		{"not YAML", "listen: [\n", []string{"f.yaml:1:"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := Decode("f.yaml", []byte(tt.data), &example{})
			if (err != nil) != (tt.want != nil) {
				t.Fatalf("Decode error = %v, want error: %v", err, tt.want != nil)
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("Decode error = %q, want one that contains %q", err, want)
				}
			}
		})
	}
}
