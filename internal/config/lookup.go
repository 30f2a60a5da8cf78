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

// Index builds the lookup tables. Build and Assemble call it; a Config that is
// constructed otherwise needs it before Authenticate.
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

// Authenticate returns the workspace that key belongs to. The lookup uses the
// key's digest, so that its duration reveals nothing about the stored keys.
func (c *Config) Authenticate(key string) (Workspace, bool) {
	name, ok := c.workspaceByKey[sha256.Sum256([]byte(key))]
	if !ok {
		return Workspace{}, false
	}
	w, ok := c.Workspaces[name]
	return w, ok
}

// Match returns the first contract that applies to a request. requestPath is
// the path as sent, percent-encoded. A path that a server could interpret as a
// different one, whose contract may be stricter, matches no contract.
func (c *Config) Match(method, requestPath string) (contract.Contract, bool) {
	return c.match(method, requestPath, func(contract.Contract) bool { return true })
}

// MatchDeferrable is Match for a request whose caller marked it as deferrable.
// Contracts of deferrable priority take precedence; if none matches, it returns
// the result of Match with the priority lowered to deferrable.
func (c *Config) MatchDeferrable(method, requestPath string) (contract.Contract, bool) {
	found, ok := c.match(method, requestPath, func(ct contract.Contract) bool { return ct.Priority == contract.Deferrable })
	if !ok {
		found, ok = c.Match(method, requestPath)
	}
	found.Priority = contract.Deferrable
	return found, ok
}

func (c *Config) match(method, requestPath string, accept func(contract.Contract) bool) (contract.Contract, bool) {
	requestPath, ok := decodePath(requestPath)
	if !ok || !isCleanPath(requestPath) {
		return contract.Contract{}, false
	}
	for _, candidate := range c.Contracts {
		if candidate.Method != "" && candidate.Method != method {
			continue
		}
		if underPrefix(requestPath, candidate.PathPrefix) && accept(candidate) {
			return candidate, true
		}
	}
	return contract.Contract{}, false
}

// ambiguousChars are characters that servers interpret differently inside a
// path: some treat a backslash as a slash, truncate a segment at a semicolon, or
// decode an encoded percent sign a second time.
const ambiguousChars = "\\;%\x00"

// decodePath returns p without percent-encoding. It reports false for invalid
// encodings, encoded slashes and ambiguous characters.
func decodePath(p string) (string, bool) {
	decoded, err := url.PathUnescape(p)
	if err != nil || strings.Count(decoded, "/") != strings.Count(p, "/") {
		return "", false
	}
	return decoded, !strings.ContainsAny(decoded, ambiguousChars)
}

// isCleanPath reports whether p is absolute and free of empty, "." and ".."
// segments; a trailing slash is allowed.
func isCleanPath(p string) bool {
	if p == "/" {
		return true
	}
	return strings.HasPrefix(p, "/") && path.Clean(p) == strings.TrimSuffix(p, "/")
}

// underPrefix reports whether p equals prefix or lies below it, compared by
// whole segments.
func underPrefix(p, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(p, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
