package ctl

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"

	"kumquatyard/internal/link"
)

const (
	tokenSecretBytes = 32
	tokenIDLength    = 8
	// ctlName is the name of kumquatctl's own certificate.
	ctlName = "ctl"
)

// createdKey is a newly created key. It is printed and not stored anywhere.
type createdKey struct {
	Title string `json:"kind"`
	ID    string `json:"id,omitempty"`
	// Secret is the key itself.
	Secret string `json:"secret"`
	Digest string `json:"sha256,omitempty"`
	// Entry is the text to add to the document.
	Entry string `json:"entry"`
}

func (k createdKey) tables() []table.Writer {
	t := newTable(k.Title)
	t.AppendRow(table.Row{"secret", k.Secret})
	if k.Digest != "" {
		t.AppendRow(table.Row{"sha256", k.Digest})
	}
	t.AppendRow(table.Row{"entry", k.Entry})
	return []table.Writer{t}
}

func (a *app) developmentKeys(directory string, names []string) error {
	if !slices.Contains(names, ctlName) {
		names = append(names, ctlName)
	}
	if err := link.WriteDevelopmentKeys(directory, names, a.now()); err != nil {
		return err
	}
	return a.print(outcome{Outcome: "written", Advice: "certificates are in " + directory})
}

func (a *app) tokenKey() error {
	secret := make([]byte, tokenSecretBytes)
	if _, err := rand.Read(secret); err != nil {
		return err
	}
	id, text := rand.Text()[:tokenIDLength], hex.EncodeToString(secret)
	return a.print(createdKey{
		Title: "token key", ID: id, Secret: text,
		Entry: "token_keys of rules/fleet, where the first entry signs: {id: \"" + id + "\", secret_hex: \"" + text + "\"}",
	})
}

func (a *app) apiKey() error {
	key := "kq-" + rand.Text()
	sum := sha256.Sum256([]byte(key))
	digest := hex.EncodeToString(sum[:])
	return a.print(createdKey{
		Title: "API key", Secret: key, Digest: digest,
		Entry: "api_key_sha256 of the workspace's document: \"" + digest + "\"",
	})
}
