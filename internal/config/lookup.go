package config

import (
	"crypto/sha256"
	"path"
	"strings"

	"kumquatyard/internal/contract"
)

// Digest is the SHA-256 of an API key.
type Digest [sha256.Size]byte

// Index builds the lookup tables. Build calls it; a Config that was made by
// hand needs it before Authenticate.
func (c *Config) Index() {
	c.workspaceByKey = make(map[Digest]string)
	for name, w := range c.Workspaces {
		for _, text := range w.APIKeySHA256 {
			if digest, err := parseDigest(text); err == nil {
				c.workspaceByKey[digest] = name
			}
		}
	}
}

// Authenticate returns the workspace that key belongs to. The lookup is by the
// key's digest, so that its duration tells nothing about the stored keys.
func (c *Config) Authenticate(key string) (Workspace, bool) {
	name, ok := c.workspaceByKey[sha256.Sum256([]byte(key))]
	if !ok {
		return Workspace{}, false
	}
	w, ok := c.Workspaces[name]
	return w, ok
}

// Match returns the first contract that applies to a request. A path with
// empty, "." or ".." segments matches none: a server could read it as another
// path, whose contract may be stricter.
func (c *Config) Match(method, requestPath string) (contract.Contract, bool) {
	if !cleanPath(requestPath) {
		return contract.Contract{}, false
	}
	for i := range c.Contracts {
		candidate := &c.Contracts[i]
		if candidate.Method != "" && candidate.Method != method {
			continue
		}
		if underPrefix(requestPath, candidate.PathPrefix) {
			return *candidate, true
		}
	}
	return contract.Contract{}, false
}

func cleanPath(p string) bool {
	if p == "/" {
		return true
	}
	return strings.HasPrefix(p, "/") && path.Clean(p) == strings.TrimSuffix(p, "/")
}

// underPrefix reports whether p is prefix or lies below it, by whole segments.
func underPrefix(p, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(p, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
