package config

import (
	"crypto/sha256"
	"net/url"
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

// Match returns the first contract that applies to a request, whose path is
// taken as it was sent, percent-encoded. A path that a server could read as
// another one, whose contract may be stricter, matches none.
func (c *Config) Match(method, requestPath string) (contract.Contract, bool) {
	return c.match(method, requestPath, func(contract.Contract) bool { return true })
}

// MatchDeferrable is Match for a request whose caller says that it may wait. A
// contract of deferrable priority goes first; without one, the request is
// served as Match says, with its priority lowered.
func (c *Config) MatchDeferrable(method, requestPath string) (contract.Contract, bool) {
	found, ok := c.match(method, requestPath, func(ct contract.Contract) bool { return ct.Priority == contract.Deferrable })
	if !ok {
		found, ok = c.Match(method, requestPath)
	}
	found.Priority = contract.Deferrable
	return found, ok
}

func (c *Config) match(method, requestPath string, wanted func(contract.Contract) bool) (contract.Contract, bool) {
	requestPath, ok := decodePath(requestPath)
	if !ok || !cleanPath(requestPath) {
		return contract.Contract{}, false
	}
	for _, candidate := range c.Contracts {
		if candidate.Method != "" && candidate.Method != method {
			continue
		}
		if underPrefix(requestPath, candidate.PathPrefix) && wanted(candidate) {
			return candidate, true
		}
	}
	return contract.Contract{}, false
}

// ambiguous are characters that servers read in different ways inside a path:
// some take a backslash for a slash, cut a segment at a semicolon, or decode
// an encoded percent sign a second time.
const ambiguous = "\\;%\x00"

// decodePath undoes percent-encoding. It refuses encoded slashes and ambiguous
// characters.
func decodePath(p string) (string, bool) {
	decoded, err := url.PathUnescape(p)
	if err != nil || strings.Count(decoded, "/") != strings.Count(p, "/") {
		return "", false
	}
	return decoded, !strings.ContainsAny(decoded, ambiguous)
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
