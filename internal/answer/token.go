package answer

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"kumquatyard/internal/config"
	"kumquatyard/internal/machine"
)

// Position identifies the attempt of a request whose stream a resume token
// continues.
type Position struct {
	RequestID string     `json:"rid"`
	Workspace string     `json:"ws"`
	Pool      string     `json:"pool"`
	Server    machine.ID `json:"srv"`
	Attempt   uint32     `json:"att"`
}

type claims struct {
	Position
	jwt.RegisteredClaims
}

// ErrInvalidToken is returned for a resume token that is malformed, forged or
// expired.
var ErrInvalidToken = errors.New("invalid resume token")

// Signer signs and verifies resume tokens. It signs with the first key and
// verifies with all, so a key is rotated by adding the new one in front and
// removing the old one a token lifetime later.
type Signer struct {
	keys     map[string][]byte
	first    string
	lifetime time.Duration
}

// NewSigner returns a Signer with the given keys, whose tokens are valid for
// lifetime.
func NewSigner(keys []config.TokenKey, lifetime time.Duration) (*Signer, error) {
	if len(keys) == 0 {
		return nil, errors.New("no token keys configured, want at least one")
	}
	s := &Signer{keys: make(map[string][]byte, len(keys)), first: keys[0].ID, lifetime: lifetime}
	for _, k := range keys {
		secret, err := hex.DecodeString(k.SecretHex)
		if err != nil {
			return nil, fmt.Errorf("decode secret of token key %s: %w", k.ID, err)
		}
		s.keys[k.ID] = secret
	}
	return s, nil
}

// Sign returns the signed part of the event ids of one attempt. It does not cover
// the offset, because a caller may resume its own stream from any offset, so one
// signature serves all events of the attempt.
func (s *Signer) Sign(p Position, now time.Time) (string, error) {
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, claims{
		Position:         p,
		RegisteredClaims: jwt.RegisteredClaims{ExpiresAt: jwt.NewNumericDate(now.Add(s.lifetime))},
	})
	token.Header["kid"] = s.first
	return token.SignedString(s.keys[s.first])
}

const offsetSeparator = "~"

// EventID returns the event id made of the signed part and the index of the next
// token.
func EventID(signed string, next uint32) string {
	return signed + offsetSeparator + strconv.FormatUint(uint64(next), 10)
}

// Verify returns the position and the index of the next token in an event id. It
// returns ErrInvalidToken if the id is malformed, forged or expired.
func (s *Signer) Verify(eventID string, now time.Time) (Position, uint32, error) {
	signed, suffix, ok := strings.Cut(eventID, offsetSeparator)
	if !ok {
		return Position{}, 0, ErrInvalidToken
	}
	next, err := strconv.ParseUint(suffix, 10, 32)
	if err != nil {
		return Position{}, 0, ErrInvalidToken
	}
	var c claims
	parser := jwt.NewParser(
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithTimeFunc(func() time.Time { return now }),
		jwt.WithExpirationRequired(),
		jwt.WithStrictDecoding(),
	)
	if _, err := parser.ParseWithClaims(signed, &c, s.key); err != nil {
		return Position{}, 0, fmt.Errorf("%w: %w", ErrInvalidToken, err)
	}
	return c.Position, uint32(next), nil
}

// key returns the secret for the key id in the header of t.
func (s *Signer) key(t *jwt.Token) (any, error) {
	id, _ := t.Header["kid"].(string)
	if secret, ok := s.keys[id]; ok {
		return secret, nil
	}
	return nil, fmt.Errorf("unknown token key %q", id)
}
